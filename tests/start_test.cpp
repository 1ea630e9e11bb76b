// Tests the server's command line and its error messages for invalid settings files.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace {

struct CommandResult {
  int code = -1;
  std::string text;  // stdout and stderr
};

struct ServerStartTest : testing::Test {
  ~ServerStartTest() override { std::remove(config_path.c_str()); }
  // `arguments` and `config` reach the shell unquoted, so they must hold no shell metacharacters.
  CommandResult run(const std::string& arguments, const std::string& config) {
    std::string command_line =
        "LB_CONFIG=" + config + " timeout 10 " MYRTLECROFT_PROGRAM " " + arguments + " 2>&1";
    FILE* pipe = popen(command_line.c_str(), "r");
    CommandResult result;
    char buffer[512];
    while (std::size_t bytes_read = std::fread(buffer, 1, sizeof buffer, pipe))
      result.text.append(buffer, bytes_read);
    int status = pclose(pipe);
    result.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
  }
  CommandResult check(const std::string& text) {
    std::ofstream(config_path) << text;
    return run("--check", config_path);
  }
  bool contains(const CommandResult& result, const std::string& part) {
    return result.text.find(part) != std::string::npos;
  }

  std::string config_path = testing::TempDir() + "start-" + std::to_string(getpid()) + ".json";
  std::string valid_config =
      R"({"name":"n1","listen":"127.0.0.1:4100","engine":"127.0.0.1:9300","db":"127.0.0.1:8900",
"members":"127.0.0.1:2379","seed":"1f","stop_ms":3000,"limits":{"memory_mb":64},
"settings":{"classes":[{"name":"read","effect":"idempotent","gain":1,"goalTimeNs":2000000000,
"hardLimitNs":5000000000}],"familyInfo":{"nCores":2,"ramKb":50000},"limits":{},
"rules":{"overloadFactor":5,"overloadForNs":1000000000}}})";
  std::string config_with(const std::string& old_text, const std::string& new_text) {
    std::string config = valid_config;
    return config.replace(config.find(old_text), old_text.size(), new_text);
  }
};

TEST_F(ServerStartTest, HelpAndVersionNeedNoSettingsFile) {
  CommandResult help = run("--help", "");
  EXPECT_EQ(help.code, 0);
  EXPECT_TRUE(contains(help, "--check"));
  CommandResult version = run("--version", "");
  EXPECT_EQ(version.code, 0);
  EXPECT_TRUE(contains(version, "myrtlecroft "));
}

TEST_F(ServerStartTest, UnknownArgumentsAreRejected) {
  EXPECT_EQ(run("--chek", "").code, 2);
  CommandResult unexpected_argument = run("--check now", "");
  EXPECT_EQ(unexpected_argument.code, 2);
  EXPECT_TRUE(contains(unexpected_argument, "now"));
}

TEST_F(ServerStartTest, CheckAcceptsAValidFile) {
  CommandResult result = check(valid_config);
  EXPECT_EQ(result.code, 0);
  EXPECT_TRUE(contains(result, ": good"));
}

TEST_F(ServerStartTest, CheckReportsFileLineAndField) {
  CommandResult wrong_type = check(config_with("\"gain\":1", "\"gain\":\"much\""));
  EXPECT_EQ(wrong_type.code, 2);
  EXPECT_TRUE(contains(wrong_type, config_path + ":3: settings.classes[0].gain: is not a number"))
      << wrong_type.text;
  CommandResult missing = check(config_with("\"nCores\":2,", ""));
  EXPECT_TRUE(contains(missing, ":4: settings.familyInfo.nCores: is missing")) << missing.text;
  CommandResult invalid_address = check(config_with("127.0.0.1:2379", "nowhere"));
  EXPECT_TRUE(contains(invalid_address, ":2: members: is not an address: 'nowhere'")) << invalid_address.text;
}

// A server of a deployment without a shared dependency did not start, because its settings name no database.
TEST_F(ServerStartTest, DatabaseIsRequiredOnlyIfTheDependencyIsShared) {
  valid_config = config_with("\"db\":\"127.0.0.1:8900\",", "");
  EXPECT_EQ(check(valid_config).code, 0);
  CommandResult without_database =
      check(config_with("\"nCores\":2", "\"nCores\":2,\"downstream\":\"one_for_all\""));
  EXPECT_TRUE(contains(without_database, ":1: db: is missing")) << without_database.text;
}

// Checks the server settings of the project's own deployments (deploy/sites).
TEST_F(ServerStartTest, SettingsOfTheProjectsOwnDeploymentsAreValid) {
  for (const char* name : {"harrow-ledger", "tarn-feed"}) {
    CommandResult result = run("--check", MYRTLECROFT_SITES "/" + std::string(name) + "/server.json");
    EXPECT_EQ(result.code, 0) << result.text;
    EXPECT_TRUE(contains(result, ": good")) << result.text;
  }
}

TEST_F(ServerStartTest, CheckReportsTheLineOfAJsonSyntaxError) {
  CommandResult result = check(config_with("2000000000", "2.0.0"));
  EXPECT_EQ(result.code, 2);
  EXPECT_TRUE(contains(result, config_path + ":3: ")) << result.text;
}

}  // namespace
