// Operators of the simulation: releases, halts, rollbacks and drains, through any replica at any time.
#include "agreement_world_parts.h"
#include "releases/rollout_plan.h"

namespace myrtlecroft::rehearsal {

// Returns a plan for a new version, which is bad with a probability of 0.3.
agreement::Plan Simulation::random_plan() {
  agreement::Plan plan;
  plan.set_name("r");
  plan.set_version(next_version_++ % 90 + 1);
  plan.set_first_nodes(2);
  for (std::uint32_t share : {700u, 1000u}) plan.add_waves(share);
  plan.set_soak_ns(1500 * kMs);
  plan.set_longest_soak_ns(8 * kSecond);
  plan.set_empty_within_ns(4 * kSecond);
  plan.set_back_within_ns(5 * kSecond);
  plan.set_warm_within_ns(6 * kSecond);
  plan.set_way_back(draw_fraction() < 0.7);
  plan.set_most_failed(1);
  plan.set_least_exchanges(5);
  plan.set_worse_by(100);
  plan.set_good_within(300);
  plan.set_slower_by(500);
  plan.set_false_halts(100);
  plan.set_false_goods(100);
  plan.set_alarm(900);
  plan.set_alarm_for_ns(3 * kSecond);
  if (draw_fraction() < 0.3) bad_versions_.insert(plan.version());
  return plan;
}

// Submits a random operator command to a random replica.
void Simulation::run_operator() {
  schedule(draw_duration(kSecond, 6 * kSecond), [this] {
    if (now_ < options_.fault_duration) run_operator();
  });
  Replica& replica = *replicas_[static_cast<std::size_t>(draw_index(options_.instances))];
  if (!replica.instance || !replica.instance->has_quorum()) return;
  const agreement::MaintenanceState& maintenance = replica.instance->committed_state().maintenance();
  if (draw_fraction() < 0.15) {
    std::string server = servers_[static_cast<std::size_t>(draw_index(options_.nodes))]->name;
    replica.instance->submit_command((maintenance.drains().empty() ? "drain " : "undrain ") +
                                     (maintenance.drains().empty() ? server : *maintenance.drains().begin()));
    return;
  }
  if (maintenance.release_in_progress()) {
    constexpr const char* kReleaseCommands[] = {"release halt", "release resume", "release back",
                                                "release resume", "release end"};
    replica.instance->submit_command(kReleaseCommands[draw_index(5)]);
    return;
  }
  replica.instance->submit_command(releases::release_start_command(random_plan()));
}

}  // namespace myrtlecroft::rehearsal
