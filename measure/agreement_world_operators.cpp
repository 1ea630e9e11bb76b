// Operators of the simulated world: releases, halts, rollbacks and drains, at any replica and any time.
#include "agreement_world_parts.h"
#include "releases/rollout_plan.h"

namespace myrtlecroft::rehearsal {

// Of a version that is bad now and then.
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
  plan.set_way_back(chance() < 0.7);
  plan.set_most_failed(1);
  plan.set_least_exchanges(5);
  plan.set_worse_by(100);
  plan.set_good_within(300);
  plan.set_slower_by(500);
  plan.set_false_halts(100);
  plan.set_false_goods(100);
  plan.set_alarm(900);
  plan.set_alarm_for_ns(3 * kSecond);
  if (chance() < 0.3) bad_versions_.insert(plan.version());
  return plan;
}

// Any operator, any instance, any time.
void Simulation::run_operator() {
  later(between(kSecond, 6 * kSecond), [this] {
    if (now_ < options_.faults_for) run_operator();
  });
  Control& one = *controls_[static_cast<std::size_t>(pick(options_.instances))];
  if (!one.instance || !one.instance->has_quorum()) return;
  const agreement::MaintenanceState& maintenance = one.instance->committed_state().maintenance();
  if (chance() < 0.15) {
    std::string node = nodes_[static_cast<std::size_t>(pick(options_.nodes))]->name;
    one.instance->submit_command((maintenance.drains().empty() ? "drain " : "undrain ") +
                                 (maintenance.drains().empty() ? node : *maintenance.drains().begin()));
    return;
  }
  if (maintenance.release_in_progress()) {
    constexpr const char* kSaid[] = {"release halt", "release resume", "release back", "release resume",
                                     "release end"};
    one.instance->submit_command(kSaid[pick(5)]);
    return;
  }
  one.instance->submit_command(releases::release_start_command(random_plan()));
}

}  // namespace myrtlecroft::rehearsal
