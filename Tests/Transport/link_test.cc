// The form of endpoints to which links are made.

#include <gtest/gtest.h>

#include <string>

#include "Transport/transport.h"

namespace rhubarbhaven {
namespace {

struct EndpointCase {
  std::string name;
  std::string endpoint;
  bool allowed = false;
};

class EndpointTest : public testing::TestWithParam<EndpointCase> {};

TEST_P(EndpointTest, IsTcpWithHostAndPort) {
  EXPECT_EQ(IsTcpEndpoint(GetParam().endpoint), GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EndpointTest,
    testing::Values(EndpointCase{"address", "tcp://10.1.2.3:9000", true},
                    EndpointCase{"address_6", "tcp://[::1]:9000", true},
                    EndpointCase{"host", "tcp://side-1.example:1", true},
                    EndpointCase{"largest_port", "tcp://a:65535", true},
                    EndpointCase{"empty", "", false},
                    EndpointCase{"no_transport", "10.1.2.3:9000", false},
                    EndpointCase{"other_transport", "ipc:///tmp/x", false},
                    EndpointCase{"no_host", "tcp://:9000", false},
                    EndpointCase{"no_port", "tcp://10.1.2.3", false},
                    EndpointCase{"empty_port", "tcp://10.1.2.3:", false},
                    EndpointCase{"port_zero", "tcp://10.1.2.3:0", false},
                    EndpointCase{"port_beyond", "tcp://10.1.2.3:65536", false},
                    EndpointCase{"port_signed", "tcp://10.1.2.3:+9", false},
                    EndpointCase{"port_text", "tcp://10.1.2.3:http", false},
                    EndpointCase{"any_port", "tcp://10.1.2.3:*", false},
                    EndpointCase{"blank", "tcp://10.1 .2:9000", false},
                    EndpointCase{"bytes", "tcp://\xff\xfe:9000", false},
                    EndpointCase{"path", "tcp://a/b:9000", false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace rhubarbhaven
