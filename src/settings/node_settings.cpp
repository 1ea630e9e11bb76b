#include "settings/node_settings.h"

#include <arpa/inet.h>

#include "settings/document.h"

namespace myrtlecroft::settings {
namespace {

constexpr std::size_t kMaxControlServices = 8;
constexpr std::size_t kBytesPerKb = 1024;

ReportSettings read_reports(Section section) {
  ReportSettings out;
  for (const std::string& entry : section.text_list("to")) {
    std::optional<HostAndPort> parsed = parse_address(entry);
    if (!parsed) section.fail("to", "has an entry that is not an address: '" + entry + "'");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->host.c_str(), &address.sin_addr);
    out.to.push_back(address);
  }
  if (out.to.size() > kMaxControlServices) section.fail("to", "has more than 8 addresses");
  out.report_interval = section.milliseconds_or("every_ms", out.report_interval, 50, 10'000);
  out.follows_control_service = section.boolean_or("obey", out.follows_control_service);
  if (out.follows_control_service && out.to.empty())
    section.fail("obey", "requires at least one address in reports.to");
  section.reject_unknown_fields();
  return out;
}

peers::SlowClientOptions read_slow_peers(Section section) {
  peers::SlowClientOptions out;
  out.min_rate = section.number_or("least_bytes_per_s", out.min_rate, 1, 1e9);
  out.rate_window = section.milliseconds_or("rate_over_ms", out.rate_window, 100, 60'000);
  out.grace = section.milliseconds_or("grace_ms", out.grace, 100, 60'000);
  out.final_warning_time = section.milliseconds_or("hurry_ms", out.final_warning_time, 10, 60'000);
  out.max_request_read_time =
      section.milliseconds_or("whole_within_ms", out.max_request_read_time, 100, 600'000);
  out.max_unread_bytes = static_cast<std::size_t>(section.number_or("unread_kb", 64, 1, 192)) * kBytesPerKb;
  out.balancer_share = section.number_or("balancer_share", out.balancer_share, 0.01, 1);
  section.reject_unknown_fields();
  return out;
}

}  // namespace

NodeSettings read_node_settings(const char* path) {
  NodeSettings out;
  if (!path || !*path) return out;
  Document document(path);
  Section root = document.root();
  root.integer("version", 1, 1);
  if (auto reports = root.optional_section("reports")) out.reports = read_reports(*reports);
  if (auto slow = root.optional_section("slow_peers")) out.slow_clients = read_slow_peers(*slow);
  if (auto store = root.optional_section("store")) {
    out.store.folder = store->text_or("folder", "");
    store->reject_unknown_fields();
  }
  root.reject_unknown_fields();
  return out;
}

}  // namespace myrtlecroft::settings
