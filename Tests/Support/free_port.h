#ifndef RHUBARBHAVEN_TESTS_SUPPORT_FREE_PORT_H_
#define RHUBARBHAVEN_TESTS_SUPPORT_FREE_PORT_H_

namespace rhubarbhaven::test {

// Returns a free loopback port below the kernel's ephemeral range, or zero if
// all ports are in use. No other process is given the same port while this
// process lives, so that a server which is killed can bind to its port again.
auto FreePort() -> int;

}  // namespace rhubarbhaven::test

#endif  // RHUBARBHAVEN_TESTS_SUPPORT_FREE_PORT_H_
