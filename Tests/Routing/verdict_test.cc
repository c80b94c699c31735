#include <gtest/gtest.h>

#include "Tests/Routing/trial.h"

namespace rhubarbhaven {
namespace {

using std::chrono::milliseconds;

// One request through entry 0 with two agents, and a fault.
struct VerdictCase {
  std::string name;
  bool idempotent = false;
  milliseconds deadline{500};
  // Called before the request is sent; may schedule further events.
  std::function<auto(ClusterHarness&)->void> fault;
  schema::Verdict verdict = schema::ANSWERED;
  schema::Reason reason = schema::REASON_NONE;
  int runs = 1;
  // A counter that must be above zero at the end.
  std::string counted = {};
};

auto PrintTo(const VerdictCase& one, std::ostream* out) -> void {
  *out << one.name;
}

// Applies a delivery, such as a loss or a late duplicate, to the first message
// of a kind.
auto ApplyToFirst(schema::Envelope::BodyCase kind, Delivery delivery) {
  return
      [kind, delivery, done = false](const std::string&, const std::string&,
                                     const schema::Envelope& message) mutable {
        if (done || message.body_case() != kind) {
          return Delivery();
        }
        done = true;
        return delivery;
      };
}

auto StopBothAgents(ClusterHarness& harness, milliseconds time) -> void {
  for (const int agent : {0, 1}) {
    harness.cluster->StopAgent(agent);
    harness.cluster->After(
        time, [&harness, agent] { harness.cluster->ContinueAgent(agent); });
  }
}

// Runs an action on the agent that receives the first offer.
auto OnFirstOffer(
    const std::function<auto(ClusterHarness&, int agent)->void>& what) {
  return [what](ClusterHarness& harness) {
    harness.network = [&harness, what, done = false](
                          const std::string&, const std::string& to,
                          const schema::Envelope& message) mutable {
      if (message.has_offer() && !done) {
        done = true;
        what(harness, to == FakeCluster::AgentName(0) ? 0 : 1);
      }
      return Delivery();
    };
  };
}

auto StopOfferedAgent(milliseconds time) {
  return OnFirstOffer([time](ClusterHarness& harness, int agent) {
    harness.cluster->StopAgent(agent);
    harness.cluster->After(
        time, [&harness, agent] { harness.cluster->ContinueAgent(agent); });
  });
}

auto KillOfferedAgentAfter(milliseconds time) {
  return OnFirstOffer([time](ClusterHarness& harness, int agent) {
    harness.cluster->After(time, [&harness, agent] {
      harness.cluster->KillAgent(agent);
      harness.cluster->StartAgent(agent);
    });
  });
}

auto KillBothAgentsAfter(ClusterHarness& harness, milliseconds time) -> void {
  for (const int agent : {0, 1}) {
    harness.cluster->After(time, [&harness, agent] {
      harness.cluster->KillAgent(agent);
      harness.cluster->StartAgent(agent);
    });
  }
}

auto EndpointReturns(schema::Reason reason, schema::Verdict verdict) {
  return [=](ClusterHarness& harness) {
    harness.endpoint = [=](int) {
      return EndpointResponse{.response_time = milliseconds(5),
                              .verdict = verdict,
                              .reason = reason,
                              .status = 200};
    };
  };
}

class VerdictTest : public testing::TestWithParam<VerdictCase> {};

// Guards against a verdict of "not run" for work that ran or runs later, and
// against "may have run" where the outcome could be known.
TEST_P(VerdictTest, IsTrue) {
  const VerdictCase& row = GetParam();
  ClusterHarness harness;
  harness.Start();
  row.fault(harness);
  harness.SendRequest(0, "r", row.deadline, row.idempotent ? "key" : "");
  harness.cluster->RunFor(milliseconds(8000));
  ASSERT_TRUE(harness.replies.contains("r"));
  EXPECT_EQ(harness.replies["r"].verdict, row.verdict);
  EXPECT_EQ(ReasonName(harness.replies["r"].reason), ReasonName(row.reason));
  EXPECT_EQ(harness.runs["r"], row.runs);
  EXPECT_TRUE(row.counted.empty() || harness.counts[row.counted] > 0)
      << row.counted;
}

const Delivery kLost{.copies = 0, .extra_delay = {}, .unsent = false};
const Delivery kUnsent{.copies = 0, .extra_delay = {}, .unsent = true};
const Delivery kTwice{.copies = 2,
                      .extra_delay = milliseconds(1500),
                      .unsent = false};

INSTANTIATE_TEST_SUITE_P(
    Rows,
    VerdictTest,
    testing::Values(
        // The offer waits in the socket of a suspended agent. The agent resumes
        // after the credit has expired and must not run an offer that the entry
        // has abandoned.
        VerdictCase{.name = "stopped agent resumes late",
                    .fault =
                        [](ClusterHarness& harness) {
                          StopBothAgents(harness, milliseconds(1200));
                        },
                    .verdict = schema::MAY_HAVE_RUN,
                    .reason = schema::ATTEMPT_TIMEOUT,
                    .runs = 0,
                    .counted = "agent credit_expired"},
        // As above, but the caller waits long enough for the resumed agent to
        // confirm that the request did not run.
        VerdictCase{.name = "resumed agent confirms not run",
                    .idempotent = true,
                    .deadline = milliseconds(5000),
                    .fault = StopOfferedAgent(milliseconds(1200)),
                    .counted = "retried credit_expired"},
        VerdictCase{.name = "repeatable request does not wait for it",
                    .deadline = milliseconds(5000),
                    .fault = StopOfferedAgent(milliseconds(4000)),
                    .counted = "retried attempt_timeout"},
        // The offer is lost. When recalled, the agent confirms that it did not
        // run and will reject the offer if it arrives later.
        VerdictCase{.name = "offer lost",
                    .idempotent = true,
                    .deadline = milliseconds(2000),
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.network =
                              ApplyToFirst(schema::Envelope::kOffer, kLost);
                        },
                    .counted = "retried recalled"},
        VerdictCase{.name = "offer late and twice",
                    .idempotent = true,
                    .deadline = milliseconds(2000),
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.network =
                              ApplyToFirst(schema::Envelope::kOffer, kTwice);
                        },
                    .counted = "agent duplicate_attempt"},
        // No connection accepted the offer, so it did not run.
        VerdictCase{.name = "offer unsent",
                    .idempotent = true,
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.network =
                              ApplyToFirst(schema::Envelope::kOffer, kUnsent);
                        },
                    .counted = "retried agent_unreachable"},
        // The request ran, but its answer was lost. The agent has kept a copy.
        VerdictCase{.name = "answer lost",
                    .idempotent = true,
                    .deadline = milliseconds(2000),
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.network =
                              ApplyToFirst(schema::Envelope::kAnswer, kLost);
                        }},
        VerdictCase{.name = "answer twice",
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.network =
                              ApplyToFirst(schema::Envelope::kAnswer, kTwice);
                        },
                    .counted = "dropped message_late"},
        // The second copy reaches a new incarnation of the agent, whose credits
        // have the same numbers as those of the previous one.
        VerdictCase{.name = "offer twice, agent restarted between",
                    .idempotent = true,
                    .deadline = milliseconds(2000),
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.network =
                              ApplyToFirst(schema::Envelope::kOffer,
                                           {.copies = 2,
                                            .extra_delay = milliseconds(600),
                                            .unsent = false});
                          KillBothAgentsAfter(harness, milliseconds(800));
                        },
                    .counted = "agent wrong_incarnation"},
        // The agent is killed before it receives the offer, or during the run;
        // no process can confirm whether the request ran.
        VerdictCase{.name = "killed before the run",
                    .idempotent = true,
                    .deadline = milliseconds(2000),
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.network =
                              ApplyToFirst(schema::Envelope::kOffer, kLost);
                          KillBothAgentsAfter(harness, milliseconds(100));
                        },
                    .verdict = schema::MAY_HAVE_RUN,
                    .reason = schema::AGENT_RESTARTED,
                    .runs = 0},
        VerdictCase{.name = "killed during the run",
                    .idempotent = true,
                    .fault =
                        [](ClusterHarness& harness) {
                          KillBothAgentsAfter(harness, milliseconds(15));
                        },
                    .verdict = schema::MAY_HAVE_RUN,
                    .reason = schema::AGENT_RESTARTED},
        VerdictCase{.name = "repeatable request runs on other agent",
                    .fault = KillOfferedAgentAfter(milliseconds(5)),
                    .runs = 2,
                    .counted = "retried agent_restarted"},
        // The endpoint's answer is truncated and must not be forwarded as
        // complete.
        VerdictCase{.name = "answer truncated",
                    .idempotent = true,
                    .fault = EndpointReturns(schema::ENDPOINT_ANSWER_TRUNCATED,
                                             schema::MAY_HAVE_RUN),
                    .verdict = schema::MAY_HAVE_RUN,
                    .reason = schema::ENDPOINT_ANSWER_TRUNCATED},
        VerdictCase{.name = "endpoint refuses connections",
                    .idempotent = true,
                    .fault = EndpointReturns(schema::ENDPOINT_CONNECT_FAILED,
                                             schema::NOT_RUN),
                    .verdict = schema::NOT_RUN,
                    .reason = schema::ENDPOINT_CONNECT_FAILED,
                    .runs = 2},
        // The endpoint does not answer in time; a timeout does not show whether
        // the request ran.
        VerdictCase{.name = "slower than the deadline",
                    .fault =
                        [](ClusterHarness& harness) {
                          harness.endpoint = [](int) {
                            return EndpointResponse{.response_time =
                                                        milliseconds(900)};
                          };
                        },
                    .verdict = schema::MAY_HAVE_RUN,
                    .reason = schema::ATTEMPT_TIMEOUT,
                    .counted = "dropped message_late"}));

