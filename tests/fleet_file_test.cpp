// Parsing of the fleet file, its defaults and its error messages.
#include "fleet/fleet_file.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "settings/document.h"
#include "temporary_file.h"

namespace myrtlecroft {
namespace {

const std::string kValidFile =
    "version = 1;\n"
    "nodes = ( { name = \"n1\"; address = \"127.0.0.1:4101\"; } );\n"
    "groups = (\n"
    "  { name = \"read\"; repeats = \"repeatable\"; timeout_ms = 5000; },\n"
    "  { name = \"book\"; repeats = \"deduplicated\"; timeout_ms = 5000; window_ms = 13000; }\n"
    ");\n";

std::string read_error(const std::string& text) {
  TemporaryFile file(text);
  try {
    fleet::read_fleet(file.path());
  } catch (const settings::DocumentError& error) {
    std::string what = error.what();
    return what.substr(what.find(':') + 1);
  }
  return "none";
}

std::string with_replacement(const std::string& from, const std::string& to) {
  std::string out = kValidFile;
  return out.replace(out.find(from), from.size(), to);
}

const std::string kFileWithSubsets =
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

TEST(FleetFile, IsReadWithDefaults) {
  TemporaryFile file(kValidFile);
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  EXPECT_EQ(fleet.nodes[0].address(), "127.0.0.1:4101");
  EXPECT_EQ(fleet.request_classes[1].key_header, "Replay-Key");
  EXPECT_EQ(fleet.request_classes[1].path, "/api/v2/book");
  EXPECT_EQ(fleet.longest_deduplication_window(), 18 * kSecond);
  EXPECT_EQ(fleet.shards(), 256u);
}

TEST(FleetFile, ServerThatAServiceNamesTwiceCountsOnce) {
  TemporaryFile file(
      std::string(kValidFile) +
      "\nservices = ({ name = \"ledger\"; used_by = (\"n1\", \"zone default\", \"n1\"); });\n");
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  std::vector<std::string> used_by = fleet.services[0].used_by;
  EXPECT_EQ(std::count(used_by.begin(), used_by.end(), "n1"), 1);
  EXPECT_EQ(std::set<std::string>(used_by.begin(), used_by.end()).size(), used_by.size());
}

TEST(FleetFile, ErrorsNameLineAndField) {
  EXPECT_EQ(read_error(with_replacement("127.0.0.1:4101", "localhost:4101")),
            "2: nodes[0].address: is not an address like 127.0.0.1:4100");
  EXPECT_EQ(read_error(with_replacement("\"repeatable\"", "\"sometimes\"")),
            "4: groups[0].repeats: is not one of repeatable, deduplicated, mutating");
  EXPECT_EQ(read_error(with_replacement(" window_ms = 13000;", "")), "5: groups[1].window_ms: is missing");
  EXPECT_EQ(read_error(with_replacement("timeout_ms = 5000", "timeout_ms = -1")),
            "4: groups[0].timeout_ms: is not from 1 to 86400000");
  EXPECT_EQ(read_error(with_replacement("timeout_ms = 5000", "timeout_ms = \"5\"")),
            "4: groups[0].timeout_ms: is not a whole number");
  EXPECT_EQ(read_error(with_replacement("\"book\"", "\"read\"")),
            "5: groups[1].name: is a duplicate: 'read'");
  EXPECT_EQ(read_error(with_replacement("version = 1;", "version = 1; bonds = {};")),
            "1: bonds: is not known here");
  EXPECT_EQ(read_error(with_replacement("version = 1;", "version = 2;")), "1: version: is not from 1 to 1");
  EXPECT_EQ(read_error(kValidFile + "bounds = { most_out = 2.0; };"),
            "7: bounds.most_out: is not from 0 to 0.9");
  EXPECT_EQ(read_error("version = ;"), "1: syntax error");
  EXPECT_EQ(read_error(with_replacement("( { name = \"n1\"; address = \"127.0.0.1:4101\"; } )", "()")),
            "2: nodes: lists no nodes");
}

TEST(FleetFile, RequestClassNamesItsServersAndItsSubsetSize) {
  TemporaryFile file(kFileWithSubsets);
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  EXPECT_TRUE(fleet.service_listeners);
  EXPECT_TRUE(fleet.request_classes[0].servers.all());
  EXPECT_EQ(fleet.request_classes[0].subset_size, 2u);
  EXPECT_EQ(*fleet.request_classes[1].servers.places, (fleet::ServerList::ServerIndices{0, 2}));
  EXPECT_EQ(fleet.request_classes[1].subset_size, 1u);
  EXPECT_EQ(fleet.request_classes[2].subset_size, 0u)
      << "keyed classes have no subsets: each key has one owner";
  TemporaryFile plain(kValidFile);
  EXPECT_FALSE(fleet::read_fleet(plain.path()).service_listeners);
  EXPECT_EQ(fleet::read_fleet(plain.path()).request_classes[0].subset_size, 0u);
}

TEST(FleetFile, ErrorsInServersAndSubsetsNameLineAndField) {
  auto error = [](const std::string& from, const std::string& to) {
    std::string text = kFileWithSubsets;
    return read_error(text.replace(text.find(from), from.size(), to));
  };
  EXPECT_EQ(error("\"n1\")", "\"n9\")"), "7: groups[1].servers: 'n9' is neither a node nor 'zone NAME'");
  EXPECT_EQ(error("\"zone b\"", "\"zone c\""),
            "7: groups[1].servers: 'zone c' is neither a node nor 'zone NAME'");
  EXPECT_EQ(error("\"n1\")", "\"n3\")"),
            "7: groups[1].servers: lists 'n3' twice, the second time through 'n3'");
  EXPECT_EQ(error("(\"zone b\", \"n1\")", "()"), "7: groups[1].servers: lists no servers");
  EXPECT_EQ(error("subset_size = 1", "subset_size = 3"),
            "7: groups[1].subset_size: is larger than the service, which has 2 servers");
  EXPECT_EQ(error("subset_size = 1", "subset_size = 0"), "7: groups[1].subset_size: is not from 1 to 10000");
  EXPECT_EQ(error("size = 2", "size = 0"), "4: subsetting.size: is not from 1 to 10000");
  EXPECT_EQ(error("size = 2", "size = 4"), "4: subsetting.size: is larger than the fleet, which has 3 nodes");
  EXPECT_EQ(error("size = 2", "sizes = 2"), "4: subsetting.size: is missing");
  EXPECT_EQ(error("\"read\"", "\"fleet\""),
            "6: groups[0].name: is the name of the listener, which stands for the whole fleet");
  for (const char* field : {"servers", "subset_size"}) {
    std::string assignment = field == std::string("servers") ? "servers = (\"n1\")" : "subset_size = 1";
    EXPECT_EQ(error("window_ms = 50", assignment + "; window_ms = 50"),
              "8: groups[2]." + std::string(field) +
                  ": is not allowed in a deduplicated group: each key has one owner among all nodes");
  }
}

// Guards against a linear search through all servers for each name, which takes minutes for the 9,300 request
// classes and 6,100 servers of a large region.
TEST(FleetFile, LargeFleetFileIsReadWithinTenSeconds) {
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
  auto start = std::chrono::steady_clock::now();
  fleet::Fleet fleet = fleet::read_fleet(file.path());
  double elapsed_seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  RecordProperty("seconds", std::to_string(elapsed_seconds));
  EXPECT_EQ(fleet.request_classes.size(), 9300u);
  EXPECT_LT(elapsed_seconds, 10.0);
}

TEST(FleetFile, MissingFileIsADocumentError) {
  EXPECT_THROW(fleet::read_fleet("/nowhere/fleet.conf"), settings::DocumentError);
}

}  // namespace
}  // namespace myrtlecroft
