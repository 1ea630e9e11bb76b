// A simulated fleet: servers that report as the test specifies, and a clock that only the test advances.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "routing/router.h"

namespace myrtlecroft::routing {

// Returns a fleet with one request class of each kind of idempotency, and a second idempotent one of low
// priority.
inline fleet::Fleet small_fleet(int nodes = 3) {
  fleet::Fleet out;
  out.listener = "fleet";
  out.proxies = 2;
  for (int i = 1; i <= nodes; ++i) {
    out.nodes.push_back({.name = "n" + std::to_string(i),
                         .zone = i % 2 ? "a" : "b",
                         .host = "127.0.0.1",
                         .port = static_cast<std::uint16_t>(4100 + i)});
  }
  out.request_classes = {
      {.name = "cheap",
       .path = "/cheap",
       .priority_weight = 0.5,
       .latency_objective = kSecond,
       .client_timeout = 2 * kSecond},
      {.name = "read", .path = "/read", .latency_objective = kSecond, .client_timeout = 2 * kSecond},
      {.name = "write",
       .path = "/write",
       .idempotency = Idempotency::kKeyed,
       .priority_weight = 2,
       .latency_objective = kSecond,
       .client_timeout = 2 * kSecond,
       .deduplication_window = 5 * kSecond,
       .key_header = "Replay-Key"},
      {.name = "set",
       .path = "/set",
       .idempotency = Idempotency::kNone,
       .latency_objective = kSecond,
       .client_timeout = 2 * kSecond}};
  return out;
}

// Runs a Router with reports of simulated servers.
struct FleetSimulation {
  static constexpr std::uint64_t kRequests = 2;  // received by a server for each class between two reports

  explicit FleetSimulation(fleet::Fleet initial_fleet = small_fleet(),
                           std::optional<PersistedState> persisted = std::nullopt, bool first_start = true)
      : fleet(std::move(initial_fleet)),
        router(fleet, std::move(persisted), first_start, now,
               [this](const std::string& line) { lines.push_back(line); }) {
    for (const fleet::Node& node : fleet.nodes) {
      report::LoadReport& report = reports[node.name];
      report.node = node.name;
      report.address = node.address();
      report.incarnation = 100;
      report.engine_up = true;
      report.window = 20;
      report.limit = 4;
      report.request_classes = {{.request_class = "cheap"},
                                {.request_class = "read"},
                                {.request_class = "write"},
                                {.request_class = "set"}};
    }
  }

  // Sends the next report of a server.
  ServerRegistry::Verdict report(const std::string& node) {
    report::LoadReport& report = reports.at(node);
    ++report.sequence;
    report.sent_unix = now;
    router.handle_report_connection(node, true, now);
    return router.handle_report(report, now, now);
  }
  // Advances the clock by `time`. Ten times a second, each reporting server receives requests and answers
  // them.
  void run(Nanos time) {
    for (Nanos end = now + time; now < end;) {
      now += 100 * kMs;
      for (auto& [name, load_report] : reports) {
        if (without_reports.contains(name)) continue;
        for (report::RequestClassCounts& counts : load_report.request_classes) {
          counts.read += kRequests;
          if (hung.contains(name)) continue;
          counts.rejected += rejects[name];
          counts.completed += kRequests - rejects[name];
        }
        report(name);
      }
      if (proxies_apply)
        router.set_applied_by_all_proxies(router.published() ? router.published()->number : 0);
      if (auto next = router.step(now)) published.push_back(next);
    }
  }
  const ServerStatus& server(const std::string& name) const {
    for (const ServerStatus& one : router.registry().all()) {
      if (one.node.name == name) return one;
    }
    throw std::runtime_error("no server " + name);
  }
  const NodeRoute& route(const std::string& name) const {
    for (const NodeRoute& one : router.published()->snapshot.nodes) {
      if (one.name == name) return one;
    }
    throw std::runtime_error("no route " + name);
  }
  // Returns the published owner of a shard, or an empty string if the shard is closed.
  std::string owner(std::size_t shard) const {
    int at = router.published()->snapshot.shards[shard];
    return at == kClosed ? "" : router.published()->snapshot.nodes[static_cast<std::size_t>(at)].name;
  }
  bool logged(const std::string& part) const {
    for (const std::string& line : lines) {
      if (line.find(part) != std::string::npos) return true;
    }
    return false;
  }

  Nanos now = 1000 * kSecond;
  fleet::Fleet fleet;
  std::vector<std::string> lines;
  Router router;
  std::map<std::string, report::LoadReport> reports;
  std::map<std::string, bool> without_reports;   // servers that send no reports
  std::map<std::string, bool> hung;              // servers that accept requests and answer none
  std::map<std::string, std::uint64_t> rejects;  // rejected requests of each class between two reports
  bool proxies_apply = true;                     // proxies apply each publication at once
  std::vector<std::shared_ptr<const PublishedSnapshot>> published;
};

}  // namespace myrtlecroft::routing
