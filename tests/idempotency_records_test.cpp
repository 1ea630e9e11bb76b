// Tests the states of keyed requests across crashes, and that no request runs twice whatever the disk does.
#include "recovery/idempotency_records.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "store/store.h"
#include "store_fakes.h"

namespace myrtlecroft::recovery {
namespace {

constexpr Nanos kWindow = 100 * kSecond;

TEST(IdempotencyRecordsTest, RequestRunsOnceItsIntentIsDurableAndRetriesGetItsResult) {
  IdempotencyRecords records;
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kRecordIntent);
  EXPECT_EQ(records.encoded("a"), "I");
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kCoalesce);
  EXPECT_EQ(records.handle("a", Event::kWriteDurable), Action::kRun);
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kCoalesce);
  EXPECT_EQ(records.handle("a", Event::kRunCompleted, {.result = "result"}), Action::kRecordOutcome);
  EXPECT_EQ(records.encoded("a"), "Gresult");
  EXPECT_EQ(records.handle("a", Event::kWriteDurable), Action::kNone);
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kAnswer);
  EXPECT_EQ(records.find("a")->result, "result");
  EXPECT_EQ(records.handle("a", Event::kWindowExpired), Action::kForget);
  EXPECT_EQ(records.size(), 0u);
}

TEST(IdempotencyRecordsTest, RetryOfAnIntentWithoutOutcomeFails) {
  IdempotencyRecords records;
  EXPECT_EQ(records.restore("a", "I", kWindow), IdempotencyRecords::RestoreResult::kRestored);
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kFail);
  EXPECT_EQ(records.handle("a", Event::kRequestedDiskFailed, {.window = kWindow}), Action::kFail);
  EXPECT_EQ(records.handle("a", Event::kWindowExpired), Action::kForget);
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kRecordIntent);
}

TEST(IdempotencyRecordsTest, OutcomesSurviveACrash) {
  IdempotencyRecords records;
  EXPECT_EQ(records.restore("good", "Gwhat it made", kWindow), IdempotencyRecords::RestoreResult::kRestored);
  EXPECT_EQ(records.restore("bad", "B", kWindow), IdempotencyRecords::RestoreResult::kRestored);
  EXPECT_EQ(records.handle("good", Event::kRequested, {.window = kWindow}), Action::kAnswer);
  EXPECT_EQ(records.find("good")->result, "what it made");
  EXPECT_EQ(records.handle("bad", Event::kRequested, {.window = kWindow}), Action::kFail);
}

TEST(IdempotencyRecordsTest, RecordOfUnknownFormatCountsAsOutcomeUnknown) {
  IdempotencyRecords records;
  EXPECT_EQ(records.restore("a", "Zsomething newer", kWindow),
            IdempotencyRecords::RestoreResult::kUnknownFormat);
  EXPECT_EQ(records.restore("b", "", kWindow), IdempotencyRecords::RestoreResult::kUnknownFormat);
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kFail);
  EXPECT_EQ(records.handle("b", Event::kRequested, {.window = kWindow}), Action::kFail);
}

TEST(IdempotencyRecordsTest, FailedDiskRejectsNewRequestsAndAnswersKnownOnes) {
  IdempotencyRecords records;
  records.restore("done", "Gr", kWindow);
  EXPECT_EQ(records.handle("new", Event::kRequestedDiskFailed, {.window = kWindow}), Action::kReject);
  EXPECT_EQ(records.handle("done", Event::kRequestedDiskFailed, {.window = kWindow}), Action::kAnswer);
  EXPECT_EQ(records.handle("lost", Event::kRequested, {.window = kWindow}), Action::kRecordIntent);
  EXPECT_EQ(records.handle("lost", Event::kWriteLost), Action::kReject);
  EXPECT_EQ(records.handle("lost", Event::kRequested, {.window = kWindow}),
            Action::kRecordIntent);  // the disk works again
}

TEST(IdempotencyRecordsTest, RequestThatNeverRanMayRunLater) {
  IdempotencyRecords records;
  records.handle("a", Event::kRequested, {.window = kWindow});
  records.handle("a", Event::kWriteDurable);
  EXPECT_EQ(records.handle("a", Event::kNeverRan), Action::kEraseIntent);
  EXPECT_EQ(records.handle("a", Event::kRequested, {.window = kWindow}), Action::kRecordIntent);
}

// A server that consists of its records and a store on a fake disk. Its engine only counts the runs by key.
struct SimulatedServer {
  SimulatedServer(std::unique_ptr<store::FakeDisk> fake_disk, std::map<std::string, int>& engine)
      : disk(std::move(fake_disk)),
        store(
            *disk, {.segment_bytes = 600, .slice_bytes = 300, .max_small_segments = 3},
            [this] { return time; }, 5),
        run_counts(engine) {}
  void start() {
    store.open();
    store.for_each(
        [&](const store::Record& record) { records.restore(record.key, record.value, record.window); });
  }
  void write(const std::string& key, bool is_intent) {
    store.put(key, records.encoded(key), kWindow);
    try {
      store.commit();
    } catch (const store::DiskError&) {
      if (is_intent) records.handle(key, Event::kWriteLost);
      return;
    }
    if (is_intent && records.handle(key, Event::kWriteDurable) == Action::kRun) ++run_counts[key];
  }
  // Handles a request and returns the action that decides the caller's answer.
  Action handle_request(const std::string& key) {
    Action action = records.handle(key, Event::kRequested, {.window = kWindow});
    if (action == Action::kRecordIntent) write(key, true);
    return action;
  }
  void complete_run(const std::string& key) {
    if (records.handle(key, Event::kRunCompleted, {.result = "of " + key}) == Action::kRecordOutcome)
      write(key, false);
  }

  Nanos time = 0;
  std::unique_ptr<store::FakeDisk> disk;
  store::Store store;
  IdempotencyRecords records;
  std::map<std::string, int>& run_counts;
};

TEST(IdempotencyRecordsTest, NothingRunsTwiceOverCrashesAndFaultsAtAnyDiskOperation) {
  for (unsigned seed = 0; seed < 400; ++seed) {
    std::mt19937 random(seed);
    std::map<std::string, int> run_counts;
    auto server = std::make_unique<SimulatedServer>(std::make_unique<store::FakeDisk>(), run_counts);
    for (int incarnation = 0; incarnation < 4; ++incarnation) {
      server->disk->crash_at_operation = static_cast<int>(1 + random() % 60);
      if (random() % 2) server->disk->fail_at_operation = static_cast<int>(8 + random() % 30);
      try {
        server->start();
        for (int i = 0; i < 30; ++i) {
          std::string key = "key" + std::to_string(random() % 6);
          Action answer = server->handle_request(key);
          if (answer == Action::kAnswer) {
            EXPECT_EQ(server->records.find(key)->result, "of " + key);
          }
          if (answer == Action::kReject) {
            EXPECT_EQ(run_counts[key], 0) << "a request that has run must not be rejected";
          }
          if (random() % 2) server->complete_run(key);
          try {
            server->store.compact_slice();
          } catch (const store::DiskError&) {
          }
        }
      } catch (const store::Crashed&) {
      } catch (const store::DiskError&) {  // thrown by start()
      }
      server = std::make_unique<SimulatedServer>(server->disk->after_crash([&] { return random() % 2 == 0; }),
                                                 run_counts);
    }
    for (const auto& [key, times] : run_counts) EXPECT_LE(times, 1) << key << " seed " << seed;
  }
}

}  // namespace
}  // namespace myrtlecroft::recovery
