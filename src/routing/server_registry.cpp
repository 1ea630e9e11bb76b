// Handles input from the fleet file, servers and proxies, and applies the state changes of each step.
#include "routing/server_registry.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace myrtlecroft::routing {
namespace {

// Three intervals of the caller's step timer. A longer time between two steps is a pause of this process.
constexpr Nanos kMaxStepInterval = 300 * kMs;
constexpr std::size_t kMaxLogLineBytes = 320;  // of a log line

std::string format_state_change(const ServerStatus& server, const StateChange& change, Nanos now) {
  char line[kMaxLogLineBytes];
  const report::LoadReport& report = server.report;
  double report_age_ms = server.last_report_at > 0
                             ? static_cast<double>(now - server.last_report_at) / static_cast<double>(kMs)
                             : -1;
  std::snprintf(line, sizeof line,
                "server %s %s -> %s: %s; last report %.0f ms ago, window %u, limit %.1f, queued %u, "
                "unanswered %llu, weight %.2f, flaps %d",
                server.node.name.c_str(), name_of(server.state), name_of(change.next), change.reason,
                report_age_ms, report.window, report.limit, report.queued_requests,
                static_cast<unsigned long long>(count_unanswered(report)), server.weight, server.flaps);
  return line;
}

}  // namespace

ServerRegistry::ServerRegistry(const fleet::Fleet& fleet, Nanos now, Log log)
    : connectivity_(now), weights_(now), now_(now), log_(std::move(log)) {
  update_fleet(fleet, now);
}

void ServerRegistry::update_fleet(const fleet::Fleet& fleet, Nanos now) {
  now_ = std::max(now_, now);
  bounds_ = fleet.bounds;
  longest_latency_objective_ = 0;
  request_classes_.clear();
  for (std::size_t at = 0; at < fleet.request_classes.size(); ++at) {
    longest_latency_objective_ =
        std::max(longest_latency_objective_, fleet.request_classes[at].latency_objective);
    request_classes_.emplace(fleet.request_classes[at].name, static_cast<int>(at));
  }
  std::vector<ServerStatus> next;
  next.reserve(fleet.nodes.size());
  for (const fleet::Node& node : fleet.nodes) {
    ServerStatus* old = find(node.name);
    if (old && old->node.address() == node.address()) {
      next.push_back(std::move(*old));
      next.back().node = node;
      next.back().request_class_shares.clear();
      update_request_class_shares(next.back(), next.back().report);
      continue;
    }
    // A server at another address is a different server. A server added while others are known starts without
    // history and gets requests once it reports.
    ServerStatus server{.node = node, .state_since = now_};
    if (view() != ConnectivityState::kRestoring) server.state = ServerState::kLost;
    next.push_back(std::move(server));
  }
  servers_ = std::move(next);
  index_servers();
  ++layout_generation_;
}

void ServerRegistry::index_servers() {
  indices_by_name_.clear();
  indices_by_address_.clear();
  for (std::size_t server_index = 0; server_index < servers_.size(); ++server_index) {
    indices_by_name_.emplace(servers_[server_index].node.name, static_cast<int>(server_index));
    indices_by_address_.emplace(servers_[server_index].node.address(), static_cast<int>(server_index));
  }
}

int ServerRegistry::index_of(const std::string& name) const {
  auto found = indices_by_name_.find(name);
  return found == indices_by_name_.end() ? -1 : found->second;
}

const ServerStatus* ServerRegistry::server_at_address(const std::string& address) const {
  auto found = indices_by_address_.find(address);
  return found == indices_by_address_.end() ? nullptr : &servers_[static_cast<std::size_t>(found->second)];
}

const ServerStatus* ServerRegistry::server(const std::string& name) const {
  int server_index = index_of(name);
  return server_index < 0 ? nullptr : &servers_[static_cast<std::size_t>(server_index)];
}

ServerStatus* ServerRegistry::find(const std::string& name) {
  int server_index = index_of(name);
  return server_index < 0 ? nullptr : &servers_[static_cast<std::size_t>(server_index)];
}

