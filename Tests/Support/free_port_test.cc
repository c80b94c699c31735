#include "Tests/Support/free_port.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <set>
#include <vector>

namespace rhubarbhaven::test {
namespace {

constexpr int kProcesses = 30;
// More than one block.
constexpr int kPortsEach = 70;

using Ports = std::array<int, kPortsEach>;

// Writes ports of its own to the pipe, then holds them until the other pipe is
// closed.
auto TakePorts(int to, int until) -> void {
  Ports ports{};
  for (int& port : ports) {
    port = FreePort();
  }
  static_cast<void>(!write(to, ports.data(), sizeof(ports)));
  char end = 0;
  static_cast<void>(!read(until, &end, sizeof(end)));
  _exit(0);
}

// Guards against a server that does not come back after a kill because another
// test has taken its port meanwhile.
TEST(FreePort, IsOfOneProcessAtATime) {
  std::array<int, 2> told{};
  std::array<int, 2> hold{};
  ASSERT_EQ(pipe(told.data()), 0);
  ASSERT_EQ(pipe(hold.data()), 0);
  std::vector<pid_t> children;
  for (int child = 0; child < kProcesses; ++child) {
    children.push_back(fork());
    if (children.back() == 0) {
      close(hold[1]);
      TakePorts(told[1], hold[0]);
    }
  }
  std::set<int> all;
  for (int child = 0; child < kProcesses; ++child) {
    Ports ports{};
    ASSERT_EQ(read(told[0], ports.data(), sizeof(ports)),
              static_cast<ssize_t>(sizeof(ports)));
    all.insert(ports.begin(), ports.end());
  }
  close(hold[1]);
  for (const pid_t child : children) {
    waitpid(child, nullptr, 0);
  }
  EXPECT_EQ(all.size(), static_cast<std::size_t>(kProcesses) * kPortsEach);
  EXPECT_FALSE(all.contains(0));
}

}  // namespace
}  // namespace rhubarbhaven::test
