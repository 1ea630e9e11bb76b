// The server's command line, and what it says of files that make no sense.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace {

struct Said {
  int code = -1;
  std::string text;  // both outputs
};

struct ServerStartTest : testing::Test {
  ~ServerStartTest() override { std::remove(file.c_str()); }
  // No shell metacharacters come from anywhere but here.
  Said run(const std::string& arguments, const std::string& config) {
    std::string line = "LB_CONFIG=" + config + " timeout 10 " MYRTLECROFT_PROGRAM " " + arguments + " 2>&1";
    FILE* pipe = popen(line.c_str(), "r");
    Said said;
    char buffer[512];
    while (std::size_t got = std::fread(buffer, 1, sizeof buffer, pipe)) said.text.append(buffer, got);
    int status = pclose(pipe);
    said.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return said;
  }
  Said check(const std::string& text) {
    std::ofstream(file) << text;
    return run("--check", file);
  }
  bool has(const Said& said, const std::string& part) { return said.text.find(part) != std::string::npos; }

  std::string file = testing::TempDir() + "start-" + std::to_string(getpid()) + ".json";
  std::string good =
      R"({"name":"n1","listen":"127.0.0.1:4100","engine":"127.0.0.1:9300","db":"127.0.0.1:8900",
"members":"127.0.0.1:2379","seed":"1f","stop_ms":3000,"limits":{"memory_mb":64},
"settings":{"classes":[{"name":"read","effect":"idempotent","gain":1,"goalTimeNs":2000000000,
"hardLimitNs":5000000000}],"familyInfo":{"nCores":2,"ramKb":50000},"limits":{},
"rules":{"overloadFactor":5,"overloadForNs":1000000000}}})";
  std::string with(const std::string& from, const std::string& to) {
    std::string out = good;
    return out.replace(out.find(from), from.size(), to);
  }
};

TEST_F(ServerStartTest, TellsOfItselfWithoutAnyFile) {
  Said help = run("--help", "");
  EXPECT_EQ(help.code, 0);
  EXPECT_TRUE(has(help, "--check"));
  Said version = run("--version", "");
  EXPECT_EQ(version.code, 0);
  EXPECT_TRUE(has(version, "myrtlecroft "));
}

TEST_F(ServerStartTest, UnknownWordsAreNotPassedOver) {
  EXPECT_EQ(run("--chek", "").code, 2);
  Said two = run("--check now", "");
  EXPECT_EQ(two.code, 2);
  EXPECT_TRUE(has(two, "now"));
}

TEST_F(ServerStartTest, CheckFindsAGoodFileGood) {
  Said said = check(good);
  EXPECT_EQ(said.code, 0);
  EXPECT_TRUE(has(said, ": good"));
}

TEST_F(ServerStartTest, CheckNamesFileLineAndField) {
  Said wrong = check(with("\"gain\":1", "\"gain\":\"much\""));
  EXPECT_EQ(wrong.code, 2);
  EXPECT_TRUE(has(wrong, file + ":3: settings.classes[0].gain: is not a number")) << wrong.text;
  Said missing = check(with("\"nCores\":2,", ""));
  EXPECT_TRUE(has(missing, ":4: settings.familyInfo.nCores: is missing")) << missing.text;
  Said address = check(with("127.0.0.1:2379", "nowhere"));
  EXPECT_TRUE(has(address, ":2: members: is not an address: 'nowhere'")) << address.text;
}

// A server of a deployment that shares nothing below did not start: it is told of no database.
TEST_F(ServerStartTest, ADatabaseIsNamedOnlyWhereOneIsShared) {
  good = with("\"db\":\"127.0.0.1:8900\",", "");
  EXPECT_EQ(check(good).code, 0);
  Said shared = check(with("\"nCores\":2", "\"nCores\":2,\"downstream\":\"one_for_all\""));
  EXPECT_TRUE(has(shared, ":1: db: is missing")) << shared.text;
}

// Our own deployments, as a server of each was told of it (deploy/sites).
TEST_F(ServerStartTest, TheSettingsOfOurOwnDeploymentsAreTaken) {
  for (const char* name : {"harrow-ledger", "tarn-feed"}) {
    Said said = run("--check", MYRTLECROFT_SITES "/" + std::string(name) + "/server.json");
    EXPECT_EQ(said.code, 0) << said.text;
    EXPECT_TRUE(has(said, ": good")) << said.text;
  }
}

TEST_F(ServerStartTest, CheckNamesTheLineWhereTextStopsToBeJson) {
  Said said = check(with("2000000000", "2.0.0"));
  EXPECT_EQ(said.code, 2);
  EXPECT_TRUE(has(said, file + ":3: ")) << said.text;
}

}  // namespace
