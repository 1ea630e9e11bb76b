#include "control/tables.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kProgressWidth = 40;  // characters

// The type that printf's %llu expects.
unsigned long long as_unsigned_long_long(std::uint64_t value) { return value; }

void print_release(const AdminAnswer& answer) {
  if (!answer.has_release()) return;
  const ReleaseRow& row = answer.release();
  std::printf("release %llu '%s' to version %u: %s for %.1f s, wave %u of %u, %u of %u nodes have it\n",
              as_unsigned_long_long(row.id()), row.name().c_str(), row.version(), row.phase().c_str(),
              row.in_phase_s(), row.wave(), row.waves(), row.nodes_with(), row.nodes());
  std::printf("%s\n", progress_line(row, kProgressWidth).c_str());
  if (!row.reason().empty()) std::printf("why: %s\n", row.reason().c_str());
  if (!row.outlook().empty()) std::printf("now: %s\n", row.outlook().c_str());
  for (const std::string& failed : row.failed()) std::printf("failed: %s\n", failed.c_str());
}

void print_maintenance(const AdminAnswer& answer) {
  std::printf("%-28s %8s %8s %8s %8s\n", "budget", "may", "out", "chosen", "all");
  for (const BudgetRow& row : answer.budgets()) {
    std::printf("%-28s %8.2f %8.2f %8.2f %8.2f\n", row.name().c_str(), row.most(), row.out(), row.chosen(),
                row.all());
  }
  if (answer.trips_size() > 0)
    std::printf("%-16s %-9s %-10s %7s %8s %9s\n", "node", "why", "place", "version", "for s", "permit s");
  for (const MaintenanceLeaseRow& row : answer.trips()) {
    std::printf("%-16s %-9s %-10s %7u %8.1f %9.1f\n", row.node().c_str(), row.why().c_str(),
                row.place().c_str(), row.version(), row.in_place_s(), row.permit_s());
  }
  std::string drains;
  for (const std::string& node : answer.drains()) drains += " " + node;
  if (!drains.empty()) std::printf("held empty by operators:%s\n", drains.c_str());
}

void print_release_and_maintenance(const AdminAnswer& answer) {
  print_release(answer);
  print_maintenance(answer);
}

// Says which rows of a long answer are shown and how to get the others.
std::string page_line(const AdminAnswer& answer) {
  std::string page_position = std::to_string(answer.rows()) + " rows, page " + std::to_string(answer.page()) +
                              " of " + std::to_string(answer.pages());
  if (answer.first_row() == 0) return "no rows on this page; the answer has " + page_position;
  std::uint32_t last = answer.first_row() + (answer.rows() - answer.rows_left_out()) - 1;
  return "rows " + std::to_string(answer.first_row()) + " to " + std::to_string(last) + " of " +
         page_position +
         "; see other rows with --page, or filter with --name, --zone or --state where the query supports it";
}

void print_summary(const AdminAnswer& answer) {
  std::printf("view %s, published %llu, applied by all %llu, shards closed %u, proxies gone %u%s\n",
              answer.view().c_str(), as_unsigned_long_long(answer.published()),
              as_unsigned_long_long(answer.applied_by_all()), answer.shards_closed(), answer.proxies_gone(),
              answer.disk_fails() ? ", DISK FAILS" : "");
}

void print_replica_summary(const AdminAnswer& answer) {
  std::printf(
      "instance %llu: %s, leader %llu, term %llu, epoch %llu, agreed time %.1f s, %s; refused %llu, left "
      "out %llu\n",
      as_unsigned_long_long(answer.instance()), answer.role().c_str(), as_unsigned_long_long(answer.leader()),
      as_unsigned_long_long(answer.term()), as_unsigned_long_long(answer.epoch()), answer.agreed_time_s(),
      answer.in_touch() ? "in touch" : "OUT OF TOUCH with a majority",
      as_unsigned_long_long(answer.refused()), as_unsigned_long_long(answer.left_out()));
}

void print_instances(const AdminAnswer& answer) {
  std::printf("%-4s %-22s %-10s %-6s %10s %8s %6s  %s\n", "id", "address", "part", "leads", "applied",
              "heard s", "format", "settings");
  for (const InstanceRow& row : answer.instances()) {
    std::printf("%-4llu %-22s %-10s %-6s %10llu %8.1f %6u  %s%s\n", as_unsigned_long_long(row.id()),
                row.address().c_str(), row.part().c_str(), row.leads() ? "yes" : "no",
                as_unsigned_long_long(row.applied()), row.heard_s_ago(), row.format(), row.settings().c_str(),
                row.here() ? "  (here)" : "");
  }
}

