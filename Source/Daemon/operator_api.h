#ifndef RHUBARBHAVEN_DAEMON_OPERATOR_API_H_
#define RHUBARBHAVEN_DAEMON_OPERATOR_API_H_

#include <string>

#include "Daemon/control_thread.h"
#include "Daemon/router_thread.h"
#include "Transport/transport.h"

namespace rhubarbhaven {

inline constexpr char kOperatorPath[] = "/operator/v1/";

// The operators' interface of an entry: JSON over HTTP, with the messages of
// operator.proto.
class OperatorApi {
 public:
  OperatorApi(ControlThread* control, RouterThread* router);

  auto Handle(const HttpServerRequest& request, const HttpResponder& respond)
      -> void;

 private:
  auto HandleTask(const std::string& operation,
                  const HttpServerRequest& request,
                  const HttpResponder& respond) -> void;
  auto AnswerStatus(const HttpResponder& respond) -> void;
  auto AnswerTasks(const HttpResponder& respond) -> void;

  ControlThread* control_;
  RouterThread* router_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_DAEMON_OPERATOR_API_H_
