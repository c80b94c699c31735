#include "Tests/Support/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

namespace rhubarbhaven::test {
namespace {

constexpr int kSignalBase = 128;
constexpr int kExecFailed = 127;

auto RunCommand(const std::vector<std::string>& command, int output) -> void {
  // The kernel kills this process if the test that started it dies.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const auto& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(kExecFailed);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           std::string output_path)
    : output_path_(std::move(output_path)) {
  constexpr mode_t kMode = 0644;
  const int output = open(output_path_.c_str(),
                          O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, kMode);
  pid_ = fork();
  if (pid_ == 0) {
    RunCommand(command, output);
  }
  close(output);
}

ChildProcess::~ChildProcess() {
  Kill();
}

auto ChildProcess::Signal(int signal) -> void {
  if (!exit_code_) {
    kill(pid_, signal);
  }
}

auto ChildProcess::Kill() -> void {
  constexpr std::chrono::seconds kKillTimeout{10};
  Signal(SIGKILL);
  WaitExit(kKillTimeout);
}

auto ChildProcess::Freeze() -> void {
  Signal(SIGSTOP);
}

auto ChildProcess::Resume() -> void {
  Signal(SIGCONT);
}

auto ChildProcess::WaitExit(std::chrono::milliseconds limit)
    -> std::optional<int> {
  WaitFor(
      [this]() -> bool {
        int status = 0;
        if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
          exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                         : kSignalBase + WTERMSIG(status);
        }
        return exit_code_.has_value();
      },
      limit);
  return exit_code_;
}

auto ChildProcess::Output() const -> std::string {
  std::ifstream file(output_path_);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace rhubarbhaven::test
