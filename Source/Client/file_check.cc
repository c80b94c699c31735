#include "Client/file_check.h"

#include <absl/strings/str_cat.h>
#include <google/protobuf/struct.pb.h>

#include "Base/base.h"

namespace rhubarbhaven {
namespace {

constexpr char kRegisterField[] = "partner";
constexpr char kSettingsField[] = "role";

}  // namespace

auto CheckFile(const std::string& path) -> absl::StatusOr<FileKind> {
  google::protobuf::Struct fields;
  auto status = LoadJsonFile(path, &fields);
  if (!status.ok()) {
    return status;
  }
  if (fields.fields().contains(kRegisterField)) {
    const auto loaded = LoadRegister(path);
    if (!loaded.ok()) {
      return loaded.status();
    }
    return FileKind::kRegister;
  }
  if (fields.fields().contains(kSettingsField)) {
    const auto loaded = LoadDaemonSettings(path);
    if (!loaded.ok()) {
      return loaded.status();
    }
    return FileKind::kSettings;
  }
  return absl::InvalidArgumentError(absl::StrCat(
      path, ": is neither a register, which has the field \"", kRegisterField,
      "\", nor a settings file, which has the field \"", kSettingsField, "\""));
}

auto LoadRegister(const std::string& path) -> absl::StatusOr<Register> {
  schema::RegisterFile file;
  auto status = LoadJsonFile(path, &file);
  if (!status.ok()) {
    return status;
  }
  auto objects = ObjectsOf(path, file);
  if (!objects.ok()) {
    return objects.status();
  }
  return Register{file.partner(), *std::move(objects)};
}

}  // namespace rhubarbhaven
