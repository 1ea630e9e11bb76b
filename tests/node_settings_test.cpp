// Reading a server's own settings file: defaults, fields and rejected files.
#include "settings/node_settings.h"

#include <gtest/gtest.h>

#include <string>

#include "settings/document.h"
#include "temporary_file.h"

namespace myrtlecroft {
namespace {

TEST(NodeSettingsTest, ReportsAreOffWithoutAFileAndInvalidAddressesAreRejected) {
  EXPECT_TRUE(settings::read_node_settings(nullptr).reports.to.empty());
  TemporaryFile file("version = 1; reports = { to = (\"127.0.0.1:7300\"); every_ms = 100; };");
  EXPECT_EQ(settings::read_node_settings(file.path().c_str()).reports.report_interval, 100 * kMs);
  TemporaryFile invalid_file("version = 1; reports = { to = (\"7300\"); };");
  EXPECT_THROW(settings::read_node_settings(invalid_file.path().c_str()), settings::DocumentError);
}

TEST(NodeSettingsTest, FieldsAreReadAndInvalidOnesRejectedWithTheirLine) {
  auto defaults = settings::read_node_settings(nullptr);
  EXPECT_EQ(defaults.slow_clients.min_rate, 500);
  EXPECT_TRUE(defaults.store.folder.empty());
  TemporaryFile file(
      "version = 1; slow_peers = { least_bytes_per_s = 900.0; grace_ms = 200; unread_kb = 32.0; };\n"
      "store = { folder = \"/tmp/s\"; };");
  auto settings_read = settings::read_node_settings(file.path().c_str());
  EXPECT_EQ(settings_read.slow_clients.min_rate, 900);
  EXPECT_EQ(settings_read.slow_clients.grace, 200 * kMs);
  EXPECT_EQ(settings_read.slow_clients.max_unread_bytes, 32'768u);
  EXPECT_EQ(settings_read.slow_clients.final_warning_time, defaults.slow_clients.final_warning_time);
  EXPECT_EQ(settings_read.store.folder, "/tmp/s");
  for (const char* invalid_section : {"slow_peers = { grace_ms = 1; };", "slow_peers = { grace = 200; };",
                                      "slow_peers = { unread_kb = 500.0; };", "store = { folder = 7; };"}) {
    TemporaryFile invalid_file("version = 1;\n" + std::string(invalid_section));
    try {
      settings::read_node_settings(invalid_file.path().c_str());
      ADD_FAILURE() << invalid_section;
    } catch (const settings::DocumentError& error) {
      EXPECT_NE(std::string(error.what()).find(":2"), std::string::npos) << error.what();
    }
  }
}

}  // namespace
}  // namespace myrtlecroft
