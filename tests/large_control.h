// Test support: a control service of a large fleet on loopback. Its answers must not take longer than
// kMaxAnswerSeconds.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "control/admin_client.h"
#include "control_harness.h"

namespace myrtlecroft::control {

constexpr int kServers = 6100;
// Each new publication lists every server once for each class. With 200 classes, that alone would delay an
// answer by seconds.
constexpr int kRequestClasses = 20;
constexpr double kMaxAnswerSeconds = 1;

// A fleet file. Every third server is in zone c, the others are in zone a.
inline std::string large_fleet(int servers) {
  std::string nodes;
  for (int i = 1; i <= servers; ++i) {
    nodes += std::string(i > 1 ? ",\n" : "") + "{ name = \"server-" + std::to_string(i) + "\"; zone = \"" +
             (i % 3 == 0 ? "c" : "a") + "\"; address = \"10.0." + std::to_string(i / 200) + "." +
             std::to_string(i % 200 + 1) + ":4100\"; }";
  }
  std::string request_classes =
      "{ name = \"book\"; repeats = \"deduplicated\"; window_ms = 500; timeout_ms = 500; }";
  for (int i = 2; i <= kRequestClasses; ++i) {
    request_classes +=
        ",\n{ name = \"group-" + std::to_string(i) + "\"; repeats = \"repeatable\"; timeout_ms = 500; }";
  }
  return "version = 1; listener = \"fleet\"; proxies = 10; nodes = (" + nodes + "); groups = (" +
         request_classes + "); bounds = { shard_digits = 3; };\n";
}

// Request classes that each list `servers` consecutive servers of the fleet.
inline std::string services_with_servers(int services, int servers) {
  std::string out;
  for (int service = 1; service <= services; ++service) {
    out += "{ name = \"service-" + std::to_string(service) +
           "\"; repeats = \"repeatable\"; timeout_ms = 500; servers = (";
    for (int i = 0; i < servers; ++i) {
      out += std::string(i > 0 ? ", " : "") + "\"server-" + std::to_string((service * 7 + i) % kServers + 1) +
             "\"";
    }
    out += "); },\n";
  }
  return out;
}

// A large fleet with these services and subsets of 20 servers per caller.
inline std::string large_fleet_with_subsets(int services, int servers) {
  std::string fleet = large_fleet(kServers);
  const std::string request_classes = "groups = (";
  fleet.insert(fleet.find(request_classes) + request_classes.size(),
               services_with_servers(services, servers));
  return fleet + "subsetting = { size = 20; };\n";
}

inline int unused_port() {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

// A cluster of one replica, because only replicas answer every query.
struct LargeControl {
  explicit LargeControl(int servers = kServers) : LargeControl(large_fleet(servers)) {}
  explicit LargeControl(const std::string& fleet) {
    std::ofstream(folder.file("fleet.conf")) << fleet;
    std::filesystem::create_directory(folder.file("log"));
    ControlOptions options{.fleet_path = folder.file("fleet.conf"),
                           .state_folder = "",
                           .first_start = true,
                           .addresses = {"127.0.0.1:0", loopback(0), loopback(0)}};
    options.agreement.id = 1;
    options.agreement.address = "127.0.0.1:" + std::to_string(unused_port());
    options.agreement.folder = folder.file("log");
    options.agreement.bootstrap = parse_instances("1=" + options.agreement.address);
    control = std::make_unique<RunningControl>(options);
    published = await([&] { return AdminClient(admin()).call("instances").published() > 0; });
  }
  sockaddr_in admin() const { return loopback(control->admin_port()); }
  // Sends a query and checks that the answer takes less than kMaxAnswerSeconds.
  AdminAnswer answer(const std::string& query) const {
    auto started_at = std::chrono::steady_clock::now();
    AdminAnswer out = AdminClient(admin()).call(query);
    std::chrono::duration<double> duration = std::chrono::steady_clock::now() - started_at;
    EXPECT_LT(duration.count(), kMaxAnswerSeconds) << query;
    return out;
  }

  TemporaryFolder folder;
  std::unique_ptr<RunningControl> control;
  bool published = false;  // the first publication was made within the time limit
};

}  // namespace myrtlecroft::control
