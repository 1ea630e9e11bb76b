// The fleet file and the frames of server reports: what is read, and what is refused how.
#include "fleet/fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "report/load_report.h"
#include "settings/document.h"
#include "temporary_file.h"

namespace myrtlecroft {
namespace {

const std::string kGood =
    "version = 1;\n"
    "nodes = ( { name = \"n1\"; address = \"127.0.0.1:4101\"; } );\n"
    "groups = (\n"
    "  { name = \"read\"; repeats = \"repeatable\"; timeout_ms = 5000; },\n"
    "  { name = \"book\"; repeats = \"deduplicated\"; timeout_ms = 5000; window_ms = 13000; }\n"
    ");\n";

std::string error_of(const std::string& text) {
  TemporaryFile file(text);
  try {
    fleet::read_fleet(file.path());
  } catch (const settings::DocumentError& error) {
    std::string what = error.what();
    return what.substr(what.find(':') + 1);
  }
  return "none";
}

std::string with(const std::string& from, const std::string& to) {
  std::string out = kGood;
  return out.replace(out.find(from), from.size(), to);
}

TEST(FleetFile, IsReadWithDefaults) {
  TemporaryFile file(kGood);
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  EXPECT_EQ(fleet.nodes[0].address(), "127.0.0.1:4101");
  EXPECT_EQ(fleet.request_classes[1].key_header, "Replay-Key");
  EXPECT_EQ(fleet.request_classes[1].path, "/api/v2/book");
  EXPECT_EQ(fleet.longest_window(), 18 * kSecond);
  EXPECT_EQ(fleet.shards(), 256u);
}

TEST(FleetFile, ANodeThatAServiceNamesTwiceCountsOnce) {
  TemporaryFile file(std::string(kGood) +
               "\nservices = ({ name = \"ledger\"; used_by = (\"n1\", \"zone default\", \"n1\"); });\n");
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  std::vector<std::string> used_by = fleet.services[0].used_by;
  EXPECT_EQ(std::count(used_by.begin(), used_by.end(), "n1"), 1);
  EXPECT_EQ(std::set<std::string>(used_by.begin(), used_by.end()).size(), used_by.size());
}

TEST(FleetFile, ErrorsNameLineAndField) {
  EXPECT_EQ(error_of(with("127.0.0.1:4101", "localhost:4101")),
            "2: nodes[0].address: is not an address like 127.0.0.1:4100");
  EXPECT_EQ(error_of(with("\"repeatable\"", "\"sometimes\"")),
            "4: groups[0].repeats: is none of repeatable, deduplicated, mutating");
  EXPECT_EQ(error_of(with(" window_ms = 13000;", "")), "5: groups[1].window_ms: is missing");
  EXPECT_EQ(error_of(with("timeout_ms = 5000", "timeout_ms = -1")),
            "4: groups[0].timeout_ms: is not from 1 to 86400000");
  EXPECT_EQ(error_of(with("timeout_ms = 5000", "timeout_ms = \"5\"")),
            "4: groups[0].timeout_ms: is not a whole number");
  EXPECT_EQ(error_of(with("\"book\"", "\"read\"")), "5: groups[1].name: comes twice: 'read'");
  EXPECT_EQ(error_of(with("version = 1;", "version = 1; bonds = {};")), "1: bonds: is not known here");
  EXPECT_EQ(error_of(with("version = 1;", "version = 2;")), "1: version: is not from 1 to 1");
  EXPECT_EQ(error_of(kGood + "bounds = { most_out = 2.0; };"), "7: bounds.most_out: is not from 0 to 0.9");
  EXPECT_EQ(error_of("version = ;"), "1: syntax error");
  EXPECT_EQ(error_of(with("( { name = \"n1\"; address = \"127.0.0.1:4101\"; } )", "()")),
            "2: nodes: names no node");
}

const std::string kSubsetted =
    "version = 1; listener = \"fleet\";\n"
    "nodes = ( { name = \"n1\"; address = \"127.0.0.1:1\"; }, { name = \"n2\"; address = \"127.0.0.1:2\"; "
    "},\n"
    "  { name = \"n3\"; zone = \"b\"; address = \"127.0.0.1:3\"; } );\n"
    "subsetting = { size = 2; };\n"
    "groups = (\n"
    "  { name = \"read\"; repeats = \"repeatable\"; timeout_ms = 50; },\n"
    "  { name = \"list\"; repeats = \"mutating\"; timeout_ms = 50; servers = (\"zone b\", \"n1\"); "
    "subset_size = 1; },\n"
    "  { name = \"book\"; repeats = \"deduplicated\"; timeout_ms = 50; window_ms = 50; }\n"
    ");\n";

TEST(FleetFile, AServiceNamesItsServersAndHowManyEachCallerGets) {
  TemporaryFile file(kSubsetted);
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  EXPECT_TRUE(fleet.service_listeners);
  EXPECT_TRUE(fleet.request_classes[0].servers.all());
  EXPECT_EQ(fleet.request_classes[0].subset_size, 2u);
  EXPECT_EQ(*fleet.request_classes[1].servers.places, (fleet::ServerList::Places{0, 2}));
  EXPECT_EQ(fleet.request_classes[1].subset_size, 1u);
  EXPECT_EQ(fleet.request_classes[2].subset_size, 0u) << "its keys have one owner each";
  TemporaryFile plain(kGood);
  EXPECT_FALSE(fleet::read_fleet(plain.path()).service_listeners);
  EXPECT_EQ(fleet::read_fleet(plain.path()).request_classes[0].subset_size, 0u);
}

TEST(FleetFile, ErrorsInServersAndSubsetsNameLineAndField) {
  auto error = [](const std::string& from, const std::string& to) {
    std::string text = kSubsetted;
    return error_of(text.replace(text.find(from), from.size(), to));
  };
  EXPECT_EQ(error("\"n1\")", "\"n9\")"), "7: groups[1].servers: 'n9' is neither a node nor 'zone NAME'");
  EXPECT_EQ(error("\"zone b\"", "\"zone c\""),
            "7: groups[1].servers: 'zone c' is neither a node nor 'zone NAME'");
  EXPECT_EQ(error("\"n1\")", "\"n3\")"), "7: groups[1].servers: names 'n3' twice, with 'n3'");
  EXPECT_EQ(error("(\"zone b\", \"n1\")", "()"), "7: groups[1].servers: names no server");
  EXPECT_EQ(error("subset_size = 1", "subset_size = 3"),
            "7: groups[1].subset_size: is larger than the service, which has 2 servers");
  EXPECT_EQ(error("subset_size = 1", "subset_size = 0"), "7: groups[1].subset_size: is not from 1 to 10000");
  EXPECT_EQ(error("size = 2", "size = 0"), "4: subsetting.size: is not from 1 to 10000");
  EXPECT_EQ(error("size = 2", "size = 4"), "4: subsetting.size: is larger than the fleet, which has 3 nodes");
  EXPECT_EQ(error("size = 2", "sizes = 2"), "4: subsetting.size: is missing");
  EXPECT_EQ(error("\"read\"", "\"fleet\""),
            "6: groups[0].name: is the name of the listener, which callers ask for the whole fleet by");
  for (const char* field : {"servers", "subset_size"}) {
    std::string more = field == std::string("servers") ? "servers = (\"n1\")" : "subset_size = 1";
    EXPECT_EQ(error("window_ms = 50", more + "; window_ms = 50"),
              "8: groups[2]." + std::string(field) +
                  ": has no use in a deduplicated group: each of its keys has one owner among all nodes");
  }
}

// 9,300 services over 6,100 servers: a look through all servers for each name would take minutes.
TEST(FleetFile, OneOfAWholeRegionIsReadInTime) {
  std::string text = "version = 1; subsetting = { size = 20; };\nnodes = (";
  for (int i = 0; i < 6100; ++i) {
    text += std::string(i ? "," : "") + "{ name = \"n" + std::to_string(i) + "\"; zone = \"z" +
            std::to_string(i % 3) + "\"; address = \"10.0." + std::to_string(i / 250) + "." +
            std::to_string(1 + i % 250) + ":80\"; }\n";
  }
  text += ");\ngroups = (";
  for (int i = 0; i < 9300; ++i) {
    text += std::string(i ? "," : "") + "{ name = \"s" + std::to_string(i) +
            "\"; repeats = \"repeatable\"; timeout_ms = 50; servers = (";
    for (int k = 0; k < 40; ++k)
      text += (k ? ",\"n" : "\"n") + std::to_string((i * 7 + k * 101) % 6100) + "\"";
    text += "); }\n";
  }
  TemporaryFile file(text + ");");
  auto begun = std::chrono::steady_clock::now();
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  RecordProperty("seconds", std::to_string(took));
  EXPECT_EQ(fleet.request_classes.size(), 9300u);
  EXPECT_LT(took, 10.0);
}

TEST(FleetFile, OneThatIsNotThereIsSaidSo) {
  EXPECT_THROW(fleet::read_fleet("/nowhere/fleet.conf"), settings::DocumentError);
}

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

TEST(ReportFrames, WhatIsWrittenIsReadHoweverItIsSplit) {
  std::string bytes = report::encode(some_report()) + report::encode(some_report());
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    std::vector<report::LoadReport> came;
    auto keep = [&](report::LoadReport report) { came.push_back(std::move(report)); };
    report::Malformed malformed{};
    std::size_t taken = report::decode(bytes.substr(0, cut), keep, malformed);
    ASSERT_EQ(malformed, report::Malformed::kNo);
    taken += report::decode(bytes.substr(taken), keep, malformed);
    ASSERT_EQ(taken, bytes.size());
    ASSERT_EQ(came.size(), 2u);
    ASSERT_EQ(came[1], some_report());
  }
}

RC_GTEST_PROP(ReportFrames, EncodeAndDecodeAreEachOthersInverse, ()) {
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
  report::Malformed malformed{};
  std::vector<report::LoadReport> out;
  report::decode(
      report::encode(in), [&](report::LoadReport one) { out.push_back(std::move(one)); }, malformed);
  RC_ASSERT(malformed == report::Malformed::kNo);
  RC_ASSERT(out.size() == 1u);
  RC_ASSERT(out[0] == in);
}

RC_GTEST_PROP(ReportFrames, AnyBytesAreTakenOrRefusedWithinBounds, ()) {
  auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  report::Malformed malformed{};
  std::size_t taken = report::decode(
      bytes, [](report::LoadReport) {}, malformed);
  RC_ASSERT(taken <= bytes.size());
}

TEST(ReportFrames, EachByteChangedIsRefusedOrReadButNeverRunsOver) {
  std::string good = report::encode(some_report());
  for (std::size_t at = 0; at < good.size(); ++at) {
    for (int flip : {0x01, 0x80, 0xff}) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ flip);
      report::Malformed malformed{};
      std::size_t taken = report::decode(
          bad, [](report::LoadReport) {}, malformed);
      EXPECT_LE(taken, bad.size());
    }
  }
}

TEST(ReportFrames, WhatIsNewerIsPassedOverAndWhatIsTooLargeRefused) {
  int came = 0;
  report::Malformed malformed{};
  std::string unknown_kind = std::string("\0\0\0\x04\x01\x7f??", 8);
  report::decode(
      unknown_kind + report::encode(some_report()), [&](report::LoadReport) { ++came; }, malformed);
  EXPECT_EQ(came, 1);
  std::string longer = report::encode(some_report());
  longer[3] = static_cast<char>(longer[3] + 3);
  report::decode(
      longer + "new", [&](report::LoadReport) { ++came; }, malformed);
  EXPECT_EQ(came, 2);
  report::decode(
      std::string("\x7f\0\0\0", 4), [&](report::LoadReport) { ++came; }, malformed);
  EXPECT_EQ(malformed, report::Malformed::kTooLarge);
  report::decode(
      std::string("\0\0\0\x02\x09\x01", 6), [&](report::LoadReport) { ++came; }, malformed);
  EXPECT_EQ(malformed, report::Malformed::kVersion);
}

}  // namespace
}  // namespace myrtlecroft
