#ifndef RHUBARBHAVEN_TESTS_SUPPORT_CHILD_PROCESS_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbhaven::test {

// A child process under test whose stdout and stderr are appended to a file.
// The destructor kills it by process id.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command,
               std::string output_path);
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;
  ~ChildProcess();

  auto Signal(int signal) -> void;
  // Sends SIGKILL and waits until the process has exited.
  auto Kill() -> void;
  auto Freeze() -> void;
  auto Resume() -> void;
  // Returns the exit code, or 128 + N if signal N ended the process; nullopt if
  // it is still running after `limit`.
  auto WaitExit(std::chrono::milliseconds limit) -> std::optional<int>;
  auto Output() const -> std::string;
  auto pid() const -> pid_t { return pid_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  std::string output_path_;
};

// Polls `done` every 20 ms. Returns true as soon as it holds, false once
// `limit` has passed.
template <typename Done>
auto WaitFor(Done done, std::chrono::milliseconds limit) -> bool;

}  // namespace rhubarbhaven::test

#include <thread>

namespace rhubarbhaven::test {

template <typename Done>
auto WaitFor(Done done, std::chrono::milliseconds limit) -> bool {
  constexpr std::chrono::milliseconds kPoll{20};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_CHILD_PROCESS_H_
