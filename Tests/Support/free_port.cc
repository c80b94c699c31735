#include "Tests/Support/free_port.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>

namespace rhubarbhaven::test {
namespace {

constexpr int kFirstPort = 10000;
constexpr int kPortsPerBlock = 40;
constexpr int kBlocks = 500;

auto IsFree(int port) -> bool {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(probe);
  return bound;
}

// A range of consecutive ports that is reserved for this process until it
// exits.
class PortBlock {
 public:
  auto Next() -> int {
    while (remaining_ == 0 || !IsFree(port_)) {
      if (remaining_ == 0 && !LockBlock()) {
        return 0;
      }
      if (!IsFree(port_)) {
        Advance();
      }
    }
    const int port = port_;
    Advance();
    return port;
  }

 private:
  auto Advance() -> void {
    ++port_;
    --remaining_;
  }

  // Locks a block that no other process has locked. The kernel releases the
  // lock when this process exits: the descriptor is never closed, and executed
  // children do not inherit it.
  auto LockBlock() -> bool {
    const auto folder =
        std::filesystem::temp_directory_path() / "rhubarbhaven-test-ports";
    std::error_code exists;
    std::filesystem::create_directory(folder, exists);
    for (int attempt = 0; attempt < kBlocks; ++attempt) {
      const int block = (getpid() + attempt) % kBlocks;
      const std::string path = folder / absl::StrCat(block);
      constexpr mode_t kMode = 0666;
      const int file = open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, kMode);
      if (file >= 0 && flock(file, LOCK_EX | LOCK_NB) == 0) {
        port_ = kFirstPort + block * kPortsPerBlock;
        remaining_ = kPortsPerBlock;
        return true;
      }
      close(file);
    }
    return false;
  }

  int port_ = 0;
  int remaining_ = 0;
};

}  // namespace

auto FreePort() -> int {
  static PortBlock block;
  return block.Next();
}

}  // namespace rhubarbhaven::test
