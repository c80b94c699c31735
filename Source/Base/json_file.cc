#include "Base/json_file.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include "Schema/schema.h"

namespace rhubarbhaven {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

auto FieldError(const std::string& origin,
                const std::string& field,
                const std::string& text) -> absl::Status {
  return absl::InvalidArgumentError(
      absl::StrCat(origin, ": field \"", field, "\": ", text));
}

auto NumberOf(const Message& message, const FieldDescriptor* field)
    -> std::optional<double> {
  const auto* reflection = message.GetReflection();
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return reflection->GetUInt32(message, field);
    case FieldDescriptor::CPPTYPE_UINT64:
      return static_cast<double>(reflection->GetUInt64(message, field));
    default:
      return std::nullopt;
  }
}

auto SetNumber(Message* message, const FieldDescriptor* field, double value)
    -> void {
  const auto* reflection = message->GetReflection();
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    reflection->SetUInt32(message, field, static_cast<uint32_t>(value));
  } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
    reflection->SetUInt64(message, field, static_cast<uint64_t>(value));
  }
}

auto CheckNumber(const std::string& origin,
                 const std::string& path,
                 const schema::FieldRule& rule,
                 const FieldDescriptor* field,
                 Message* message) -> absl::Status {
  const double value = NumberOf(*message, field).value_or(0);
  if (value == 0) {
    if (rule.required()) {
      return FieldError(origin, path, "is missing or zero, a value is needed");
    }
    SetNumber(message, field, rule.fallback());
    return absl::OkStatus();
  }
  const bool bounded = rule.min() != 0 || rule.max() != 0;
  if (bounded && (value < rule.min() || value > rule.max())) {
    return FieldError(origin, path,
                      absl::StrCat("found ", value, ", allowed is ", rule.min(),
                                   " to ", rule.max()));
  }
  return absl::OkStatus();
}

auto CheckText(const std::string& origin,
               const std::string& path,
               const schema::FieldRule& rule,
               const std::string& value) -> absl::Status {
  if (rule.required() && value.empty()) {
    return FieldError(origin, path, "is missing, a value is needed");
  }
  const auto& allowed = rule.one_of();
  if (!allowed.empty() &&
      std::find(allowed.begin(), allowed.end(), value) == allowed.end()) {
    return FieldError(origin, path,
                      absl::StrCat("found \"", value, "\", allowed is \"",
                                   absl::StrJoin(allowed, "\" or \""), "\""));
  }
  return absl::OkStatus();
}

auto CheckMessage(const std::string& origin,
                  const std::string& prefix,
                  Message* message) -> absl::Status;

auto CheckRepeated(const std::string& origin,
                   const std::string& path,
                   const FieldDescriptor* field,
                   Message* message) -> absl::Status {
  const auto* reflection = message->GetReflection();
  const int size = reflection->FieldSize(*message, field);
  if (field->options().GetExtension(schema::rule).required() && size == 0) {
    return FieldError(origin, path, "is empty, at least one is needed");
  }
  if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
    return absl::OkStatus();
  }
  for (int i = 0; i < size; ++i) {
    auto* item = reflection->MutableRepeatedMessage(message, field, i);
    auto status = CheckMessage(origin, absl::StrCat(path, "[", i, "]."), item);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

auto CheckField(const std::string& origin,
                const std::string& path,
                const FieldDescriptor* field,
                Message* message) -> absl::Status {
  const auto* reflection = message->GetReflection();
  if (field->is_repeated()) {
    return CheckRepeated(origin, path, field, message);
  }
  const auto& rule = field->options().GetExtension(schema::rule);
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      if (!reflection->HasField(*message, field)) {
        return absl::OkStatus();
      }
      return CheckMessage(origin, path + ".",
                          reflection->MutableMessage(message, field));
    case FieldDescriptor::CPPTYPE_STRING:
      return CheckText(origin, path, rule,
                       reflection->GetString(*message, field));
    case FieldDescriptor::CPPTYPE_UINT32:
    case FieldDescriptor::CPPTYPE_UINT64:
      return CheckNumber(origin, path, rule, field, message);
    default:
      return absl::OkStatus();
  }
}

auto CheckMessage(const std::string& origin,
                  const std::string& prefix,
                  Message* message) -> absl::Status {
  const auto* descriptor = message->GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const auto* field = descriptor->field(i);
    auto status = CheckField(origin, prefix + field->name(), field, message);
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

}  // namespace

auto LoadJsonFile(const std::string& path, Message* message) -> absl::Status {
  std::ifstream file(path);
  if (!file) {
    return absl::NotFoundError(
        absl::StrCat(path, ": cannot be read; name an existing file"));
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseJson(path, text.str(), message);
}

auto ParseJson(const std::string& origin,
               const std::string& text,
               Message* message) -> absl::Status {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = false;
  const auto parsed =
      google::protobuf::util::JsonStringToMessage(text, message, options);
  if (!parsed.ok()) {
    // The message of the library may contain line breaks; an error is one line.
    std::string line(parsed.message());
    std::replace(line.begin(), line.end(), '\n', ' ');
    return absl::InvalidArgumentError(absl::StrCat(
        origin, ": ", line, "; allowed are the fields of ",
        message->GetDescriptor()->name(), " with their types, in JSON"));
  }
  return CheckFieldRules(origin, message);
}

auto CheckFieldRules(const std::string& origin, Message* message)
    -> absl::Status {
  return CheckMessage(origin, "", message);
}

}  // namespace rhubarbhaven
