// What a record says over a crash, and that nothing runs twice whatever the disk does.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "recovery/run_records.h"
#include "store/store.h"
#include "store_fakes.h"

namespace myrtlecroft::recovery {
namespace {

constexpr Nanos kWindow = 100 * kSecond;

TEST(RunRecords, ItRunsOnceItsIntentIsDurableAndRepeatsGetItsResult) {
  RunRecords records;
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kIntend);
  EXPECT_EQ(records.record_of("a"), "I");
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kJoin);
  EXPECT_EQ(records.take("a", Input::kDurable), Idempotency::kRun);
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kJoin);
  EXPECT_EQ(records.take("a", Input::kEndedWell, 0, "result"), Idempotency::kKeep);
  EXPECT_EQ(records.record_of("a"), "Gresult");
  EXPECT_EQ(records.take("a", Input::kDurable), Idempotency::kNone);
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kAnswer);
  EXPECT_EQ(records.find("a")->result, "result");
  EXPECT_EQ(records.take("a", Input::kOver), Idempotency::kForget);
  EXPECT_EQ(records.size(), 0u);
}

TEST(RunRecords, AnIntentWithoutAnOutcomeMayHaveRun) {
  RunRecords records;
  EXPECT_TRUE(records.recovered("a", "I", kWindow));
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kTerminate);
  EXPECT_EQ(records.take("a", Input::kWantedSick, kWindow), Idempotency::kTerminate);
  EXPECT_EQ(records.take("a", Input::kOver), Idempotency::kForget);
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kIntend);
}

TEST(RunRecords, OutcomesOutliveACrash) {
  RunRecords records;
  EXPECT_TRUE(records.recovered("good", "Gwhat it made", kWindow));
  EXPECT_TRUE(records.recovered("bad", "B", kWindow));
  EXPECT_EQ(records.take("good", Input::kWanted, kWindow), Idempotency::kAnswer);
  EXPECT_EQ(records.find("good")->result, "what it made");
  EXPECT_EQ(records.take("bad", Input::kWanted, kWindow), Idempotency::kTerminate);
}

TEST(RunRecords, ARecordOfNoKnownKindIsTakenForOneThatMayHaveRun) {
  RunRecords records;
  EXPECT_FALSE(records.recovered("a", "Zsomething newer", kWindow));
  EXPECT_FALSE(records.recovered("b", "", kWindow));
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kTerminate);
  EXPECT_EQ(records.take("b", Input::kWanted, kWindow), Idempotency::kTerminate);
}

TEST(RunRecords, WithASickDiskWhatIsNewIsDeniedAndWhatIsKnownIsAnswered) {
  RunRecords records;
  records.recovered("done", "Gr", kWindow);
  EXPECT_EQ(records.take("new", Input::kWantedSick, kWindow), Idempotency::kReject);
  EXPECT_EQ(records.take("done", Input::kWantedSick, kWindow), Idempotency::kAnswer);
  EXPECT_EQ(records.take("lost", Input::kWanted, kWindow), Idempotency::kIntend);
  EXPECT_EQ(records.take("lost", Input::kLost), Idempotency::kReject);
  EXPECT_EQ(records.take("lost", Input::kWanted, kWindow), Idempotency::kIntend);  // the disk is well again
}

TEST(RunRecords, WhatNeverRanMayRunLater) {
  RunRecords records;
  records.take("a", Input::kWanted, kWindow);
  records.take("a", Input::kDurable);
  EXPECT_EQ(records.take("a", Input::kNeverRan), Idempotency::kTakeBack);
  EXPECT_EQ(records.take("a", Input::kWanted, kWindow), Idempotency::kIntend);
}

// A server in small: records and store on a fake disk that fails and loses, the engine an account of what
// ran.
struct Node {
  Node(std::unique_ptr<store::FakeDisk> on, std::map<std::string, int>& engine)
      : disk(std::move(on)),
        store(
            *disk, {.segment_bytes = 600, .slice_bytes = 300, .max_small = 3}, [this] { return time; }, 5),
        ran(engine) {}
  void start() {
    store.open();
    store.for_each(
        [&](const store::Record& record) { records.recovered(record.key, record.value, record.window); });
  }
  void write(const std::string& key, bool intent) {
    store.put(key, records.record_of(key), kWindow);
    try {
      store.commit();
    } catch (const store::DiskError&) {
      if (intent) records.take(key, Input::kLost);
      return;
    }
    if (intent && records.take(key, Input::kDurable) == Idempotency::kRun) ++ran[key];
  }
  // What the caller is told.
  Idempotency wanted(const std::string& key) {
    Idempotency idempotency = records.take(key, Input::kWanted, kWindow);
    if (idempotency == Idempotency::kIntend) write(key, true);
    return idempotency;
  }
  void ended(const std::string& key) {
    if (records.take(key, Input::kEndedWell, 0, "of " + key) == Idempotency::kKeep) write(key, false);
  }

  Nanos time = 0;
  std::unique_ptr<store::FakeDisk> disk;
  store::Store store;
  RunRecords records;
  std::map<std::string, int>& ran;
};

TEST(RunRecords, NothingRunsTwiceOverCrashesAndFailuresAtAnyStep) {
  for (unsigned seed = 0; seed < 400; ++seed) {
    std::mt19937 random(seed);
    std::map<std::string, int> ran;
    std::set<std::string> ended;
    auto node = std::make_unique<Node>(std::make_unique<store::FakeDisk>(), ran);
    for (int incarnation = 0; incarnation < 4; ++incarnation) {
      node->disk->crash_at = static_cast<int>(1 + random() % 60);
      if (random() % 2) node->disk->fail_at = static_cast<int>(8 + random() % 30);
      try {
        node->start();
        for (int i = 0; i < 30; ++i) {
          std::string key = "key" + std::to_string(random() % 6);
          Idempotency told = node->wanted(key);
          if (told == Idempotency::kAnswer) {
            EXPECT_EQ(node->records.find(key)->result, "of " + key);
          }
          if (told == Idempotency::kReject) {
            EXPECT_EQ(ran[key], 0) << "what has run is never denied";
          }
          if (random() % 2) node->ended(key);
          try {
            node->store.compact_slice();
          } catch (const store::DiskError&) {
          }
        }
      } catch (const store::Crashed&) {
      } catch (const store::DiskError&) {  // the start
      }
      node = std::make_unique<Node>(node->disk->after_crash([&] { return random() % 2 == 0; }), ran);
    }
    for (const auto& [key, times] : ran) EXPECT_LE(times, 1) << key << " seed " << seed;
  }
}

}  // namespace
}  // namespace myrtlecroft::recovery
