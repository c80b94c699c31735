#ifndef RHUBARBHAVEN_TESTS_SUPPORT_FREE_PORT_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_FREE_PORT_H_

namespace rhubarbhaven::test {

// A free loopback port below the range that the kernel hands out. No other
// process is given the same one while this process lives, so that a server
// which is killed finds its port free when it starts again. Zero if all ports
// are taken.
auto FreePort() -> int;

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_FREE_PORT_H_
