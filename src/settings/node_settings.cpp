#include "settings/node_settings.h"

#include <arpa/inet.h>

#include "settings/document.h"

namespace myrtlecroft::settings {
namespace {

constexpr std::size_t kMaxControls = 8;

ReportSettings read_reports(Part part) {
  ReportSettings out;
  for (const std::string& given : part.texts("to")) {
    std::string host;
    std::uint16_t port = 0;
    if (!split_address(given, host, port)) part.bad("to", "holds what is no address: '" + given + "'");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    out.to.push_back(address);
  }
  if (out.to.size() > kMaxControls) part.bad("to", "holds more than 8 addresses");
  out.every = part.millis_or("every_ms", out.every, 50, 10'000);
  out.obey = part.truth_or("obey", out.obey);
  if (out.obey && out.to.empty()) part.bad("obey", "needs control services to obey");
  part.nothing_else();
  return out;
}

peers::SlowClientOptions read_slow_peers(Part part) {
  peers::SlowClientOptions out;
  out.min_rate = part.number_or("least_bytes_per_s", out.min_rate, 1, 1e9);
  out.rate_over = part.millis_or("rate_over_ms", out.rate_over, 100, 60'000);
  out.grace = part.millis_or("grace_ms", out.grace, 100, 60'000);
  out.hurry = part.millis_or("hurry_ms", out.hurry, 10, 60'000);
  out.whole_within = part.millis_or("whole_within_ms", out.whole_within, 100, 600'000);
  out.unread_share = static_cast<std::size_t>(part.number_or("unread_kb", 64, 1, 192)) * 1024;
  out.balancer_share = part.number_or("balancer_share", out.balancer_share, 0.01, 1);
  part.nothing_else();
  return out;
}

}  // namespace

NodeSettings read_node_settings(const char* path) {
  NodeSettings out;
  if (!path || !*path) return out;
  Document document(path);
  Part root = document.root();
  root.whole("version", 1, 1);
  if (auto reports = root.part_if("reports")) out.reports = read_reports(*reports);
  if (auto slow = root.part_if("slow_peers")) out.slow_peers = read_slow_peers(*slow);
  if (auto store = root.part_if("store")) {
    out.store.folder = store->text_or("folder", "");
    store->nothing_else();
  }
  root.nothing_else();
  return out;
}

}  // namespace myrtlecroft::settings
