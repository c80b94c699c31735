#include "Client/change_commands.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <google/protobuf/util/message_differencer.h>

#include <functional>
#include <ostream>
#include <utility>

#include "Client/change_plan.h"
#include "Client/config_session.h"
#include "Client/file_check.h"
#include "Client/in_force_wait.h"
#include "Client/options.h"

namespace rhubarbhaven {
namespace {

using google::protobuf::util::MessageDifferencer;

auto PrintNames(const std::string& what,
                const std::vector<std::string>& names,
                std::ostream& out) -> void {
  if (!names.empty()) {
    out << what << " " << names.size() << ": " << absl::StrJoin(names, ", ")
        << "\n";
  }
}

auto PrintOutcome(const schema::ChangeOutcome& outcome, std::ostream& out)
    -> void {
  if (FLAGS_json) {
    out << ToJson(outcome) << "\n";
  } else if (outcome.accepted()) {
    out << "accepted at offset " << outcome.offset() << "\n";
  }
}

auto Wait(CommandContext* context, uint64_t offset) -> ExitCode {
  auto urls = EntryUrls();
  if (!urls.ok()) {
    return Fail(context, urls.status());
  }
  EntryClient entries(*std::move(urls));
  const auto status =
      WaitInForce(&entries, offset, context->deadline, context->err);
  if (!status.ok()) {
    return Fail(context, status);
  }
  if (!FLAGS_json) {
    context->out << "in force everywhere\n";
  }
  return ExitCode::kOk;
}

// Submits the change, prints its outcome and, with --wait, waits until it is in
// force.
auto SubmitAndWait(CommandContext* context,
                   ConfigSession* session,
                   schema::ConfigChange change) -> ExitCode {
  change.set_change_id(NewChangeId());
  change.set_operator_(FLAGS_as);
  const auto outcome = session->Submit(std::move(change));
  if (!outcome.ok()) {
    return Fail(context, outcome.status());
  }
  PrintOutcome(*outcome, context->out);
  if (!outcome->accepted()) {
    return Fail(context,
                outcome->conflict()
                    ? absl::AbortedError(outcome->problem())
                    : absl::FailedPreconditionError(outcome->problem()));
  }
  return FLAGS_wait ? Wait(context, outcome->offset()) : ExitCode::kOk;
}

// Reports that the wanted state has been in force since the change at
// `version`.
auto ReportNoChange(CommandContext* context, uint64_t version) -> ExitCode {
  if (FLAGS_json) {
    schema::ChangeOutcome outcome;
    outcome.set_accepted(true);
    outcome.set_offset(version);
    PrintOutcome(outcome, context->out);
  } else {
    context->out << "nothing to change\n";
  }
  return FLAGS_wait ? Wait(context, version) : ExitCode::kOk;
}

auto OpenSession(CommandContext* context)
    -> absl::StatusOr<std::unique_ptr<ConfigSession>> {
  auto url = LogUrl();
  if (!url.ok()) {
    return url.status();
  }
  if (FLAGS_wait) {
    // Checked before anything is changed.
    auto entries = EntryUrls();
    if (!entries.ok()) {
      return entries.status();
    }
  }
  auto session =
      std::make_unique<ConfigSession>(*std::move(url), context->deadline);
  auto status = session->CatchUp();
  if (!status.ok()) {
    return status;
  }
  return session;
}

// Finds the object of this kind by "PARTNER/NAME" or, if only one partner has
// an object of that name, by "NAME".
auto FindByName(const ConfigFold& fold,
                const std::string& kind,
                const std::string& text)
    -> absl::StatusOr<schema::VersionedObject> {
  const std::vector<std::string> parts = absl::StrSplit(text, '/');
  const std::string partner = parts.size() == 2 ? parts[0] : "";
  std::vector<schema::VersionedObject> found;
  for (const auto& object : fold.objects()) {
    const auto& key = object.key();
    if (key.kind() == kind && key.name() == parts.back() &&
        (partner.empty() || key.partner() == partner)) {
      found.push_back(object);
    }
  }
  if (found.size() == 1 && parts.size() <= 2) {
    return found.front();
  }
  return absl::NotFoundError(
      absl::StrCat(kind, ": found \"", text, "\", allowed is PARTNER/NAME of ",
                   found.empty() ? "an object that exists" : "one of several",
                   "; \"show ", kind, "\" lists them"));
}

using Edit = std::function<auto(schema::ConfigObject*)->void>;

auto RunEdit(CommandContext* context, const std::string& kind, const Edit& edit)
    -> ExitCode {
  auto session = OpenSession(context);
  if (!session.ok()) {
    return Fail(context, session.status());
  }
  const auto object =
      FindByName((*session)->fold(), kind, context->arguments.front());
  if (!object.ok()) {
    return Fail(context, object.status());
  }
  schema::ConfigChange change;
  change.set_partner(object->key().partner());
  auto* item = change.add_changes();
  *item->mutable_key() = object->key();
  item->set_expected_version(object->version());
  *item->mutable_object() = object->object();
  edit(item->mutable_object());
  if (MessageDifferencer::Equals(item->object(), object->object())) {
    return ReportNoChange(context, object->version());
  }
  return SubmitAndWait(context, session->get(), std::move(change));
}

}  // namespace

auto RunApply(CommandContext* context) -> ExitCode {
  auto file = LoadRegister(context->arguments.front());
  if (!file.ok()) {
    return Fail(context, file.status());
  }
  auto expected = ParseExpected(ListOption(FLAGS_expect));
  if (!expected.ok()) {
    return Fail(context, expected.status());
  }
  auto session = OpenSession(context);
  if (!session.ok()) {
    return Fail(context, session.status());
  }
  ChangePlanOptions options;
  options.partner = file->partner;
  options.prune = FLAGS_prune;
  options.expected = *std::move(expected);
  auto plan = PlanChange(options, file->objects, (*session)->fold().objects());
  if (!plan.ok()) {
    return Fail(context, plan.status());
  }
  if (!FLAGS_json) {
    PrintNames("create", plan->created, context->out);
    PrintNames("change", plan->changed, context->out);
    PrintNames("remove", plan->removed, context->out);
    PrintNames("left, not in the file", plan->kept, context->out);
  }
  if (plan->change.changes().empty()) {
    return ReportNoChange(context, plan->current_version);
  }
  return SubmitAndWait(context, session->get(), std::move(plan->change));
}

auto RunDrain(CommandContext* context) -> ExitCode {
  return RunEdit(context, kInstanceKind, [](schema::ConfigObject* object) {
    object->mutable_instance()->set_draining(!FLAGS_undo);
  });
}

auto RunCancel(CommandContext* context) -> ExitCode {
  return RunEdit(context, kJobKind, [](schema::ConfigObject* object) {
    object->mutable_job()->set_cancelled(true);
  });
}

auto RunInstanceLost(CommandContext* context) -> ExitCode {
  if (FLAGS_incarnation == 0) {
    return Fail(context, absl::InvalidArgumentError(
                             "option --incarnation: is missing; give the "
                             "incarnation that is gone, as \"status\" lists"));
  }
  return RunEdit(context, kInstanceKind, [](schema::ConfigObject* object) {
    object->mutable_instance()->set_lost_incarnation(FLAGS_incarnation);
  });
}

}  // namespace rhubarbhaven
