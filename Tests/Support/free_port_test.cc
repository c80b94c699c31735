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
// Exceeds the 40 ports of one block.
constexpr int kPortsEach = 70;

using Ports = std::array<int, kPortsEach>;

// Reserves ports and writes them to `ports_fd`, then keeps them reserved until
// the other end of `release_fd` is closed.
auto ReservePorts(int ports_fd, int release_fd) -> void {
  Ports ports{};
  for (int& port : ports) {
    port = FreePort();
  }
  static_cast<void>(!write(ports_fd, ports.data(), sizeof(ports)));
  char end = 0;
  static_cast<void>(!read(release_fd, &end, sizeof(end)));
  _exit(0);
}

// Guards against a server that cannot restart after a kill because another test
// has taken its port meanwhile.
TEST(FreePort, IsOfOneProcessAtATime) {
  std::array<int, 2> ports_pipe{};
  std::array<int, 2> release_pipe{};
  ASSERT_EQ(pipe(ports_pipe.data()), 0);
  ASSERT_EQ(pipe(release_pipe.data()), 0);
  std::vector<pid_t> children;
  for (int child = 0; child < kProcesses; ++child) {
    children.push_back(fork());
    if (children.back() == 0) {
      close(release_pipe[1]);
      ReservePorts(ports_pipe[1], release_pipe[0]);
    }
  }
  std::set<int> all;
  for (int child = 0; child < kProcesses; ++child) {
    Ports ports{};
    ASSERT_EQ(read(ports_pipe[0], ports.data(), sizeof(ports)),
              static_cast<ssize_t>(sizeof(ports)));
    all.insert(ports.begin(), ports.end());
  }
  close(release_pipe[1]);
  for (const pid_t child : children) {
    waitpid(child, nullptr, 0);
  }
  EXPECT_EQ(all.size(), static_cast<std::size_t>(kProcesses) * kPortsEach);
  EXPECT_FALSE(all.contains(0));
}

}  // namespace
}  // namespace rhubarbhaven::test
