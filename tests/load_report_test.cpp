// Tests of the load report codec: round trips, split and malformed frames.
#include "report/load_report.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace myrtlecroft {
namespace {

report::LoadReport sample_report() {
  report::LoadReport out{
      .node = "n1", .address = "127.0.0.1:4101", .incarnation = 7, .sequence = 9, .sent_unix = -3};
  out.mode = Mode::kProbing;
  out.warming_up = true;
  out.window = 12;
  out.limit = 3.25;
  out.request_classes = {{"read", 5, 1, 3, 2, 1}, {"book", 0, 0, 0, 0, 0}};
  return out;
}

TEST(LoadReportFrames, FramesAreDecodedWhereverTheStreamIsSplit) {
  std::string bytes = report::encode(sample_report()) + report::encode(sample_report());
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    std::vector<report::LoadReport> received;
    auto append = [&](report::LoadReport report) { received.push_back(std::move(report)); };
    report::FrameError malformed{};
    std::size_t consumed = report::decode(bytes.substr(0, cut), append, malformed);
    ASSERT_EQ(malformed, report::FrameError::kNone);
    consumed += report::decode(bytes.substr(consumed), append, malformed);
    ASSERT_EQ(consumed, bytes.size());
    ASSERT_EQ(received.size(), 2u);
    ASSERT_EQ(received[1], sample_report());
  }
}

RC_GTEST_PROP(LoadReportFrames, ADecodedReportEqualsTheEncodedOne, ()) {
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
      report::encode(in), [&](report::LoadReport decoded) { out.push_back(std::move(decoded)); }, malformed);
  RC_ASSERT(malformed == report::FrameError::kNone);
  RC_ASSERT(out.size() == 1u);
  RC_ASSERT(out[0] == in);
}

RC_GTEST_PROP(LoadReportFrames, ArbitraryBytesAreNeverReadBeyondTheirEnd, ()) {
  auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  report::FrameError malformed{};
  std::size_t consumed = report::decode(
      bytes, [](report::LoadReport) {}, malformed);
  RC_ASSERT(consumed <= bytes.size());
}

TEST(LoadReportFrames, AFrameWithAChangedByteIsNeverReadBeyondItsEnd) {
  std::string valid_frame = report::encode(sample_report());
  for (std::size_t at = 0; at < valid_frame.size(); ++at) {
    for (int mask : {0x01, 0x80, 0xff}) {
      std::string changed_frame = valid_frame;
      changed_frame[at] = static_cast<char>(changed_frame[at] ^ mask);
      report::FrameError malformed{};
      std::size_t consumed = report::decode(
          changed_frame, [](report::LoadReport) {}, malformed);
      EXPECT_LE(consumed, changed_frame.size());
    }
  }
}

TEST(LoadReportFrames, UnknownKindsAreSkippedAndTooLargeOrNewerFramesRejected) {
  int received = 0;
  report::FrameError malformed{};
  std::string unknown_kind = std::string("\0\0\0\x04\x01\x7f??", 8);
  report::decode(
      unknown_kind + report::encode(sample_report()), [&](report::LoadReport) { ++received; }, malformed);
  EXPECT_EQ(received, 1);
  std::string longer = report::encode(sample_report());
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
