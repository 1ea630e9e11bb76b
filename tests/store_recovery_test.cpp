// Recovery of a folder whose files are damaged, missing or have a newer format.
#include <gtest/gtest.h>

#include "store_fixtures.h"

namespace myrtlecroft::store {
namespace {

TEST(StoreRecoveryTest, TruncatedSegmentKeepsExactlyTheRecordsBeforeTheCut) {
  StoreProcess process;
  process.store.open();
  std::vector<std::size_t> ends;
  for (int i = 0; i < 6; ++i) {
    process.put("key" + std::to_string(i), "value" + std::to_string(i));
    ends.push_back(process.disk->bytes(segment_name(1)).size());
  }
  for (std::size_t cut = kSegmentHeaderBytes; cut <= ends.back(); ++cut) {
    StoreProcess next(process.disk->after_clean_exit());
    next.disk->bytes(segment_name(1)).resize(cut);
    next.store.open();
    for (std::size_t i = 0; i < ends.size(); ++i) {
      EXPECT_EQ(next.get("key" + std::to_string(i)), ends[i] <= cut ? "value" + std::to_string(i) : "none")
          << cut;
    }
  }
}

TEST(StoreRecoveryTest, FlippedByteLosesOnlyItsRecord) {
  StoreProcess process;
  process.store.open();
  std::vector<std::size_t> ends = {kSegmentHeaderBytes};
  for (int i = 0; i < 5; ++i) {
    process.put("key" + std::to_string(i), "value" + std::to_string(i));
    ends.push_back(process.disk->bytes(segment_name(1)).size());
  }
  for (std::size_t at = kSegmentHeaderBytes; at < ends.back(); ++at) {
    for (int bit : {0x01, 0x80}) {
      StoreProcess next(process.disk->after_clean_exit());
      char& byte = next.disk->bytes(segment_name(1))[at];
      byte = static_cast<char>(byte ^ bit);
      RecoveryStats recovery_stats = next.store.open();
      EXPECT_GT(recovery_stats.skipped_bytes, 0u);
      for (std::size_t i = 0; i + 1 < ends.size(); ++i) {
        bool is_damaged = at >= ends[i] && at < ends[i + 1];
        EXPECT_EQ(next.get("key" + std::to_string(i)), is_damaged ? "none" : "value" + std::to_string(i))
            << at;
      }
    }
  }
}

// Guards against parsing bytes of a value as a record. A value may contain any bytes, such as a record of
// another store or one encoded for another position. The scan reaches them when the enclosing record is
// damaged and is skipped byte by byte.
TEST(StoreRecoveryTest, RecordBytesWithinAValueAreNotReadAsARecord) {
  StoreProcess other;
  other.store.open();
  other.put("forged", "yes");
  StoreProcess process;
  process.store.open();
  std::string record;
  append_record(record, {.sequence = 99, .window = kWindow, .key = "forged", .value = "yes"}, {});
  process.put("a", other.disk->bytes(segment_name(1)) + record);
  process.put("b", "after");
  auto bytes = &process.disk->bytes(segment_name(1));
  (*bytes)[kSegmentHeaderBytes + 3] ^=
      1;  // damages the record of "a", so that the scan skips it byte by byte
  auto next = restart(process);
  EXPECT_EQ(next->get("forged"), "none");
  EXPECT_EQ(next->get("b"), "after");
}

TEST(StoreRecoveryTest, HintsRecoverTheSameAsAScan) {
  StoreProcess process;
  process.store.open();
  Model model;
  write_randomly(process, model, 9, 60);
  StoreProcess by_hint(process.disk->after_clean_exit());
  RecoveryStats hinted = by_hint.store.open();
  EXPECT_GT(hinted.segments_from_hints, 0u);
  expect_contents(by_hint, model, "hints");
  // Hint files that are torn, or that belong to another segment, are ignored.
  StoreProcess torn(process.disk->after_clean_exit());
  for (auto& [name, content] : torn.disk->names) {
    if (name.ends_with(".hint")) content->written.resize(content->written.size() / 2);
  }
  RecoveryStats scanned = torn.store.open();
  EXPECT_EQ(scanned.segments_from_hints, 0u);
  expect_contents(torn, model, "scan");
  EXPECT_EQ(hinted.live_records, scanned.live_records);
}

TEST(StoreRecoveryTest, NewerFormatIsRefusedAndLeftUnchanged) {
  StoreProcess process;
  process.store.open();
  process.put("a", "1");
  StoreProcess next(process.disk->after_clean_exit());
  next.disk->bytes(segment_name(1))[8] = 2;
  auto before = next.disk->bytes(segment_name(1));
  EXPECT_THROW(next.store.open(), StoreError);
  EXPECT_EQ(next.disk->bytes(segment_name(1)), before);
}

TEST(StoreRecoveryTest, MissingOrDamagedManifestLosesNothing) {
  StoreProcess process;
  process.store.open();
  Model model;
  write_randomly(process, model, 11, 40);
  for (int variant = 0; variant < 2; ++variant) {
    StoreProcess next(process.disk->after_clean_exit());
    if (variant) {
      next.disk->names.erase("MANIFEST");
    } else {
      next.disk->bytes("MANIFEST")[20] ^= 4;
    }
    next.store.open();
    expect_contents(next, model, "manifest");
  }
}

}  // namespace
}  // namespace myrtlecroft::store