// A server lists the same classes in each report, so a class is looked up only if its name differs from the
// previous report's.
void ServerRegistry::update_request_class_shares(ServerStatus& server,
                                                 const report::LoadReport& report) const {
  double total_received = 0;
  for (const report::RequestClassCounts& counts : report.request_classes)
    total_received += static_cast<double>(counts.read);
  const std::vector<report::RequestClassCounts>& before = server.report.request_classes;
  std::size_t known = std::min(server.request_class_shares.size(), before.size());
  server.request_class_shares.resize(report.request_classes.size());
  for (std::size_t class_index = 0; class_index < report.request_classes.size(); ++class_index) {
    const report::RequestClassCounts& counts = report.request_classes[class_index];
    RequestClassShare& entry = server.request_class_shares[class_index];
    if (class_index >= known || before[class_index].request_class != counts.request_class) {
      auto found = request_classes_.find(counts.request_class);
      entry.request_class = found == request_classes_.end() ? -1 : found->second;
    }
    entry.share = total_received > 0 ? static_cast<double>(counts.read) / total_received : 0;
  }
}

ServerRegistry::Verdict ServerRegistry::handle_report(const report::LoadReport& report, Nanos now,
                                                      std::int64_t unix_now) {
  now_ = std::max(now_, now);
  ServerStatus* server = find(report.node);
  if (!server) return Verdict::kUnknownNode;
  if (report.address != server->node.address()) return Verdict::kAddressMismatch;
  if (report.sent_unix > unix_now + bounds_.clock_skew) return Verdict::kClockAhead;
  bool same_incarnation = report.incarnation == server->incarnation;
  if (report.incarnation < server->incarnation ||
      (same_incarnation && report.sequence <= server->report.sequence)) {
    return Verdict::kStale;
  }
  if (!same_incarnation) {
    if (server->incarnation != 0) {
      log_("server " + report.node + " restarted as incarnation " + std::to_string(report.incarnation) +
           ": the keys of incarnation " + std::to_string(server->incarnation) + " are lost");
    }
    server->incarnation = report.incarnation;
    server->last_progress_at = now_;
  }
  ReportTotals before = same_incarnation ? compute_totals(server->report) : ReportTotals{};
  ReportTotals totals = compute_totals(report);
  if (same_incarnation) add_counts(server->reported, before, totals);
  server->version = report.version;
  server->reported.occupancy.add(report.running + report.queued_requests, now_);
  server->reported.reports.add(1, now_);
  if (totals.answered > before.answered || totals.answered >= totals.received)
    server->last_progress_at = now_;
  update_request_class_shares(*server, report);
  server->report = report;
  server->last_report_at = now_;
  return Verdict::kAccepted;
}

// Counts never decrease within an incarnation; a report with lower counts than the previous one adds nothing.
void ServerRegistry::add_counts(ReportedSums& sums, const ReportTotals& before,
                                const ReportTotals& totals) const {
  if (totals.received < before.received || totals.rejected < before.rejected) return;
  sums.received.add(static_cast<double>(totals.received - before.received), now_);
  sums.rejected.add(static_cast<double>(totals.rejected - before.rejected), now_);
  if (totals.in_time >= before.in_time)
    sums.in_time.add(static_cast<double>(totals.in_time - before.in_time), now_);
  std::uint64_t answered = totals.answered - totals.rejected;
  std::uint64_t answered_before = before.answered - before.rejected;
  if (answered >= answered_before) sums.answered.add(static_cast<double>(answered - answered_before), now_);
}

void ServerRegistry::handle_report_connection(const std::string& node, bool up, Nanos now) {
  now_ = std::max(now_, now);
  if (ServerStatus* server = find(node)) server->connected = up;
}

void ServerRegistry::handle_proxy_counts(const ProxyCounts& counts, Nanos now) {
  now_ = std::max(now_, now);
  ServerStatus* server = find(counts.node);
  if (!server) return;
  ProxySums& sums = server->proxies;
  sums.issued.add(static_cast<double>(counts.issued), now_);
  sums.succeeded.add(static_cast<double>(counts.succeeded), now_);
  sums.failed.add(static_cast<double>(counts.failed), now_);
  if (counts.succeeded > 0 || sums.last_success_at == 0) sums.last_success_at = now_;
}

void ServerRegistry::restore(const PersistedState::Node& node) {
  ServerStatus* server = find(node.name);
  if (!server) return;
  server->version = node.version;
  server->incarnation = node.incarnation;
  server->weight = std::clamp(node.weight, bounds_.min_weight, 1.0);
  server->flaps = std::clamp(node.flaps, 0, kMaxFlaps);
  bool was_in_service = node.state == ServerState::kAssumedHealthy || node.state == ServerState::kSlowStart ||
                        node.state == ServerState::kServing;
  server->state = was_in_service ? ServerState::kAssumedHealthy : node.state;
}