void print_servers(const AdminAnswer& answer) {
  std::printf("%-16s %-8s %-21s %-9s %8s %8s %-8s %4s %6s %6s %5s %6s %5s %6s\n", "node", "zone", "address",
              "state", "for s", "heard s", "mode", "cold", "window", "limit", "held", "weight", "ramp",
              "shards");
  for (const ServerRow& row : answer.nodes()) {
    std::printf("%-16s %-8s %-21s %-9s %8.1f %8.1f %-8s %4s %6u %6.1f %5u %6.2f %5.2f %6u%s\n",
                row.name().c_str(), row.zone().c_str(), row.address().c_str(), row.state().c_str(),
                row.in_state_s(), row.heard_s_ago(), row.mode().c_str(), row.cold() ? "yes" : "no",
                row.window(), row.limit(), row.held(), row.weight(), row.ramp(), row.shards(),
                row.kept_in() ? " kept in" : "");
  }
}

void print_proxies(const AdminAnswer& answer) {
  std::printf("%-24s %-8s %-24s %-5s %8s %8s %6s  %s\n", "proxy", "zone", "peer", "form", "applied", "acks",
              "nacks", "refuses");
  for (const ProxyRow& row : answer.proxies()) {
    std::string nacks;
    for (const std::string& nack : row.refused()) nacks += (nacks.empty() ? "" : "; ") + nack;
    std::printf("%-24s %-8s %-24s %-5s %8llu %8llu %6llu  %s\n", row.id().c_str(), row.zone().c_str(),
                row.peer().c_str(), row.form().c_str(), as_unsigned_long_long(row.applied()),
                as_unsigned_long_long(row.acks()), as_unsigned_long_long(row.nacks()), nacks.c_str());
  }
}

void print_snapshot(const AdminAnswer& answer) {
  const routing_state::Snapshot& snapshot = answer.snapshot();
  std::printf("snapshot %llu of %s\n", as_unsigned_long_long(snapshot.number()), snapshot.listener().c_str());
  for (const routing_state::NodeRoute& node : snapshot.nodes()) {
    std::printf("  node %-16s %-8s weight %u, in flight for each proxy %u\n", node.name().c_str(),
                node.health().c_str(), node.weight(), node.in_flight());
  }
  for (const routing_state::RequestClassRoute& request_class : snapshot.groups()) {
    std::string subsets = request_class.subset_size() > 0
                              ? ", in subsets of " + std::to_string(request_class.subset_size())
                              : "";
    std::printf("  group %-16s admitted %.1f%%, time limit %.3f s, retries %d%s%s\n",
                request_class.name().c_str(), request_class.admitted() / 100.0,
                static_cast<double>(request_class.timeout_ns()) / 1e9, request_class.repeats().retries(),
                request_class.repeats().same_node() ? " at the same node" : "", subsets.c_str());
  }
}

struct Table {
  std::string_view query;
  void (*print)(const AdminAnswer&);
};

constexpr Table kTables[] = {{"instances", print_instances},
                             {"outings", print_release_and_maintenance},
                             {"release status", print_release_and_maintenance},
                             {"nodes", print_servers},
                             {"proxies", print_proxies},
                             {"snapshot", print_snapshot}};

}  // namespace

std::string progress_line(const ReleaseRow& row, std::size_t width) {
  auto filled = static_cast<std::size_t>(std::lround(row.reached() * static_cast<double>(width)));
  filled = std::min(filled, width);
  char suffix[80];
  if (row.left_s() >= 0) {
    std::snprintf(suffix, sizeof suffix, " %.0f%%, about %.0f s left", 100 * row.reached(), row.left_s());
  } else {
    std::snprintf(suffix, sizeof suffix, " %.0f%%", 100 * row.reached());
  }
  return "[" + std::string(filled, '#') + std::string(width - filled, '.') + "]" + suffix;
}

void print_table(const AdminAnswer& answer, const std::string& query) {
  print_summary(answer);
  if (answer.instance() > 0) print_replica_summary(answer);
  for (const Table& table : kTables) {
    if (query == table.query) table.print(answer);
  }
  if (answer.rows_left_out() > 0) std::printf("%s\n", page_line(answer).c_str());
}

}  // namespace myrtlecroft::control
