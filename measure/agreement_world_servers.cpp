// Servers of the simulation: load reports, shard assignments, restarts and keyed requests.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

report::LoadReport Simulation::next_report(Server& server) {
  report::LoadReport report;
  report.node = server.name;
  report.address = "127.0.0.1:" + std::to_string(server.place);
  report.incarnation = server.incarnation;
  report.sequence = ++server.sequence;
  report.sent_unix = kUnixStart + now_;
  report.engine_up = true;
  report.window = 16;
  report.limit = 4;
  report.accepts_assignments = true;
  if (server.fencing_guard.assignment()) report.epoch = server.fencing_guard.assignment()->epoch;
  report.version = static_cast<std::uint8_t>(server.version);
  report.warming_up = now_ < server.warm_until;
  if (!report.warming_up) server.out_for_restart = false;
  if (!bad_versions_.contains(server.version)) server.completed_in_time += 8;
  report.request_classes.push_back(
      {"book", 8 * server.sequence, 0, 8 * server.sequence, server.completed_in_time, 0});
  return report;
}

void Simulation::run_server(Server& server) {
  schedule(kReportInterval, [this, &server] { run_server(server); });
  if (!server.alive) return;
  report::LoadReport report = next_report(server);
  Nanos reported_at = now_;
  for (auto& replica : replicas_) {
    deliver(server.place, replica->place, [this, &server, &to = *replica, report, reported_at] {
      if (!to.instance) return;
      to.instance->router().handle_report_connection(server.name, true, now_ + to.clock_offset);
      to.instance->router().handle_report(report, now_ + to.clock_offset, kUnixStart + now_);
      if (to.instance->committed_state().epoch().number >= highest_agreed_epoch_)
        track_leases(to.instance->committed_state());
      ShardAssignment order = to.instance->assignment_for(server.name);
      if (order.restart_version && !to.instance->has_quorum()) return;
      deliver(to.place, server.place, [this, &server, order, reported_at, incarnation = report.incarnation] {
        if (!server.alive || server.incarnation != incarnation) return;
        if (order.restart_version && now_ - reported_at > kMaxAnswerAge) return;
        FencingGuard::Verdict verdict = server.fencing_guard.accept(order, server.incarnation);
        if (verdict == FencingGuard::Verdict::kAccepted) {
          if (order.epoch < server.highest_epoch)
            record_violation(result_.stale_epochs, server.name + " accepted an assignment of an older epoch");
          server.highest_epoch = order.epoch;
          restart_as_ordered(server, order, reported_at);
        }
      });
    });
  }
}

// Restarts the server if the assignment orders it and is recent enough.
void Simulation::restart_as_ordered(Server& server, const ShardAssignment& order, Nanos reported_at) {
  if (!order.restart_version || now_ - reported_at > kMaxAnswerAge) return;
  auto permission = allowed_to_restart_.find(server.name);
  if (permission == allowed_to_restart_.end() || now_ - permission->second > kCancelledRestartGrace)
    record_violation(result_.unpermitted_restarts,
                     server.name + " restarts without an agreed maintenance lease");
  ++result_.restarts;
  server.alive = false;
  server.out_for_restart = true;
  auto out =
      std::count_if(servers_.begin(), servers_.end(), [](const auto& one) { return one->out_for_restart; });
  if (out > options_.max_unavailable)
    record_violation(result_.over_budget, std::to_string(out) + " servers are out for restarts");
  // 3% of the servers come back with the old version, and 3% come back late.
  std::uint32_t version = draw_fraction() < 0.03 ? server.version : *order.restart_version;
  schedule(draw_fraction() < 0.03 ? 8 * kSecond : draw_duration(200 * kMs, 2 * kSecond),
           [this, &server, version] {
             if (server.alive) return;
             server.alive = true;
             ++server.incarnation;
             server.sequence = server.completed_in_time = 0;
             server.version = version;
             server.warm_until = now_ + 500 * kMs;
             if (server.has_store) return;
             server.executed_requests.clear();
             server.fencing_guard = {};
             server.highest_epoch = {};
           });
}

void Simulation::handle_request(Server& server, std::shared_ptr<KeyedRequest> request) {
  if (!server.alive || (options_.fences && !server.fencing_guard.admits(request->key))) {
    ++result_.rejected;
    return;
  }
  if (!server.executed_requests.insert(request->number).second) return;  // duplicate: the result is known
  ++result_.runs;
  request->executing_servers.push_back(server.place);
  if (request->executing_servers.size() > 1) {
    record_violation(result_.duplicate_runs, "key " + request->key + " ran at " +
                                                 std::to_string(request->executing_servers[0]) + " and " +
                                                 std::to_string(server.place));
  }
}

}  // namespace myrtlecroft::rehearsal
