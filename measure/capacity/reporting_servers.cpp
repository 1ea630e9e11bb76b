#include "reporting_servers.h"

#include <algorithm>
#include <stdexcept>

namespace myrtlecroft::capacity {
namespace {

constexpr std::size_t kMaxRequestClassesInReport = 20;  // request classes in a server's report

report::LoadReport first_report(const fleet::Fleet& fleet, const fleet::Node& node) {
  report::LoadReport out;
  out.node = node.name;
  out.address = node.address();
  out.incarnation = 100;
  out.engine_up = true;
  out.window = 20;
  out.limit = 4;
  for (std::size_t i = 0; i < std::min(kMaxRequestClassesInReport, fleet.request_classes.size()); ++i) {
    out.request_classes.emplace_back();
    out.request_classes.back().request_class = fleet.request_classes[i].name;
  }
  return out;
}

}  // namespace

ReportingServers::ReportingServers(const fleet::Fleet& fleet) {
  for (const fleet::Node& node : fleet.nodes) reports_.push_back(first_report(fleet, node));
}

void ReportingServers::connect(routing::Router& router, Nanos now) {
  for (const report::LoadReport& report : reports_) router.handle_report_connection(report.node, true, now);
}

void ReportingServers::report(routing::Router& router, Nanos now) {
  for (std::size_t i = 0; i < reports_.size(); ++i) {
    if (disconnected_.contains(i)) continue;
    report::LoadReport& report = reports_[i];
    ++report.sequence;
    report.sent_unix = now;
    for (report::RequestClassCounts& counts : report.request_classes) {
      counts.read += 2;
      counts.completed += 2;
      counts.in_time += 2;
    }
    if (router.handle_report(report, now, now) != routing::ServerRegistry::Verdict::kAccepted)
      throw std::runtime_error("the router rejected the report of " + report.node);
  }
}

void ReportingServers::start_draining(int server) {
  reports_[static_cast<std::size_t>(server)].draining = true;
}

void ReportingServers::disconnect_servers(int first_server, int servers, routing::Router& router, Nanos now) {
  for (int i = first_server; i < first_server + servers; ++i) {
    disconnected_.insert(static_cast<std::size_t>(i));
    router.handle_report_connection(reports_[static_cast<std::size_t>(i)].node, false, now);
  }
}

void ReportingServers::reconnect_servers(int first_server, int servers, routing::Router& router, Nanos now) {
  for (int i = first_server; i < first_server + servers; ++i) {
    disconnected_.erase(static_cast<std::size_t>(i));
    router.handle_report_connection(reports_[static_cast<std::size_t>(i)].node, true, now);
  }
}

std::size_t count_healthy_servers(const routing::Snapshot& snapshot) {
  return static_cast<std::size_t>(
      std::count_if(snapshot.nodes.begin(), snapshot.nodes.end(),
                    [](const auto& node) { return node.health == routing::Health::kHealthy; }));
}

}  // namespace myrtlecroft::capacity
