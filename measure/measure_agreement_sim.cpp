// The decision code of several instances in virtual time, seed after seed; a seed that breaks a rule is
// named, and plays the same again: measure_agreement_sim SEEDS [FIRST] [INSTANCES NODES PROXIES DIGITS
// FENCES].
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <vector>

#include "agreement_world.h"

int main(int count, char** words) {
  using namespace myrtlecroft;
  auto number = [&](int at, int otherwise) { return count > at ? std::atoi(words[at]) : otherwise; };
  int seeds = number(1, 2000);
  int first = number(2, 1);
  std::atomic<int> next = 0;
  std::mutex mutex;
  rehearsal::SimulationResult all;
  int broken = 0;
  auto work = [&] {
    for (int at = next++; at < seeds; at = next++) {
      rehearsal::SimulationOptions options;
      options.seed = static_cast<std::uint32_t>(first + at);
      options.instances = number(3, at % 2 ? 5 : 3);
      options.nodes = number(4, 6);
      options.proxies = number(5, 4);
      options.shard_digits = number(6, 1);
      options.fences = number(7, 1) != 0;
      rehearsal::SimulationResult one = rehearsal::Simulation(options).play();
      std::lock_guard lock(mutex);
      all.faults += one.faults;
      all.decisions += one.decisions;
      all.runs += one.runs;
      all.rejected += one.rejected;
      all.doubled += one.doubled;
      all.split_owners += one.split_owners;
      all.stale_acted += one.stale_acted;
      all.lost_entries += one.lost_entries;
      all.rejected_old_folders += one.rejected_old_folders;
      all.invalid_proposals += one.invalid_proposals;
      all.not_back += one.not_back;
      all.releases += one.releases;
      all.restarts += one.restarts;
      all.over += one.over;
      all.unpermitted += one.unpermitted;
      all.bad_finished += one.bad_finished;
      if (one.violations() > 0 && ++broken <= 20) std::printf("%s\n", one.first.c_str());
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1u, std::thread::hardware_concurrency()); ++i) threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
  std::printf(
      "measured agreement_sim seeds=%d broken=%d faults=%d decisions=%llu runs=%llu denied=%llu doubled=%d "
      "split_owners=%d "
      "stale_acted=%d lost_entries=%d wrong_drafts=%d not_back=%d refused_folders=%d releases=%d restarts=%d "
      "over=%d unpermitted=%d "
      "bad_finished=%d\n",
      seeds, broken, all.faults, static_cast<unsigned long long>(all.decisions),
      static_cast<unsigned long long>(all.runs), static_cast<unsigned long long>(all.rejected), all.doubled,
      all.split_owners, all.stale_acted, all.lost_entries, all.invalid_proposals, all.not_back,
      all.rejected_old_folders, all.releases, all.restarts, all.over, all.unpermitted, all.bad_finished);
  return broken > 0;
}
