// Runs written down before they happen: the service with a record of the story's, and the whole program
// killed.
#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "program_story.h"

namespace myrtlecroft {
namespace {

// ---- The service

struct FakeRecords : service::IdempotencyLog {
  bool accepts_writes() const override { return well; }
  void record_intent(const service::ServerRequest& request, Nanos) override {
    intended.push_back(request.id);
  }
  void record_outcome(const service::ServerRequest& request, bool good, std::string_view result) override {
    told.push_back((good ? "good " : "bad ") + request.id + " " + std::string(result));
  }
  void erase_intent(const service::ServerRequest& request) override {
    told.push_back("never ran " + request.id);
  }
  bool well = true;
  std::vector<std::string> intended;
  std::vector<std::string> told;
};

struct RecordStory : testing::Test {
  RecordStory() { world.engine_up(); }
  FakeRecords records;
  FakeWorld world{two_core_config(), 1'000, &records};
};

TEST_F(RecordStory, ADeduplicatedExchangeRunsOnlyOnceItsIntentIsDurable) {
  Caller& caller = world.read("a", kWriteClass, "k1");
  EXPECT_EQ(records.intended, std::vector<std::string>{"a"});
  EXPECT_EQ(world.count("run a"), 0);
  world.service.intent_recorded("a", true);
  EXPECT_EQ(world.count("run a"), 1);
  world.done("a", Outcome::kOk, "made");
  EXPECT_EQ(caller.only(), "completed made");
  EXPECT_EQ(records.told, std::vector<std::string>{"good a made"});
}

TEST_F(RecordStory, WhatMayRepeatWaitsForNoDisk) {
  world.read("a");
  EXPECT_TRUE(records.intended.empty());
  EXPECT_EQ(world.count("run a"), 1);
}

// One whose record takes long keeps no core from those behind it.
TEST_F(RecordStory, ThoseBehindOneThatWaitsForTheDiskAreStarted) {
  world.read("a", kWriteClass, "k1");
  world.read("b");
  EXPECT_EQ(world.count("run b"), 1);
  world.service.intent_recorded("a", true);
  EXPECT_EQ(world.count("run a"), 1);
}

TEST_F(RecordStory, AnIntentThatIsNotKnownToBeDurableIsDeniedUnrun) {
  Caller& caller = world.read("a", kWriteClass, "k1");
  world.service.intent_recorded("a", false);
  EXPECT_EQ(caller.only(), "denied");
  EXPECT_EQ(world.count("run a"), 0);
  // Its repeat is new work.
  world.read("b", kWriteClass, "k1");
  world.service.intent_recorded("b", true);
  EXPECT_EQ(world.count("run b"), 1);
}

TEST_F(RecordStory, WithASickDiskNewDeduplicatedWorkIsDeniedAtOnceAndTheRestGoesOn) {
  world.read("known", kWriteClass, "k0");
  world.service.intent_recorded("known", true);
  world.done("known", Outcome::kOk, "made");
  records.well = false;
  EXPECT_EQ(world.read("a", kWriteClass, "k1").only(), "denied");
  EXPECT_EQ(world.read("again", kWriteClass, "k0").only(), "completed made");
  world.read("b");
  EXPECT_EQ(world.count("run b"), 1);
  records.well = true;
  world.read("c", kWriteClass, "k1");
  EXPECT_EQ(records.intended.back(), "c");
}

TEST_F(RecordStory, ARepeatOfOneThatWaitsForTheDiskWaitsWithIt) {
  Caller& first = world.read("a", kWriteClass, "k1");
  Caller& second = world.read("b", kWriteClass, "k1");
  EXPECT_EQ(records.intended.size(), 1u);
  world.service.intent_recorded("a", true);
  world.done("a", Outcome::kOk, "made");
  EXPECT_EQ(first.only(), "completed made");
  EXPECT_EQ(second.only(), "completed made");
}

// A word of the disk that comes after the end changes nothing.
TEST_F(RecordStory, OneWhoseTimeEndsWhileTheDiskIsOutIsDeniedAndItsIntentTakenBack) {
  Caller& caller = world.read("a", kWriteClass, "k1", kSecond);
  for (int i = 0; i < 60; ++i) {
    world.time += 25 * kMs;
    world.service.timer_expired();
  }
  EXPECT_EQ(caller.only(), "denied");
  EXPECT_EQ(records.told, std::vector<std::string>{"never ran a"});
  world.service.intent_recorded("a", true);
  EXPECT_EQ(world.count("run a"), 0);
}

TEST_F(RecordStory, WhatAnEarlierLifeLeftIsAnsweredOrTerminatedAndNeverRun) {
  FakeWorld next(two_core_config(), 1'000, &records);
  // The key as the service makes it of key and body.
  world.read("a", kWriteClass, "k1");
  std::string key = world.callers.back().request->key;
  next.service.restore("write", key, true, "made before", 5 * kSecond);
  next.engine_up();
  EXPECT_EQ(next.read("b", kWriteClass, "k1").only(), "completed made before");
  EXPECT_EQ(next.count("run b"), 0);
  world.read("c", kWriteClass, "k2");
  next.service.restore("write", world.callers.back().request->key, false, "", 5 * kSecond);
  EXPECT_EQ(next.read("d", kWriteClass, "k2").only(), "terminated");
  EXPECT_EQ(next.count("run d"), 0);
}

// In the moments between a start and the engine's first word, what had run was rejected as if it never had.
TEST_F(RecordStory, BeforeTheEngineIsUpWhatAnEarlierLifeLeftIsNotDenied) {
  FakeWorld next(two_core_config(), 1'000, &records);
  world.read("a", kWriteClass, "k1");
  next.service.restore("write", world.callers.back().request->key, true, "made before", 5 * kSecond);
  world.read("c", kWriteClass, "k2");
  next.service.restore("write", world.callers.back().request->key, false, "", 5 * kSecond);
  EXPECT_EQ(next.read("b", kWriteClass, "k1").only(), "completed made before");
  EXPECT_EQ(next.read("d", kWriteClass, "k2").only(), "terminated");
  EXPECT_EQ(next.read("e", kWriteClass, "k3").only(), "denied");
  EXPECT_EQ(next.read("f").only(), "denied");
}

}  // namespace

namespace net {
namespace {

// ---- The whole program, killed and started again on the same folder

struct KilledStory : ProgramStory {
  KilledStory() {
    char name[] = "/tmp/myrtlecroft_durable.XXXXXX";
    folder = mkdtemp(name);
    settings = folder + "/node.conf";
    std::ofstream(settings) << "version = 1; store = { folder = \"" << folder << "/store\"; };\n";
    setenv("MYRTLECROFT_SETTINGS", settings.c_str(), 1);
  }
  ~KilledStory() override {
    unsetenv("MYRTLECROFT_SETTINGS");
    if (process > 0) kill(process, SIGKILL), waitpid(process, nullptr, 0), process = 0;
    std::filesystem::remove_all(folder);
  }
  Plain caller() {
    Plain peer;
    peer.connect(port);
    usleep(30'000);
    return peer;
  }
  void kill_it() {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = 0;
  }
  static std::string booking(int id, const std::string& trace, const std::string& key) {
    return FrontStory::request(id, "/api/v2/book", trace, 1, {{"HTTP_REPLAY_KEY", key}});
  }
  std::string folder;
  std::string settings;
};

TEST_F(KilledStory, WhatRanIsAnsweredFromItsRecordAndWhatMayHaveRunIsTerminated) {
  start();
  {
    Plain engine = engine_up();
    Plain peer = caller();
    peer.write(booking(1, "00000000000000a1", "aa"));
    ASSERT_TRUE(comes(engine, "00000000000000a1"));
    engine.write(R"({"cmd":"DONE","offset":1,"req":"00000000000000a1","result":"success","payload":"QUJD"})"
                 "\n");
    ASSERT_TRUE(comes(peer, "ABC"));
    peer.write(booking(2, "00000000000000b1", "bb"));
    ASSERT_TRUE(comes(engine, "00000000000000b1"));
    usleep(100'000);  // the outcome of the first is on its way to the disk
    kill_it();
  }
  start();
  Plain engine = engine_up();
  Plain peer = caller();
  peer.write(booking(1, "00000000000000a2", "aa"));
  EXPECT_TRUE(comes(peer, "ABC"));
  peer.write(booking(2, "00000000000000b2", "bb"));
  EXPECT_TRUE(comes(peer, "Status: 500"));
  // What is new runs.
  peer.write(booking(3, "00000000000000c2", "cc"));
  std::string commands;
  EXPECT_TRUE(
      until([&] { return (commands += engine.read()).find("00000000000000c2") != std::string::npos; }));
  EXPECT_EQ(commands.find("00000000000000a2"), std::string::npos);
  EXPECT_EQ(commands.find("00000000000000b2"), std::string::npos);
}

TEST_F(KilledStory, KilledAtRandomUnderLoadNothingRunsTwice) {
  std::mt19937 random(5);
  std::map<std::string, int> ran;
  std::map<std::string, std::string> key_of;
  int traces = 0;
  for (int incarnation = 0; incarnation < 8; ++incarnation) {
    start();
    Plain engine = engine_up();
    Plain peer = caller();
    std::string commands;
    int offset = 0;
    auto read_engine = [&] {
      commands += engine.read();
      for (std::size_t end; (end = commands.find('\n')) != std::string::npos; commands.erase(0, end + 1)) {
        std::string line = commands.substr(0, end);
        std::size_t at = line.find("\"req\":\"");
        if (line.find("\"RUN\"") == std::string::npos || at == std::string::npos) continue;
        std::string id = line.substr(at + 7, 16);
        ++ran[key_of[id]];
        if (random() % 4) {
          engine.offer(R"({"cmd":"DONE","offset":)" + std::to_string(++offset) + R"(,"req":")" + id +
                       R"(","result":"success","payload":"QUJD"})"
                       "\n");
        }
      }
    };
    for (int i = 0; i < 25; ++i) {
      char trace[17];
      std::snprintf(trace, sizeof trace, "%016x", ++traces);
      std::string key = std::to_string(10 + random() % 40);
      key_of[trace] = key;
      peer.offer(booking(i % 32 + 1, trace, key));
      usleep(static_cast<useconds_t>(random() % 3'000));
      read_engine();
      peer.read();
    }
    usleep(static_cast<useconds_t>(random() % 10'000));
    read_engine();
    kill_it();
    read_engine();
  }
  EXPECT_GT(ran.size(), 20u);
  for (const auto& [key, times] : ran) EXPECT_LE(times, 1) << key;
}

TEST_F(KilledStory, AFolderThatAnotherNodeHasOrThatCannotBeEndsTheStart) {
  start();
  Plain engine = engine_up();
  pid_t first = std::exchange(process, 0);
  port = free_port();  // or it would end for that
  write_config(free_port(), 9);
  start();
  EXPECT_EQ(exit_code(), 1);
  std::swap(process, first);
  kill_it();
  start();
  usleep(200'000);
  EXPECT_EQ(waitpid(process, nullptr, WNOHANG), 0);  // it runs
  kill_it();
  std::ofstream(settings) << "version = 1; store = { folder = \"" << settings << "/below\"; };\n";
  start();
  EXPECT_EQ(exit_code(), 1);
}

}  // namespace
}  // namespace net
}  // namespace myrtlecroft
