// Runs the cases under Cases/, one folder each:
//   args             one command per line; "!PATH" posts to the log server
//   expected-exit    the exit code of each command, one per line
//   expected-output  the output and errors of all commands, in order;
//                    LOG and ENTRY replace URLs, ID the id of a change
// Commands run in the folder, with a simulated log server and an entry that
// answers /operator/v1/NAME from the folder's NAME.json.

#include <gtest/gtest.h>

#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include "Client/client.h"
#include "Tests/StandIns/Log/log_stand_in.h"

namespace rhubarbhaven {
namespace {

namespace fs = std::filesystem;

auto ReadFile(const fs::path& path) -> std::string {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

auto Lines(const fs::path& path) -> std::vector<std::string> {
  return absl::StrSplit(ReadFile(path), '\n', absl::SkipEmpty());
}

auto CaseNames() -> std::vector<std::string> {
  std::vector<std::string> names;
  for (const auto& folder : fs::directory_iterator(CASES_FOLDER)) {
    names.push_back(folder.path().filename());
  }
  std::sort(names.begin(), names.end());
  return names;
}

auto EntryAnswer(const fs::path& folder, const HttpServerRequest& request)
    -> HttpServerAnswer {
  const auto file =
      folder / (fs::path(request.path).filename().string() + ".json");
  if (!fs::exists(file)) {
    return {404, {}, R"({"owner":"entry-2"})"};
  }
  return {200, {}, ReadFile(file)};
}

auto Post(const std::string& url) -> void {
  HttpClientRequest request;
  request.method = "POST";
  request.url = url;
  HttpClient http;
  ASSERT_EQ(http.Call(request).http.status(), 200U) << url;
}

class ClientTest : public testing::TestWithParam<std::string> {};

TEST_P(ClientTest, PrintsAndExitsAsExpected) {
  const fs::path folder = fs::path(CASES_FOLDER) / GetParam();
  LogStandIn log({});
  ASSERT_TRUE(log.Start().ok());
  HttpServerOptions options;
  options.handler = [&folder](const HttpServerRequest& request,
                              const HttpResponder& respond) -> void {
    respond(EntryAnswer(folder, request));
  };
  HttpServer entry(std::move(options));
  ASSERT_TRUE(entry.Start().ok());
  const std::string entry_url =
      "http://127.0.0.1:" + std::to_string(entry.port());
  setenv("RHUBARBHAVEN_LOG_URL", log.url().c_str(), 1);
  setenv("RHUBARBHAVEN_ENTRIES", entry_url.c_str(), 1);
  fs::current_path(folder);

  std::ostringstream output;
  std::vector<std::string> codes;
  for (const auto& line : Lines("args")) {
    if (line[0] == '!') {
      Post(log.url() + line.substr(1));
      continue;
    }
    const std::vector<std::string> arguments =
        absl::StrSplit(line, ' ', absl::SkipEmpty());
    codes.push_back(std::to_string(
        static_cast<int>(RunCommand(arguments, output, output))));
  }
  const std::string printed = std::regex_replace(
      absl::StrReplaceAll(output.str(),
                          {{log.url(), "LOG"}, {entry_url, "ENTRY"}}),
      std::regex("[0-9a-f]{32}"), "ID");
  EXPECT_EQ(printed, ReadFile("expected-output"));
  EXPECT_EQ(codes, Lines("expected-exit"));
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         ClientTest,
                         testing::ValuesIn(CaseNames()),
                         [](const auto& info) {
                           return absl::StrReplaceAll(info.param, {{"-", "_"}});
                         });

// Without this test, an empty folder of cases would pass.
TEST(ClientCasesTest, FindsEnoughCases) {
  EXPECT_GE(CaseNames().size(), 40);
}

}  // namespace
}  // namespace rhubarbhaven
