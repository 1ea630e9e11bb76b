// Builders of a small fleet, a release plan and a healthy server's status, for the tests of src/releases.
#pragma once

#include <string>

#include "agreement.pb.h"
#include "fleet/fleet.h"
#include "routing/server_registry.h"

namespace myrtlecroft::releases {

// Servers n1, n2, ... that alternate between the zones a and b.
inline fleet::Fleet fleet_of(int nodes,
                             fleet::MaxUnavailable max_unavailable = {.by_count = true, .max = 2}) {
  fleet::Fleet out;
  out.listener = "fleet";
  for (int i = 1; i <= nodes; ++i) {
    out.nodes.push_back({.name = "n" + std::to_string(i),
                         .zone = i % 2 ? "a" : "b",
                         .host = "127.0.0.1",
                         .port = static_cast<std::uint16_t>(4100 + i)});
  }
  out.request_classes.push_back(
      {.name = "read", .path = "/read", .latency_objective = 500 * kMs, .client_timeout = 500 * kMs});
  out.maintenance.max_unavailable = max_unavailable;
  out.maintenance.lease_duration = 20 * kSecond;
  out.bounds.min_time_out_of_rotation = out.bounds.slow_start = 0;
  return out;
}

// Two servers first, then half of the capacity, then all of it.
inline agreement::Plan plan_of(std::uint32_t version) {
  agreement::Plan out;
  out.set_name("winter");
  out.set_version(version);
  out.set_first_nodes(2);
  out.add_waves(500);
  out.add_waves(1000);
  out.set_soak_ns(2 * kSecond);
  out.set_longest_soak_ns(10 * kSecond);
  out.set_empty_within_ns(3 * kSecond);
  out.set_back_within_ns(4 * kSecond);
  out.set_warm_within_ns(5 * kSecond);
  out.set_way_back(true);
  out.set_least_exchanges(5);
  out.set_worse_by(50);
  out.set_good_within(200);
  out.set_slower_by(300);
  out.set_false_halts(20);
  out.set_false_goods(50);
  out.set_alarm(300);
  out.set_alarm_for_ns(kSecond);
  return out;
}

// A server in full service with `requests` that run or are queued and a concurrency limit of `limit`.
inline routing::ServerStatus server_of(const fleet::Node& node, double requests = 1, double limit = 4) {
  routing::ServerStatus out{.node = node, .state = routing::ServerState::kServing};
  out.last_report_at = kSecond;
  out.incarnation = 1;
  out.version = 1;
  out.report.node = node.name;
  out.report.incarnation = 1;
  out.report.limit = limit;
  out.report.accepts_assignments = true;
  out.reported.occupancy.add(requests, kSecond);
  out.reported.reports.add(1, kSecond);
  return out;
}

}  // namespace myrtlecroft::releases
