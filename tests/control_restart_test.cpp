// Tests that a control program killed during a publication and started again leaves proxies with complete
// sets.
#include <gtest/gtest.h>

#include <csignal>

#include "../standin/child.h"
#include "control_site.h"

namespace myrtlecroft::control {
namespace {

using standin::ChildProcess;

TEST(ControlRestartTest, ProxiesKeepACompleteSetWhenControlIsKilledDuringPublication) {
  ControlSite site(40);
  auto port = [](int offset) { return std::to_string(21'000 + getpid() % 3000 * 3 + offset); };
  std::vector<std::string> command = {MYRTLECROFT_CONTROL,
                                      "serve",
                                      "--fleet",
                                      site.folder.file("fleet.conf"),
                                      "--state",
                                      site.folder.file("state"),
                                      "--xds",
                                      "127.0.0.1:" + port(0),
                                      "--reports",
                                      "127.0.0.1:" + port(1),
                                      "--admin",
                                      "127.0.0.1:" + port(2)};
  std::vector<std::string> first = command;
  first.push_back("--first-start");
  ChildProcess control(first, site.folder.file("log"));
  Reporters reporters(static_cast<std::uint16_t>(std::stoi(port(1))));
  for (int i = 1; i <= 40; ++i)
    reporters.add("n" + std::to_string(i), "127.0.0.1:" + std::to_string(20'000 + i));
  std::vector<std::unique_ptr<AdsLink>> links;
  for (int i = 0; i < 8; ++i) {
    links.push_back(std::make_unique<AdsLink>("127.0.0.1:" + port(0), i % 2 == 0, "p" + std::to_string(i)));
  }
  auto all_have_servers = [&](int count) {
    return std::all_of(links.begin(), links.end(),
                       [&](const auto& link) { return has_servers(*link, count); });
  };
  ASSERT_TRUE(await([&] { return all_have_servers(40); }));
  for (int round = 0; round < 4; ++round) {
    for (int i = 1; i <= 10; ++i) {
      reporters.set("n" + std::to_string(i), [&](auto& report) { report.draining = round % 2 == 0; });
    }
    // Kill the control service as soon as the first proxy has applied the change.
    ASSERT_TRUE(await([&] {
      return std::any_of(links.begin(), links.end(),
                         [&](const auto& link) { return has_servers(*link, round % 2 == 0 ? 30 : 40); });
    }));
    control.end(SIGKILL);
    for (auto& link : links) {
      ASSERT_TRUE(link->applied());
      EXPECT_GE(link->applied()->endpoints.at("group/read")->endpoints_size(), 30);
      EXPECT_EQ(link->half_applied(), 0) << link->half_applied_last();
    }
    if (round == 3) {  // restart with another fleet file and without reports
      for (int i = 1; i <= 40; ++i) reporters.pause("n" + std::to_string(i), true);
      site.write(fleet_text(38));
    }
    control = ChildProcess(command, site.folder.file("log"));
    if (round < 3) ASSERT_TRUE(await([&] { return all_have_servers(round % 2 == 0 ? 30 : 40); }));
  }
  ASSERT_TRUE(await([&] { return all_have_servers(38); }));
  for (auto& link : links) EXPECT_EQ(link->half_applied(), 0) << link->half_applied_last();
  EXPECT_EQ(control.end(SIGTERM), 0);
}

}  // namespace
}  // namespace myrtlecroft::control
