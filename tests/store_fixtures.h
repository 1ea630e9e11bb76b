// Shared fixtures of the store's tests: a store on a fake disk that can be restarted and crashed, a model of
// its expected contents, and a temporary folder.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "store/store.h"
#include "store_fakes.h"

namespace myrtlecroft::store {

constexpr Nanos kWindow = 100 * kSecond;

// A process with a store on a fake disk. Its clock advances only when the test changes `time`.
struct StoreProcess {
  explicit StoreProcess(std::unique_ptr<FakeDisk> existing_disk = std::make_unique<FakeDisk>(),
                        StoreOptions options = small_segments(), Nanos clock_start = 0)
      : time(clock_start),
        disk(std::move(existing_disk)),
        store(
            *disk, options, [this] { return time; }, 7) {}
  // Options with segments that a few records fill, so that tests cover sealing and compaction.
  static StoreOptions small_segments() {
    return {.segment_bytes = 1'000, .slice_bytes = 300, .max_small_segments = 4};
  }
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

// Returns a new process with an open store on a copy of the disk; no data is lost.
inline std::unique_ptr<StoreProcess> restart(const StoreProcess& process) {
  auto next = std::make_unique<StoreProcess>(process.disk->after_clean_exit());
  next->store.open();
  return next;
}

// The values that a store may have for each key after a crash; "none" stands for an absent key.
struct Model {
  std::map<std::string, std::string> acknowledged;
  std::map<std::string, std::vector<std::string>> unacknowledged;  // in the order of their puts
};

inline std::string random_key(std::mt19937& random) { return "key" + std::to_string(random() % 12); }

// Runs random puts, erasures and compaction slices over several segments. The model is updated after each
// successful commit.
inline void write_randomly(StoreProcess& process, Model& model, unsigned seed, int steps) {
  std::mt19937 random(seed);
  for (int i = 0; i < steps; ++i) {
    model.unacknowledged.clear();
    for (int j = static_cast<int>(random() % 3); j >= 0; --j) {
      std::string key = random_key(random);
      std::string value = std::to_string(seed) + "." + std::to_string(i) + "." + std::to_string(j);
      if (random() % 5 == 0) {
        process.store.erase(key);
        value = "none";
      } else {
        process.store.put(key, value + std::string(random() % 60, '.'), kWindow);
      }
      model.unacknowledged[key].push_back(value);
    }
    if (random() % 2) process.store.compact_slice();
    process.store.commit();
    for (auto& [key, values] : model.unacknowledged) model.acknowledged[key] = values.back();
    model.unacknowledged.clear();
  }
}

// Removes the padding that write_randomly() appends to values.
inline std::string without_dots(std::string value) {
  while (!value.empty() && value.back() == '.') value.pop_back();
  return value;
}

// Expects that each key has its acknowledged value or one of its unacknowledged values. `context` is printed
// on failure.
inline void expect_contents(StoreProcess& process, const Model& model, const std::string& context) {
  for (int i = 0; i < 12; ++i) {
    std::string key = "key" + std::to_string(i);
    std::string actual = without_dots(process.get(key));
    auto acknowledged = model.acknowledged.find(key);
    auto unacknowledged = model.unacknowledged.find(key);
    bool matches = actual == (acknowledged == model.acknowledged.end() ? "none" : acknowledged->second) ||
                   (unacknowledged != model.unacknowledged.end() &&
                    std::count(unacknowledged->second.begin(), unacknowledged->second.end(), actual) > 0);
    EXPECT_TRUE(matches) << context << " " << key << ": " << actual << ", not "
                         << (acknowledged == model.acknowledged.end() ? "none" : acknowledged->second);
  }
}

// A temporary folder, removed with the object.
struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/myrtlecroft_store.XXXXXX";
    path = mkdtemp(name);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

inline Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch().count(); }

}  // namespace myrtlecroft::store
