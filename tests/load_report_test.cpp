// The frames of servers' load reports: encoded, decoded, and malformed.
#include "report/load_report.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace myrtlecroft {
namespace {

report::LoadReport some_report() {
  report::LoadReport out{
      .node = "n1", .address = "127.0.0.1:4101", .incarnation = 7, .sequence = 9, .sent_unix = -3};
  out.mode = Mode::kProbing;
  out.warming_up = true;
  out.window = 12;
  out.limit = 3.25;
  out.request_classes = {{"read", 5, 1, 3, 2, 1}, {"book", 0, 0, 0, 0, 0}};
  return out;
}

TEST(LoadReportFrames, FramesAreDecodedHoweverTheyAreSplit) {
  std::string bytes = report::encode(some_report()) + report::encode(some_report());
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    std::vector<report::LoadReport> received;
    auto append = [&](report::LoadReport report) { received.push_back(std::move(report)); };
    report::FrameError malformed{};
    std::size_t accepted = report::decode(bytes.substr(0, cut), append, malformed);
    ASSERT_EQ(malformed, report::FrameError::kNone);
    accepted += report::decode(bytes.substr(accepted), append, malformed);
    ASSERT_EQ(accepted, bytes.size());
    ASSERT_EQ(received.size(), 2u);
    ASSERT_EQ(received[1], some_report());
  }
}

RC_GTEST_PROP(LoadReportFrames, EncodeAndDecodeAreEachOthersInverse, ()) {
  report::LoadReport in;
  in.node = "n" + std::to_string(*rc::gen::inRange(0, 1000));
  in.incarnation = *rc::gen::arbitrary<std::uint64_t>();
  in.sent_unix = *rc::gen::arbitrary<std::int64_t>();
  in.window = *rc::gen::arbitrary<std::uint32_t>();
  in.mode = static_cast<Mode>(*rc::gen::inRange(0, 4));
  in.draining = *rc::gen::arbitrary<bool>();
  for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
    in.request_classes.push_back({"g" + std::to_string(i), *rc::gen::arbitrary<std::uint64_t>(), 0, 1, 2, 3});
  }
  report::FrameError malformed{};
  std::vector<report::LoadReport> out;
  report::decode(
      report::encode(in), [&](report::LoadReport one) { out.push_back(std::move(one)); }, malformed);
  RC_ASSERT(malformed == report::FrameError::kNone);
  RC_ASSERT(out.size() == 1u);
  RC_ASSERT(out[0] == in);
}

RC_GTEST_PROP(LoadReportFrames, AnyBytesAreAcceptedOrRejectedWithinBounds, ()) {
  auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  report::FrameError malformed{};
  std::size_t accepted = report::decode(
      bytes, [](report::LoadReport) {}, malformed);
  RC_ASSERT(accepted <= bytes.size());
}

TEST(LoadReportFrames, ChangedByteNeverMakesDecodingRunOver) {
  std::string good = report::encode(some_report());
  for (std::size_t at = 0; at < good.size(); ++at) {
    for (int flip : {0x01, 0x80, 0xff}) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ flip);
      report::FrameError malformed{};
      std::size_t accepted = report::decode(
          bad, [](report::LoadReport) {}, malformed);
      EXPECT_LE(accepted, bad.size());
    }
  }
}

TEST(LoadReportFrames, NewerFramesAreSkippedAndTooLargeOnesRejected) {
  int received = 0;
  report::FrameError malformed{};
  std::string unknown_kind = std::string("\0\0\0\x04\x01\x7f??", 8);
  report::decode(
      unknown_kind + report::encode(some_report()), [&](report::LoadReport) { ++received; }, malformed);
  EXPECT_EQ(received, 1);
  std::string longer = report::encode(some_report());
  longer[3] = static_cast<char>(longer[3] + 3);
  report::decode(
      longer + "new", [&](report::LoadReport) { ++received; }, malformed);
  EXPECT_EQ(received, 2);
  report::decode(
      std::string("\x7f\0\0\0", 4), [&](report::LoadReport) { ++received; }, malformed);
  EXPECT_EQ(malformed, report::FrameError::kTooLarge);
  report::decode(
      std::string("\0\0\0\x02\x09\x01", 6), [&](report::LoadReport) { ++received; }, malformed);
  EXPECT_EQ(malformed, report::FrameError::kUnsupportedVersion);
}

}  // namespace
}  // namespace myrtlecroft