// Guards against matching an answer by less than attempt, agent and
// incarnation, which could return it to the wrong caller. Answers come from an
// agent that received no offer, from another incarnation, for an unknown
// attempt, or without a status.
TEST(CrossedAnswerTest, ReachesNoCaller) {
  ClusterHarness harness;
  harness.options.agents = 2;
  harness.Start();
  schema::Envelope offered;
  std::string offered_agent;
  harness.network = [&](const std::string&, const std::string& to,
                        const schema::Envelope& message) {
    if (message.has_offer()) {
      offered = message;
      offered_agent = to;
    }
    return message.has_offer() ? kLost : Delivery();
  };
  harness.SendRequest(0, "r", milliseconds(200));
  EntryRouter& router = harness.cluster->router(0);
  const auto answer = [&](const std::string& agent, uint64_t incarnation,
                          uint64_t id, uint32_t status) {
    schema::Envelope message;
    message.set_sender_incarnation(incarnation);
    message.mutable_answer()->set_attempt_id(id);
    message.mutable_answer()->set_verdict(schema::ANSWERED);
    message.mutable_answer()->mutable_http()->set_status(status);
    for (const RouterAction& action :
         router.OnMessage(harness.cluster->now(), agent, message)) {
      if (std::holds_alternative<CallerReply>(action)) {
        return true;
      }
    }
    return false;
  };
  const uint64_t id = offered.offer().attempt_id();
  const uint64_t incarnation = offered.offer().agent_incarnation();
  const std::string other = offered_agent == "agent-0" ? "agent-1" : "agent-0";
  EXPECT_FALSE(answer(other, incarnation, id, 200));
  EXPECT_FALSE(answer(offered_agent, incarnation + 99, id, 200));
  EXPECT_FALSE(answer(offered_agent, incarnation, id + 1, 200));
  EXPECT_FALSE(answer(offered_agent, incarnation, id, 0));
  EXPECT_TRUE(answer(offered_agent, incarnation, id, 200));
  EXPECT_FALSE(answer(offered_agent, incarnation, id, 200));
}

// Guards against reporting a removed attempt as not run. The answer is lost,
// the agent's retention is short, and the entry sends its recall late.
TEST(ForgottenAttemptTest, IsNotReportedAsNotRun) {
  ClusterHarness harness;
  harness.options.admission.answer_retention = milliseconds(1);
  harness.options.admission.credit_ttl = milliseconds(100);
  harness.Start();
  bool path_down = true;
  harness.network = [&](const std::string&, const std::string&,
                        const schema::Envelope& message) {
    return path_down && !message.has_offer() && !message.has_announce()
               ? kLost
               : Delivery();
  };
  harness.SendRequest(0, "r", milliseconds(4000), "key");
  harness.cluster->RunFor(milliseconds(2000));
  path_down = false;
  harness.cluster->RunFor(milliseconds(4000));
  EXPECT_EQ(harness.runs["r"], 1);
  EXPECT_EQ(harness.replies["r"].verdict, schema::MAY_HAVE_RUN);
}

}  // namespace
}  // namespace rhubarbhaven
