#ifndef RHUBARBHAVEN_DAEMON_OPERATOR_API_H_
#define RHUBARBHAVEN_DAEMON_OPERATOR_API_H_

#include <string>

#include "Daemon/control_duty.h"
#include "Daemon/router_duty.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

inline constexpr char kOperatorPath[] = "/operator/v1/";

// The operators' side of an entry, in JSON over HTTP; the messages are in
// operator.proto.
class OperatorApi {
 public:
  OperatorApi(ControlDuty* control, RouterDuty* router);

  auto Handle(const HttpServerRequest& request, const HttpResponder& respond)
      -> void;

 private:
  auto HandleTask(const std::string& what,
                  const HttpServerRequest& request,
                  const HttpResponder& respond) -> void;
  auto AnswerStatus(const HttpResponder& respond) -> void;
  auto AnswerTasks(const HttpResponder& respond) -> void;

  ControlDuty* control_;
  RouterDuty* router_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_OPERATOR_API_H_
