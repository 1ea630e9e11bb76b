// What the store promises, with a disk that loses and fails.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <thread>

#include "store/file_disk.h"
#include "store/group_committer.h"
#include "store_fakes.h"

namespace myrtlecroft::store {
namespace {

constexpr Nanos kWindow = 100 * kSecond;

// One life of a store on a fake disk. Time stands still unless it is turned.
struct Life {
  explicit Life(std::unique_ptr<FakeDisk> on = std::make_unique<FakeDisk>(), StoreOptions options = small(),
                Nanos begins = 0)
      : time(begins),
        disk(std::move(on)),
        store(
            *disk, options, [this] { return time; }, 7) {}
  static StoreOptions small() { return {.segment_bytes = 1'000, .slice_bytes = 300, .max_small = 4}; }
  void put(const std::string& key, const std::string& value, Nanos window = kWindow) {
    store.put(key, value, window);
    store.commit();
  }
  std::string get(const std::string& key) {
    auto record = store.get(key);
    return record ? record->value : "none";
  }
  Nanos time;
  std::unique_ptr<FakeDisk> disk;
  Store store;
};

std::unique_ptr<Life> again(const Life& incarnation) {
  auto next = std::make_unique<Life>(incarnation.disk->after_end());
  next->store.open();
  return next;
}

TEST(Store, WhatWasCommittedIsThereAfterARestart) {
  Life incarnation;
  incarnation.store.open();
  for (int i = 0; i < 40; ++i)
    incarnation.put("key" + std::to_string(i), std::string(50, 'v') + std::to_string(i));
  incarnation.put("key7", "newer");
  incarnation.store.erase("key8");
  incarnation.store.commit();
  auto next = again(incarnation);
  EXPECT_EQ(next->get("key7"), "newer");
  EXPECT_EQ(next->get("key8"), "none");
  EXPECT_EQ(next->get("key39"), std::string(50, 'v') + "39");
  EXPECT_GT(next->store.segments(), 2u);
}

TEST(Store, FilesCutAtEveryByteKeepAllBeforeTheCutAndInventNothing) {
  Life incarnation;
  incarnation.store.open();
  std::vector<std::size_t> ends;
  for (int i = 0; i < 6; ++i) {
    incarnation.put("key" + std::to_string(i), "value" + std::to_string(i));
    ends.push_back(incarnation.disk->bytes(segment_name(1)).size());
  }
  for (std::size_t cut = kSegmentHead; cut <= ends.back(); ++cut) {
    Life next(incarnation.disk->after_end());
    next.disk->bytes(segment_name(1)).resize(cut);
    next.store.open();
    for (std::size_t i = 0; i < ends.size(); ++i) {
      EXPECT_EQ(next.get("key" + std::to_string(i)), ends[i] <= cut ? "value" + std::to_string(i) : "none")
          << cut;
    }
  }
}

TEST(Store, AFlippedByteCostsItsRecordAndNoOther) {
  Life incarnation;
  incarnation.store.open();
  std::vector<std::size_t> ends = {kSegmentHead};
  for (int i = 0; i < 5; ++i) {
    incarnation.put("key" + std::to_string(i), "value" + std::to_string(i));
    ends.push_back(incarnation.disk->bytes(segment_name(1)).size());
  }
  for (std::size_t at = kSegmentHead; at < ends.back(); ++at) {
    for (int bit : {0x01, 0x80}) {
      Life next(incarnation.disk->after_end());
      char& byte = next.disk->bytes(segment_name(1))[at];
      byte = static_cast<char>(byte ^ bit);
      RecoveryStats found = next.store.open();
      EXPECT_GT(found.skipped_bytes, 0u);
      for (std::size_t i = 0; i + 1 < ends.size(); ++i) {
        bool hit = at >= ends[i] && at < ends[i + 1];
        EXPECT_EQ(next.get("key" + std::to_string(i)), hit ? "none" : "value" + std::to_string(i)) << at;
      }
    }
  }
}

// A value may hold anything, such as a record of another store or of another place.
TEST(Store, AValueThatLooksLikeARecordIsNone) {
  Life other;
  other.store.open();
  other.put("forged", "yes");
  Life incarnation;
  incarnation.store.open();
  std::string record;
  append_record(record, {.sequence = 99, .window = kWindow, .key = "forged", .value = "yes"}, 0, 0);
  incarnation.put("a", other.disk->bytes(segment_name(1)) + record);
  incarnation.put("b", "after");
  auto bytes = &incarnation.disk->bytes(segment_name(1));
  (*bytes)[kSegmentHead + 3] ^=
      1;  // its own record is damaged, and what it holds is passed over byte by byte
  auto next = again(incarnation);
  EXPECT_EQ(next->get("forged"), "none");
  EXPECT_EQ(next->get("b"), "after");
}

// What is known of every key: the values that it may have after a crash.
struct Model {
  std::map<std::string, std::string> known;                 // acknowledged
  std::map<std::string, std::vector<std::string>> perhaps;  // asked for and not acknowledged, in order
};

// Puts, drops and compaction over several segments, told to the model as they are acknowledged.
void live(Life& incarnation, Model& model, unsigned seed, int steps) {
  std::mt19937 random(seed);
  for (int i = 0; i < steps; ++i) {
    model.perhaps.clear();
    for (int j = static_cast<int>(random() % 3); j >= 0; --j) {
      std::string key = "key" + std::to_string(random() % 12);
      std::string value = std::to_string(seed) + "." + std::to_string(i) + "." + std::to_string(j);
      if (random() % 5 == 0) {
        incarnation.store.erase(key);
        value = "none";
      } else {
        incarnation.store.put(key, value + std::string(random() % 60, '.'), kWindow);
      }
      model.perhaps[key].push_back(value);
    }
    if (random() % 2) incarnation.store.compact_slice();
    incarnation.store.commit();
    for (auto& [key, values] : model.perhaps) model.known[key] = values.back();
    model.perhaps.clear();
  }
}
std::string without_dots(std::string value) {
  while (!value.empty() && value.back() == '.') value.pop_back();
  return value;
}
void expect_known(Life& incarnation, const Model& model, const std::string& where) {
  for (int i = 0; i < 12; ++i) {
    std::string key = "key" + std::to_string(i);
    std::string got = without_dots(incarnation.get(key));
    auto known = model.known.find(key);
    auto perhaps = model.perhaps.find(key);
    bool good = got == (known == model.known.end() ? "none" : known->second) ||
                (perhaps != model.perhaps.end() &&
                 std::count(perhaps->second.begin(), perhaps->second.end(), got) > 0);
    EXPECT_TRUE(good) << where << " " << key << ": " << got << ", not "
                      << (known == model.known.end() ? "none" : known->second);
  }
}

TEST(Store, ACrashAtAnyStepLosesNothingThatWasAcknowledged) {
  int whole = 0;
  {
    Life incarnation;
    Model model;
    incarnation.store.open();
    live(incarnation, model, 3, 40);
    whole = incarnation.disk->done;
    EXPECT_GT(incarnation.store.stats().retired, 1u);
  }
  ASSERT_GT(whole, 80);
  for (int step = 1; step <= whole; ++step) {
    for (unsigned losses = 0; losses < 6; ++losses) {
      Life incarnation;
      Model model;
      incarnation.disk->crash_at = step;
      try {
        incarnation.store.open();
        live(incarnation, model, 3, 40);
      } catch (const Crashed&) {
      }
      std::mt19937 random(losses);
      auto keep = [&] { return losses == 0 ? false : losses == 1 ? true : random() % 2 == 0; };
      Life next(incarnation.disk->after_crash(keep));
      next.store.open();
      std::string where = "step " + std::to_string(step) + " losses " + std::to_string(losses);
      expect_known(next, model, where);
      // And it goes on, and once more.
      model.known.clear(), model.perhaps.clear();
      live(next, model, 4, 10);
      for (int i = 0; i < 12; ++i)
        model.known.try_emplace("key" + std::to_string(i), without_dots(next.get("key" + std::to_string(i))));
      auto third = again(next);
      expect_known(*third, model, where + " again");
    }
  }
}

TEST(Store, EverySubsetOfTheBlocksOfAnUnsyncedCommitLeavesWhatWasBefore) {
  Life incarnation;
  incarnation.store.open();
  incarnation.put("first", "1");
  incarnation.disk->crash_at = incarnation.disk->done + 2;  // at the sync
  for (int i = 0; i < 4; ++i)
    incarnation.store.put("next" + std::to_string(i), std::string(90, static_cast<char>('a' + i)), kWindow);
  EXPECT_THROW(incarnation.store.commit(), Crashed);
  for (unsigned subset = 0; subset < 1u << 11; ++subset) {
    unsigned bits = subset;
    Life next(incarnation.disk->after_crash([&] { return std::exchange(bits, bits >> 1) & 1; }));
    next.store.open();
    EXPECT_EQ(next.get("first"), "1");
    for (int i = 0; i < 4; ++i) {
      std::string got = next.get("next" + std::to_string(i));
      EXPECT_TRUE(got == "none" || got == std::string(90, static_cast<char>('a' + i)));
    }
  }
}

// A second sync that goes well says nothing of what the first one lost.
TEST(Store, AFailedSyncIsNeverTakenBack) {
  Life incarnation;
  incarnation.store.open();
  incarnation.put("a", "1");
  incarnation.disk->fail_at = incarnation.disk->done + 2;
  incarnation.store.put("b", "2", kWindow);
  EXPECT_THROW(incarnation.store.commit(), DiskError);
  EXPECT_EQ(incarnation.get("b"), "none");
  incarnation.put("c", "3");
  Life next(incarnation.disk->after_crash([] { return false; }));
  next.store.open();
  EXPECT_EQ(next.get("a"), "1");
  EXPECT_EQ(next.get("c"), "3");
}

TEST(Store, AFullDiskInTheMiddleOfARecordAndThenSpaceAgain) {
  Life incarnation;
  incarnation.store.open();
  incarnation.put("a", "1");
  for (std::size_t space = 1; space < 200; space += 13) {
    incarnation.disk->space = space;
    incarnation.store.put("big", std::string(300, 'x'), kWindow);
    EXPECT_THROW(incarnation.store.commit(), DiskError);
    incarnation.disk->space = SIZE_MAX;
    incarnation.put("after" + std::to_string(space), "2");
  }
  auto next = again(incarnation);
  EXPECT_EQ(next->get("a"), "1");
  EXPECT_EQ(next->get("after1"), "2");
  EXPECT_EQ(next->get("after196"), "2");
  EXPECT_EQ(next->get("big"), "none");
}

TEST(Store, FailuresAtAnyStepLoseNothingThatWasAcknowledged) {
  for (int step = 1; step < 120; ++step) {
    Life incarnation;
    Model model;
    std::mt19937 random(5);
    incarnation.disk->fail_at = step;
    bool open = false;
    for (int i = 0; i < 60; ++i) {
      model.perhaps.clear();
      try {
        if (!open) incarnation.store.open(), open = true;
        std::string key = "key" + std::to_string(random() % 12);
        std::string value = std::to_string(i);
        incarnation.store.put(key, value, kWindow);
        model.perhaps[key] = {value};
        incarnation.store.compact_slice();
        incarnation.store.commit();
        model.known[key] = value;
      } catch (const DiskError&) {
        if (!open) break;  // the start failed, and says so
        continue;
      }
    }
    if (!open) continue;
    expect_known(incarnation, model, "here " + std::to_string(step));
    Life next(incarnation.disk->after_crash([] { return false; }));
    next.store.open();
    expect_known(next, model, "step " + std::to_string(step));
  }
}

// The store has a time of its own, which stands still while nobody has it open.
TEST(Store, NoWindowIsShorterForACrashOrAStepOfAnyClock) {
  Life incarnation(std::make_unique<FakeDisk>(), Life::small(), 1'000 * kSecond);
  incarnation.store.open();
  incarnation.put("a", "1");
  incarnation.time += 60 * kSecond;
  incarnation.put("b", "2");
  EXPECT_EQ(incarnation.get("a"), "1");
  for (Nanos begins : {Nanos{0}, 5 * kSecond, 1'000'000 * kSecond}) {
    Life next(incarnation.disk->after_end(), Life::small(), begins);
    next.store.open();
    next.time += 39 * kSecond;
    EXPECT_EQ(next.get("a"), "1");
    next.time += 2 * kSecond;
    EXPECT_EQ(next.get("a"), "none");
    EXPECT_EQ(next.get("b"), "2");
    next.time += 60 * kSecond;
    EXPECT_EQ(next.get("b"), "none");
  }
}

TEST(Store, WhatIsOverGoesWithItsSegmentAndIsNotCopied) {
  Life incarnation;
  incarnation.store.open();
  for (int i = 0; i < 60; ++i) incarnation.put("key" + std::to_string(i), std::string(50, 'v'));
  std::size_t max = incarnation.store.segments();
  std::uint64_t written = incarnation.store.stats().written;
  incarnation.time += kWindow;
  for (int i = 0; i < 20; ++i) incarnation.store.compact_slice();
  EXPECT_LT(incarnation.store.segments(), 3u);
  EXPECT_GT(max, 5u);
  EXPECT_EQ(incarnation.store.size(), 0u);
  EXPECT_LT(incarnation.store.stats().written - written, 2'000u);  // manifests
  // What the disk still holds of them is over at the next start as well, whatever was written last.
  auto next = again(incarnation);
  EXPECT_EQ(next->store.size(), 0u);
}

TEST(Store, ADroppedKeyDoesNotComeBackFromAnOlderSegment) {
  Life incarnation;
  incarnation.store.open();
  incarnation.put("gone", std::string(300, 'x'));
  for (int i = 0; i < 10; ++i) incarnation.put("fill" + std::to_string(i), std::string(100, 'v'));
  incarnation.store.erase("gone");
  incarnation.store.commit();
  for (int i = 0; i < 60; ++i) {
    incarnation.put("more" + std::to_string(i % 4), std::string(100, 'v'));
    incarnation.store.compact_slice();
    EXPECT_EQ(again(incarnation)->get("gone"), "none");
  }
  EXPECT_GT(incarnation.store.stats().retired, 3u);
}

TEST(Store, ManyRestartsDoNotLeaveManySegments) {
  auto incarnation = std::make_unique<Life>();
  incarnation->store.open();
  for (int i = 0; i < 60; ++i) {
    incarnation->put("key" + std::to_string(i), "v");
    for (int j = 0; j < 4; ++j) incarnation->store.compact_slice(), incarnation->store.commit();
    incarnation = again(*incarnation);
  }
  EXPECT_LT(incarnation->store.segments(), 12u);
  for (int i = 0; i < 60; ++i) EXPECT_EQ(incarnation->get("key" + std::to_string(i)), "v");
}

TEST(Store, ByHintsItKnowsTheSameAsByReadingAll) {
  Life incarnation;
  incarnation.store.open();
  Model model;
  live(incarnation, model, 9, 60);
  Life by_hint(incarnation.disk->after_end());
  RecoveryStats hinted = by_hint.store.open();
  EXPECT_GT(hinted.segments_from_hints, 0u);
  expect_known(by_hint, model, "hints");
  // Torn or of another segment, they are not heeded.
  Life torn(incarnation.disk->after_end());
  for (auto& [name, content] : torn.disk->names) {
    if (name.ends_with(".hint")) content->now.resize(content->now.size() / 2);
  }
  RecoveryStats scanned = torn.store.open();
  EXPECT_EQ(scanned.segments_from_hints, 0u);
  expect_known(torn, model, "scan");
  EXPECT_EQ(hinted.live_records, scanned.live_records);
}

TEST(Store, WhatANewerVersionWroteIsRefusedAndLeftAsItIs) {
  Life incarnation;
  incarnation.store.open();
  incarnation.put("a", "1");
  Life next(incarnation.disk->after_end());
  next.disk->bytes(segment_name(1))[8] = 2;
  auto before = next.disk->bytes(segment_name(1));
  EXPECT_THROW(next.store.open(), StoreError);
  EXPECT_EQ(next.disk->bytes(segment_name(1)), before);
}

TEST(Store, TheManifestDamagedOrGoneCostsNothing) {
  Life incarnation;
  incarnation.store.open();
  Model model;
  live(incarnation, model, 11, 40);
  for (int how = 0; how < 2; ++how) {
    Life next(incarnation.disk->after_end());
    if (how) {
      next.disk->names.erase("MANIFEST");
    } else {
      next.disk->bytes("MANIFEST")[20] ^= 4;
    }
    next.store.open();
    expect_known(next, model, "manifest");
  }
}

RC_GTEST_PROP(StoreProperty, RandomHistoriesWithRestartsMatchAPlainMap, ()) {
  auto incarnation = std::make_unique<Life>();
  incarnation->store.open();
  std::map<std::string, std::string> plain;
  auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 8)));
  int n = 0;
  for (auto [what, which] : steps) {
    std::string key = "key" + std::to_string(which);
    if (what < 6) {
      std::string value = std::to_string(++n) + std::string(static_cast<std::size_t>(which) * 20, 'v');
      incarnation->put(key, value);
      plain[key] = value;
    } else if (what == 6) {
      incarnation->store.erase(key);
      incarnation->store.commit();
      plain.erase(key);
    } else if (what < 9) {
      incarnation->store.compact_slice();
      incarnation->store.commit();
    } else {
      incarnation = again(*incarnation);
    }
    for (int i = 0; i < 8; ++i) {
      std::string each = "key" + std::to_string(i);
      RC_ASSERT(incarnation->get(each) == (plain.contains(each) ? plain[each] : "none"));
    }
  }
}

RC_GTEST_PROP(StoreProperty, NoBytesAreReadBeyondTheirEnd, (const std::string& noise)) {
  std::string bytes;
  append_record(bytes, {.sequence = 1, .window = kWindow, .key = "k", .value = noise}, 5, 32);
  Record record;
  std::size_t size = 0;
  RC_ASSERT(read_record(bytes, 5, 32, record, size) == Found::kRecord);
  RC_ASSERT(record.value == noise);
  RC_ASSERT(read_record(bytes, 5, 33, record, size) == Found::kNone);
  RC_ASSERT(read_record(bytes, 6, 32, record, size) == Found::kNone);
  for (std::size_t cut = 0; cut < bytes.size(); cut += 1 + bytes.size() / 20) {
    RC_ASSERT(read_record(std::string_view(bytes).substr(0, cut), 5, 32, record, size) == Found::kCut);
  }
  RC_ASSERT(read_record(noise, 5, 32, record, size) != Found::kRecord);
}

// ---- On files

struct Folder {
  Folder() {
    char name[] = "/tmp/myrtlecroft_store.XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};
Nanos steady() { return std::chrono::steady_clock::now().time_since_epoch().count(); }

TEST(FileStore, KeepsOnFilesAndASecondProcessIsRefused) {
  Folder folder;
  {
    FileDisk disk(folder.path);
    Store store(disk, {}, steady, 1);
    store.open();
    store.put("a", std::string("\0\xff\n", 3), 0);
    store.commit();
    FileDisk other(folder.path);
    Store second(other, {}, steady, 2);
    EXPECT_THROW(second.open(), StoreError);
  }
  FileDisk disk(folder.path);
  Store store(disk, {}, steady, 3);
  RecoveryStats found = store.open();
  EXPECT_EQ(found.live_records, 1u);
  EXPECT_EQ(store.get("a")->value, std::string("\0\xff\n", 3));
}

TEST(FileStore, AFolderThatCannotBeIsToldPlainly) {
  Folder folder;
  std::string file = folder.path + "/file";
  { std::unique_ptr<File> made = FileDisk(folder.path).create("file"); }
  EXPECT_THROW(FileDisk(file + "/below"), DiskError);
  EXPECT_THROW(FileDisk{file}, DiskError);
}

// The tool's exit code, and what it printed.
std::pair<int, std::string> tool(const std::string& words) {
  std::string out;
  FILE* pipe = popen((std::string(MYRTLECROFT_STORE) + " " + words + " 2>&1").c_str(), "r");
  char buffer[4'096];
  for (std::size_t got; (got = fread(buffer, 1, sizeof buffer, pipe)) > 0;) out.append(buffer, got);
  int status = pclose(pipe);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
}

TEST(StoreTool, TellsWhatIsThereAndWhatIsDamaged) {
  Folder folder;
  {
    FileDisk disk(folder.path);
    Store store(disk, {.segment_bytes = 2'000}, steady, 1);
    store.open();
    for (int i = 0; i < 60; ++i) {
      store.put("key" + std::to_string(i % 20), "v\x01" + std::to_string(i), 0);
      store.commit();
    }
  }
  EXPECT_EQ(tool("verify " + folder.path).first, 0);
  EXPECT_NE(tool("inspect --json " + folder.path).second.find("\"keys\":20"), std::string::npos);
  std::string dump = tool("dump " + folder.path).second;
  EXPECT_EQ(std::count(dump.begin(), dump.end(), '\n'), 20);
  EXPECT_NE(dump.find("\"key\":\"key19\",\"value\":\"v\\u000159\""), std::string::npos) << dump;
  EXPECT_EQ(tool("dump " + folder.path + " --hdf5 " + folder.path + "/out.h5").first, 0);
  EXPECT_EQ(std::filesystem::exists(folder.path + "/out.h5"), true);
  auto [code, told] = tool("compact " + folder.path);
  EXPECT_EQ(code, 0);
  EXPECT_NE(told.find("20 keys"), std::string::npos);
  // A byte amid its records.
  std::string last;
  for (const auto& entry : std::filesystem::directory_iterator(folder.path)) {
    if (entry.path().extension() == ".seg") last = std::max(last, entry.path().string());
  }
  FILE* file = fopen(last.c_str(), "r+");
  fseek(file, 100, SEEK_SET);
  fputc('x', file);
  fclose(file);
  EXPECT_EQ(tool("verify " + folder.path).first, 1);
  EXPECT_EQ(tool("verify /nowhere/at/all").first, 2);
}

// ---- Beside a loop

struct CommitterStory : testing::Test {
  CommitterStory() : store(disk, {}, steady, 1) { store.open(); }
  void begin(CommitterOptions options = {
                 .slow_after = 30 * kMs, .first_trial = 5 * kMs, .last_trial = 20 * kMs}) {
    committer = std::make_unique<GroupCommitter>(store, options, steady, [this] { ++wakes; });
  }
  // Turns the loop until it holds, for five seconds at most.
  bool until(const std::function<bool()>& holds) {
    for (int i = 0; i < 5'000 && !holds(); ++i) {
      if (wakes.exchange(0)) committer->deliver_completions();
      usleep(1'000);
    }
    return holds();
  }
  void put(const std::string& key) {
    committer->put(key, "v", kWindow, [this](bool durable) { ++(durable ? good : bad); });
  }

  FakeDisk disk;
  Store store;
  std::atomic<int> wakes = 0;
  int good = 0;
  int bad = 0;
  std::unique_ptr<GroupCommitter> committer;
};

TEST_F(CommitterStory, ManyRecordsShareOneSyncAndNobodyIsToldBeforeIt) {
  std::atomic<bool> held = true;
  disk.in_sync = [&] {
    while (held) usleep(500);
  };
  begin();
  for (int i = 0; i < 500; ++i) put("key" + std::to_string(i));
  usleep(50'000);
  committer->deliver_completions();
  EXPECT_EQ(good, 0);
  EXPECT_EQ(committer->health(), DiskHealth::kSlow);
  put("another");  // which waits for nothing
  held = false;
  EXPECT_TRUE(until([&] { return good == 501; }));
  EXPECT_EQ(committer->health(), DiskHealth::kHealthy);
  EXPECT_LT(committer->counts().commits, 20u);
}

TEST_F(CommitterStory, ASickDiskIsToldAtOnceAndComesBackByItself) {
  begin();
  put("a");
  ASSERT_TRUE(until([&] { return good == 1; }));
  disk.failing = true;
  put("b");
  ASSERT_TRUE(until([&] { return bad == 1; }));
  EXPECT_EQ(committer->health(), DiskHealth::kFailed);
  put("c");
  committer->deliver_completions();
  EXPECT_EQ(bad, 2);
  disk.failing = false;
  EXPECT_TRUE(until([&] { return committer->health() == DiskHealth::kHealthy; }));
  put("d");
  EXPECT_TRUE(until([&] { return good == 2; }));
}

TEST_F(CommitterStory, WhatWaitsAtTheEndIsCommitted) {
  begin();
  for (int i = 0; i < 50; ++i) put("key" + std::to_string(i));
  committer.reset();
  EXPECT_TRUE(store.contains("key49"));
}

TEST_F(CommitterStory, WhatWaitsIsBounded) {
  std::atomic<bool> held = true;
  disk.in_sync = [&] {
    while (held) usleep(500);
  };
  begin({.max_waiting = 20});
  for (int i = 0; i < 100; ++i) put("key" + std::to_string(i));
  committer->deliver_completions();
  EXPECT_GE(bad, 60);
  held = false;
  EXPECT_TRUE(until([&] { return good + bad == 100; }));
}

}  // namespace
}  // namespace myrtlecroft::store