void ServerRegistry::set_out_for_maintenance(const std::set<std::string>& nodes) {
  for (ServerStatus& server : servers_) {
    bool out = nodes.contains(server.node.name);
    if (out == server.out_for_maintenance) continue;
    bool was_in_service = server.in_service();
    server.out_for_maintenance = out;
    if (!was_in_service && server.in_service()) handle_return(server);
  }
}

// While this process was paused, reports waited unread, so the pause does not count as silence of the
// servers. Otherwise, a single publication that takes longer than half of lost_after makes the whole fleet
// seem silent. Drawback: a server that falls silent during a pause leaves rotation later by the length of the
// pause.
void ServerRegistry::exclude_own_pause() {
  const Nanos before = std::exchange(last_step_at_, now_);
  const Nanos pause = now_ - before;
  if (before == 0 || pause <= kMaxStepInterval) return;
  connectivity_.exclude_pause(pause, now_);
  for (ServerStatus& server : servers_) {
    for (Nanos* at : {&server.last_report_at, &server.last_progress_at, &server.proxies.last_success_at}) {
      if (*at > 0) *at = std::min(now_, *at + pause);
    }
  }
}

void ServerRegistry::update_connectivity() {
  std::optional<Connectivity::Change> change = connectivity_.step(servers_, bounds_, now_);
  if (!change) return;
  char line[kMaxLogLineBytes];
  std::snprintf(line, sizeof line,
                "connectivity %s -> %s: %s; %.2f of the capacity in rotation reported recently",
                name_of(change->from), name_of(change->to), change->reason, change->reporting_share);
  log_(line);
  changed_ = true;
}

bool ServerRegistry::step(Nanos now) {
  now_ = std::max(now_, now);
  exclude_own_pause();
  changed_ = false;
  update_connectivity();
  if (view() != ConnectivityState::kRestoring) {
    panic_threshold_.recount(servers_);
    for (ServerStatus& server : servers_) {
      std::optional<StateChange> change =
          next_state(server, context(), view() != ConnectivityState::kPartitioned);
      if (change) change_state(server, *change);
    }
    release_kept_in_rotation();
  }
  weights_.step(servers_, context(), view() != ConnectivityState::kConnected);
  return changed_;
}

void ServerRegistry::change_state(ServerStatus& server, const StateChange& change) {
  const bool was_in_service = server.in_service();
  log_(format_state_change(server, change, now_));
  panic_threshold_.remove(server);
  server.state = change.next;
  server.state_since = now_;
  server.stable_since = now_;
  server.kept_in_rotation = was_in_service && has_failed(change.next) &&
                            !panic_threshold_.may_be_out(server, bounds_.max_unavailable);
  panic_threshold_.add(server);
  if (server.kept_in_rotation) {
    log_("server " + server.node.name +
         " is kept in rotation: more capacity than the panic threshold allows would be out");
  }
  changed_ = true;
  if (change.next == ServerState::kSlowStart) server.slow_start_factor = bounds_.initial_slow_start_factor;
  if (change.next == ServerState::kServing) server.slow_start_factor = 1;
  if (was_in_service && has_failed(change.next)) count_flap(server);
  if (!was_in_service && server.in_service()) handle_return(server);
}

void ServerRegistry::count_flap(ServerStatus& server) const {
  bool is_flap = server.returned_at > 0 &&
                 now_ - server.returned_at < kFlapWindowMultiplier * bounds_.min_time_out_of_rotation;
  if (is_flap) server.flaps = std::min(kMaxFlaps, server.flaps + 1);
}

// Discards observations from before the return, which say nothing about the server's current health.
void ServerRegistry::handle_return(ServerStatus& server) {
  server.returned_at = now_;
  server.last_progress_at = now_;
  server.proxies = ProxySums{.last_success_at = now_};
  server.weight = std::max(server.weight, bounds_.min_weight);
}

void ServerRegistry::release_kept_in_rotation() {
  for (ServerStatus& server : servers_) {
    if (!server.kept_in_rotation) continue;
    panic_threshold_.remove(server);
    bool remains_in_rotation = !panic_threshold_.may_be_out(server, bounds_.max_unavailable);
    if (!remains_in_rotation) server.kept_in_rotation = false;
    panic_threshold_.add(server);
    if (remains_in_rotation) continue;
    changed_ = true;
    log_("server " + server.node.name + " left rotation: the panic threshold now allows it");
  }
}

}  // namespace myrtlecroft::routing
