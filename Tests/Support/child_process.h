#ifndef RHUBARBHAVEN_TESTS_SUPPORT_CHILD_PROCESS_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbhaven::test {

// A process under test, with its output in a file. Killed by id at the end.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command,
               std::string output_path);
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;
  ~ChildProcess();

  auto Signal(int signal) -> void;
  // SIGKILL, and waits for the end.
  auto Kill() -> void;
  auto Freeze() -> void;
  auto Wake() -> void;
  // The exit code; 128 + N for signal N; empty if it still runs at the limit.
  auto WaitExit(std::chrono::milliseconds limit) -> std::optional<int>;
  auto Output() const -> std::string;
  auto pid() const -> pid_t { return pid_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
  std::string output_path_;
};

// Waits for an event, generously: true as soon as `done` says so.
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
