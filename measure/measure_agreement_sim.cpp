// Runs the simulation of replicated control for many seeds and prints the first violation of each failing
// seed, which reproduces it: measure_agreement_sim SEEDS [FIRST] [INSTANCES NODES PROXIES DIGITS FENCES].
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <vector>

#include "agreement_world.h"

int main(int count, char** arguments) {
  using namespace myrtlecroft;
  auto number = [&](int index, int fallback) {
    return count > index ? std::atoi(arguments[index]) : fallback;
  };
  int seeds = number(1, 2000);
  int first = number(2, 1);
  std::atomic<int> next = 0;
  std::mutex mutex;
  rehearsal::SimulationResult total;
  int broken = 0;
  auto play_seeds = [&] {
    for (int index = next++; index < seeds; index = next++) {
      rehearsal::SimulationOptions options;
      options.seed = static_cast<std::uint32_t>(first + index);
      options.instances = number(3, index % 2 ? 5 : 3);
      options.nodes = number(4, 6);
      options.proxies = number(5, 4);
      options.shard_digits = number(6, 1);
      options.fences = number(7, 1) != 0;
      rehearsal::SimulationResult result = rehearsal::Simulation(options).play();
      std::lock_guard lock(mutex);
      total.faults += result.faults;
      total.decisions += result.decisions;
      total.runs += result.runs;
      total.rejected += result.rejected;
      total.duplicate_runs += result.duplicate_runs;
      total.split_owners += result.split_owners;
      total.stale_epochs += result.stale_epochs;
      total.lost_entries += result.lost_entries;
      total.rejected_old_folders += result.rejected_old_folders;
      total.invalid_proposals += result.invalid_proposals;
      total.not_recovered += result.not_recovered;
      total.releases += result.releases;
      total.restarts += result.restarts;
      total.over_budget += result.over_budget;
      total.unpermitted_restarts += result.unpermitted_restarts;
      total.bad_versions_completed += result.bad_versions_completed;
      if (result.violations() > 0 && ++broken <= 20) std::printf("%s\n", result.first.c_str());
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency()); ++i)
    threads.emplace_back(play_seeds);
  for (auto& thread : threads) thread.join();
  std::printf(
      "measured agreement_sim seeds=%d broken=%d faults=%d decisions=%llu runs=%llu denied=%llu doubled=%d "
      "split_owners=%d "
      "stale_acted=%d lost_entries=%d wrong_drafts=%d not_back=%d refused_folders=%d releases=%d restarts=%d "
      "over=%d unpermitted=%d "
      "bad_finished=%d\n",
      seeds, broken, total.faults, static_cast<unsigned long long>(total.decisions),
      static_cast<unsigned long long>(total.runs), static_cast<unsigned long long>(total.rejected),
      total.duplicate_runs, total.split_owners, total.stale_epochs, total.lost_entries,
      total.invalid_proposals, total.not_recovered, total.rejected_old_folders, total.releases,
      total.restarts, total.over_budget, total.unpermitted_restarts, total.bad_versions_completed);
  return broken > 0;
}
