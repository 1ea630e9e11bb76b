// Servers of the simulated world: load reports, assignments, restarts and the runs of keys.
#include "agreement_world_parts.h"

namespace myrtlecroft::rehearsal {

report::LoadReport Simulation::next_report(Node& node) {
  report::LoadReport report;
  report.node = node.name;
  report.address = "127.0.0.1:" + std::to_string(node.place);
  report.incarnation = node.incarnation;
  report.sequence = ++node.sequence;
  report.sent_unix = kUnixStart + now_;
  report.engine_up = true;
  report.window = 16;
  report.limit = 4;
  report.accepts_assignments = true;
  if (node.fence.assignment()) report.epoch = node.fence.assignment()->epoch;
  report.version = static_cast<std::uint8_t>(node.version);
  report.warming_up = now_ < node.warm_at;
  if (!report.warming_up) node.chosen = false;
  if (!bad_versions_.contains(node.version)) node.in_time += 8;
  report.request_classes.push_back({"book", 8 * node.sequence, 0, 8 * node.sequence, node.in_time, 0});
  return report;
}

void Simulation::run_node(Node& node) {
  later(kReportEvery, [this, &node] { run_node(node); });
  if (!node.alive) return;
  report::LoadReport report = next_report(node);
  Nanos asked_at = now_;
  for (auto& control : controls_) {
    deliver(node.place, control->place, [this, &node, &to = *control, report, asked_at] {
      if (!to.instance) return;
      to.instance->router().handle_report_connection(node.name, true, now_ + to.ahead);
      to.instance->router().handle_report(report, now_ + to.ahead, kUnixStart + now_);
      if (to.instance->committed_state().epoch().number >= agreed_)
        track_leases(to.instance->committed_state());
      ShardAssignment order = to.instance->assignment_for(node.name);
      if (order.restart_version && !to.instance->has_quorum()) return;
      deliver(to.place, node.place, [this, &node, order, asked_at, incarnation = report.incarnation] {
        if (!node.alive || node.incarnation != incarnation) return;
        if (order.restart_version && now_ - asked_at > kMaxAnswerAge) return;
        FencingGuard::Verdict verdict = node.fence.accept(order, node.incarnation);
        if (verdict == FencingGuard::Verdict::kAccepted) {
          if (order.epoch < node.highest) violate(result_.stale_acted, node.name + " took an older order");
          node.highest = order.epoch;
          restart_as_ordered(node, order, asked_at);
        }
      });
    });
  }
}

// What a server does with an order that tells it to start anew.
void Simulation::restart_as_ordered(Node& node, const ShardAssignment& order, Nanos asked_at) {
  if (!order.restart_version || now_ - asked_at > kMaxAnswerAge) return;
  auto leave = allowed_to_restart_.find(node.name);
  if (leave == allowed_to_restart_.end() || now_ - leave->second > kCancelledStillActs)
    violate(result_.unpermitted, node.name + " goes though nobody agreed to it");
  ++result_.restarts;
  node.alive = false;
  node.chosen = true;
  auto out = std::count_if(nodes_.begin(), nodes_.end(), [](const auto& one) { return one->chosen; });
  if (out > options_.max_unavailable) violate(result_.over, std::to_string(out) + " nodes are out by choice");
  // Now and then it comes back in another version, or late.
  std::uint32_t version = chance() < 0.03 ? node.version : *order.restart_version;
  later(chance() < 0.03 ? 8 * kSecond : between(200 * kMs, 2 * kSecond), [this, &node, version] {
    if (node.alive) return;
    node.alive = true;
    ++node.incarnation;
    node.sequence = node.in_time = 0;
    node.version = version;
    node.warm_at = now_ + 500 * kMs;
    if (node.store) return;
    node.ran.clear();
    node.fence = {};
    node.highest = {};
  });
}

void Simulation::arrive(Node& node, std::shared_ptr<Key> key) {
  if (!node.alive || (options_.fences && !node.fence.admits(key->text))) {
    ++result_.rejected;
    return;
  }
  if (!node.ran.insert(key->number).second) return;  // it knows the result
  ++result_.runs;
  key->ran_at.push_back(node.place);
  if (key->ran_at.size() > 1) {
    violate(result_.doubled, "key " + key->text + " ran at " + std::to_string(key->ran_at[0]) + " and " +
                                 std::to_string(node.place));
  }
}

}  // namespace myrtlecroft::rehearsal
