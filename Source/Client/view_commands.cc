#include "Client/view_commands.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <ostream>
#include <utility>

#include "Client/config_session.h"
#include "Client/entry_client.h"
#include "Client/file_check.h"
#include "Client/options.h"
#include "Client/table.h"

namespace rhubarbhaven {
namespace {

using Statuses = std::vector<schema::OperatorStatus>;

auto IsShown(const std::string& partner) -> bool {
  return FLAGS_partner.empty() || FLAGS_partner == partner;
}

auto Text(uint64_t number) -> std::string {
  return absl::StrCat(number);
}

// Prints an empty line before the table. Prints nothing if it has no rows.
auto PrintTable(const Table& table, CommandContext* context) -> void {
  if (!table.empty()) {
    context->out << "\n";
    table.Print(context->out);
  }
}

auto PrintEntries(const Statuses& statuses, CommandContext* context) -> void {
  Table table({"ENTRY", "CONFIG", "LOG", "OWNS", "INCARNATION"});
  for (const auto& status : statuses) {
    table.Add({status.process(), Text(status.config_applied()),
               status.log_reachable() ? "reachable" : "unreachable",
               absl::StrJoin(status.owns(), ","), Text(status.incarnation())});
  }
  table.Print(context->out);
}

auto PrintAgents(const Statuses& statuses, CommandContext* context) -> void {
  Table table({"AGENT", "INSTANCE", "STATE", "CONFIG", "SEEN BY"});
  for (const auto& status : statuses) {
    for (const auto& agent : status.agents()) {
      table.Add({agent.agent(), agent.instance(), agent.state(),
                 Text(agent.config_applied()), status.process()});
    }
  }
  PrintTable(table, context);
}

auto PrintEndpoints(const Statuses& statuses, CommandContext* context) -> void {
  Table table({"ENDPOINT", "PARTNER", "SERVICE", "STATE", "CREDITS",
               "IN PROGRESS", "SERVICE US", "SEEN BY"});
  for (const auto& status : statuses) {
    for (const auto& endpoint : status.endpoints()) {
      if (IsShown(endpoint.partner())) {
        table.Add({endpoint.agent(), endpoint.partner(), endpoint.service(),
                   endpoint.state(), Text(endpoint.credits()),
                   Text(endpoint.in_progress()),
                   Text(endpoint.service_time_us()), status.process()});
      }
    }
  }
  PrintTable(table, context);
}

auto PrintInstances(const Statuses& statuses, CommandContext* context) -> void {
  Table table({"INSTANCE", "AGENT", "STATE", "TASKS", "SILENT MS",
               "INCARNATION", "SEEN BY"});
  for (const auto& status : statuses) {
    for (const auto& instance : status.instances()) {
      table.Add({instance.instance(), instance.agent(), instance.state(),
                 Text(instance.tasks()), Text(instance.silent_ms()),
                 Text(instance.incarnation()), status.process()});
    }
  }
  PrintTable(table, context);
}

auto TaskText(const schema::TaskStatus& task) -> std::string {
  return absl::StrCat(task.partner(), "/", task.job(), "/", task.index());
}

auto PrintTasks(const std::vector<schema::TaskStatus>& tasks,
                CommandContext* context) -> void {
  Table table({"TASK", "STATE", "ATTEMPT", "INSTANCE", "EVICTIONS", "WHY"});
  for (const auto& task : tasks) {
    table.Add({TaskText(task), task.state(), Text(task.attempt()),
               task.instance(), Text(task.evictions()), task.why()});
  }
  table.Print(context->out);
}

// True if there is no argument, or if it is the object's kind or key.
auto MatchesArgument(const CommandContext& context,
                     const schema::ObjectKey& key) -> bool {
  if (context.arguments.empty()) {
    return true;
  }
  const std::string& argument = context.arguments.front();
  return argument == key.kind() ||
         argument == absl::StrCat(key.kind(), "/", key.name()) ||
         argument == KeyText(key);
}

auto ParsedTask(CommandContext* context) -> absl::StatusOr<TaskName> {
  return ParseTaskName(context->arguments.front());
}

}  // namespace

auto RunCheck(CommandContext* context) -> ExitCode {
  const auto kind = CheckFile(context->arguments.front());
  if (!kind.ok()) {
    return Fail(context, kind.status());
  }
  const bool is_register = *kind == FileKind::kRegister;
  if (FLAGS_json) {
    context->out << "{\"valid\":true,\"kind\":\""
                 << (is_register ? "register" : "settings") << "\"}\n";
  } else {
    context->out << context->arguments.front() << ": a valid "
                 << (is_register ? "register" : "settings file") << "\n";
  }
  return ExitCode::kOk;
}

auto RunShow(CommandContext* context) -> ExitCode {
  auto url = LogUrl();
  if (!url.ok()) {
    return Fail(context, url.status());
  }
  ConfigSession session(*std::move(url), context->deadline);
  const auto status = session.CatchUp();
  if (!status.ok()) {
    return Fail(context, status);
  }
  schema::ConfigState shown;
  shown.set_applied(session.fold().applied());
  Table table({"PARTNER", "KIND", "NAME", "VERSION", "CREATED", "VALUE"});
  for (const auto& object : session.fold().objects()) {
    if (!IsShown(object.key().partner()) ||
        !MatchesArgument(*context, object.key())) {
      continue;
    }
    *shown.add_objects() = object;
    table.Add({object.key().partner(), object.key().kind(), object.key().name(),
               Text(object.version()), Text(object.created()),
               object.object().ShortDebugString()});
  }
  if (FLAGS_json) {
    context->out << ToJson(shown) << "\n";
  } else {
    table.Print(context->out);
  }
  return ExitCode::kOk;
}

auto RunStatus(CommandContext* context) -> ExitCode {
  auto urls = EntryUrls();
  if (!urls.ok()) {
    return Fail(context, urls.status());
  }
  EntryClient entries(*std::move(urls));
  Statuses statuses;
  absl::Status problem;
  for (const auto& url : entries.urls()) {
    auto status = entries.Status(url);
    if (status.ok()) {
      statuses.push_back(*std::move(status));
    } else {
      problem = status.status();
      context->err << problem.message() << "\n";
    }
  }
  if (FLAGS_json) {
    std::vector<std::string> items;
    for (const auto& status : statuses) {
      items.push_back(ToJson(status));
    }
    context->out << "[" << absl::StrJoin(items, ",") << "]\n";
  } else if (!statuses.empty()) {
    PrintEntries(statuses, context);
    PrintAgents(statuses, context);
    PrintEndpoints(statuses, context);
    PrintInstances(statuses, context);
  }
  return problem.ok() ? ExitCode::kOk : ExitCode::kUnreachable;
}

auto RunTasks(CommandContext* context) -> ExitCode {
  auto urls = EntryUrls();
  if (!urls.ok()) {
    return Fail(context, urls.status());
  }
  EntryClient entries(*std::move(urls));
  std::vector<schema::TaskStatus> tasks;
  schema::OperatorTasks shown;
  absl::Status problem =
      absl::UnavailableError("no entry owns the cell at the moment; try again");
  for (const auto& url : entries.urls()) {
    const auto answer = entries.Tasks(url);
    if (!answer.ok()) {
      problem = absl::IsNotFound(answer.status()) ? problem : answer.status();
      continue;
    }
    shown.set_owner(answer->owner());
    for (const auto& task : answer->tasks()) {
      if (IsShown(task.partner())) {
        tasks.push_back(task);
        *shown.add_tasks() = task;
      }
    }
  }
  if (shown.owner().empty()) {
    return Fail(context, problem);
  }
  if (FLAGS_json) {
    context->out << ToJson(shown) << "\n";
  } else {
    PrintTasks(tasks, context);
  }
  return ExitCode::kOk;
}

auto RunExplain(CommandContext* context) -> ExitCode {
  const auto task = ParsedTask(context);
  auto urls = EntryUrls();
  if (!task.ok() || !urls.ok()) {
    return Fail(context, task.ok() ? urls.status() : task.status());
  }
  EntryClient entries(*std::move(urls));
  const auto text = entries.Explain(*task);
  if (!text.ok()) {
    return Fail(context, text.status());
  }
  if (FLAGS_json) {
    schema::OperatorExplanation answer;
    answer.set_text(*text);
    context->out << ToJson(answer) << "\n";
  } else {
    context->out << *text << "\n";
  }
  return ExitCode::kOk;
}

auto RunEvict(CommandContext* context) -> ExitCode {
  const auto task = ParsedTask(context);
  auto urls = EntryUrls();
  if (!task.ok() || !urls.ok()) {
    return Fail(context, task.ok() ? urls.status() : task.status());
  }
  EntryClient entries(*std::move(urls));
  const auto status = entries.Evict(*task);
  if (!status.ok()) {
    return Fail(context, status);
  }
  context->out << (FLAGS_json ? "{\"ok\":true}" : "eviction was asked for")
               << "\n";
  return ExitCode::kOk;
}

}  // namespace rhubarbhaven
