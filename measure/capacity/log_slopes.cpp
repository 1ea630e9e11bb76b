#include "log_slopes.h"

#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <thread>

#include "consensus/store_raft_storage.h"
#include "cost.h"
#include "generated_fleet.h"
#include "logged_instance.h"
#include "sweep.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kRepeats = 3;
constexpr unsigned kNoSnapshotThreshold = 1'000'000;  // entries; no snapshot while decisions are measured
constexpr unsigned kSnapshotThreshold = 8;            // entries; a restart finds a snapshot and later entries
constexpr int kDecisionsBeforeRestart = 10;
constexpr int kAppends = 30;                // sequential
constexpr int kBatch = 64;                  // entries in one append
constexpr int kServersOfOtherSweeps = 500;  // in sweeps of other variables

Nanos steady_now() { return static_cast<Nanos>(wall_seconds() * 1e9); }

// ---- Decisions, with the log in memory

struct DecisionCost {
  std::vector<double> total_ms;  // decide, encode, commit and apply
  std::vector<double> apply_ms;  // the part that every replica does: applying the entry
  std::vector<double> bytes;     // size of the entry
};

double measure_apply_ms(const std::string& log_snapshot, const std::string& entry) {
  agreement::ReplicatedState state;
  if (!state.restore(log_snapshot)) throw std::runtime_error("the replicated state rejected a snapshot");
  agreement::ApplyResult result{};
  double cost = measure_cpu_ms([&] { result = state.apply(entry); });
  if (result != agreement::ApplyResult::kApplied) throw std::runtime_error(name_of(result));
  return cost;
}

enum class ExpectedChange { kNone, kPublished };

DecisionCost measure_decisions(LoggedInstance& leader, MemoryLog& log, ExpectedChange change,
                               const std::function<void(int)>& before_each) {
  DecisionCost out;
  for (int i = 0; i < kRepeats; ++i) {
    before_each(i);
    std::string log_snapshot = leader.replica().snapshot();
    std::uint64_t published = leader.published();
    out.total_ms.push_back(leader.measure_decision_ms());
    if ((leader.published() != published) != (change == ExpectedChange::kPublished))
      throw std::runtime_error("a decision published a snapshot unexpectedly, or did not publish one");
    out.apply_ms.push_back(measure_apply_ms(log_snapshot, log.last_entry()));
    out.bytes.push_back(static_cast<double>(log.last_entry().size()));
  }
  return out;
}

void add_decisions(const SweepPoint& point, const std::string& what, DecisionCost cost) {
  point.add("log_decision_" + what, "ms", std::move(cost.total_ms));
  point.add("log_apply_" + what, "ms", std::move(cost.apply_ms));
  point.add("log_entry_" + what, "B", std::move(cost.bytes));
}

void add_snapshot_costs(const SweepPoint& point, const agreement::ControlReplica& replica) {
  std::vector<double> create_ms;
  std::vector<double> restore_ms;
  std::string log_snapshot;
  for (int i = 0; i < kRepeats; ++i) {
    create_ms.push_back(measure_cpu_ms([&] { log_snapshot = replica.snapshot(); }));
    agreement::ReplicatedState state;
    restore_ms.push_back(measure_cpu_ms([&] { state.restore(log_snapshot); }));
  }
  point.add("log_image", "B", {static_cast<double>(log_snapshot.size())});
  point.add("log_image_make", "ms", std::move(create_ms));
  point.add("log_image_load", "ms", std::move(restore_ms));
}

void measure_logged_decisions(fleet::Fleet fleet, const SweepPoint& point) {
  MemoryLog log;
  bootstrap_log(log);
  LoggedInstance leader(
      std::move(fleet), log, [&] { log.complete_writes(); }, kNoSnapshotThreshold);
  leader.start();
  add_decisions(point, "at_rest", measure_decisions(leader, log, ExpectedChange::kNone, [](int) {}));
  add_decisions(point, "one_leaving", measure_decisions(leader, log, ExpectedChange::kPublished, [&](int i) {
                  leader.start_draining(i);
                }));
  add_snapshot_costs(point, leader.replica());
}

// ---- Log storage and a restart from it

void run_completed_writes(consensus::StoreRaftStorage& log) {
  log.run_completions();
  std::this_thread::sleep_for(std::chrono::microseconds(50));
}

// Restarts an instance from its folder, which contains a log snapshot and later entries.
void measure_restart(const fleet::Fleet& fleet, const SweepPoint& point) {
  TemporaryFolder folder;
  std::uint64_t committed = 0;
  {
    consensus::StoreRaftStorage log(folder.path().string(), steady_now, [] {});
    bootstrap_log(log);
    LoggedInstance leader(
        fleet, log, [&] { run_completed_writes(log); }, kSnapshotThreshold);
    leader.start();
    for (int i = 0; i < kDecisionsBeforeRestart; ++i) {
      leader.start_draining(i);
      leader.measure_decision_ms();
    }
    committed = leader.committed_decisions();
  }
  std::vector<double> cpu;
  std::vector<double> wall;
  for (int i = 0; i < kRepeats; ++i) {
    double begin = wall_seconds();
    cpu.push_back(measure_cpu_ms([&] {
      consensus::StoreRaftStorage log(folder.path().string(), steady_now, [] {});
      LoggedInstance restarted(
          fleet, log, [&] { run_completed_writes(log); }, kSnapshotThreshold);
      restarted.restart(committed);
      wall.push_back((wall_seconds() - begin) * 1e3);
    }));
  }
  point.add("log_start", "ms", std::move(cpu));
  point.add("log_start_wall", "ms", std::move(wall));
}

consensus::LogEntry make_entry(int bytes) {
  consensus::LogEntry out;
  out.set_term(1);
  out.set_type(RAFT_COMMAND);
  out.set_data(std::string(static_cast<std::size_t>(bytes), 'x'));
  return out;
}

// Appends `count` entries at once and returns the wall time in ms until all of them are durable.
double append_wall_ms(consensus::StoreRaftStorage& log, std::uint64_t& next, int bytes, int count) {
  std::vector<consensus::LogEntry> entries(static_cast<std::size_t>(count), make_entry(bytes));
  bool completed = false;
  bool all_durable = false;
  double begin = wall_seconds();
  log.append(next, std::move(entries), [&](bool durable) {
    completed = true;
    all_durable = durable;
  });
  next += static_cast<std::uint64_t>(count);
  while (!completed) run_completed_writes(log);
  if (!all_durable) throw std::runtime_error("a log entry was not made durable");
  return (wall_seconds() - begin) * 1e3;
}

void sweep_entry_bytes(SlopeReport& slope_report) {
  for (int bytes : {100, 4'000, 64'000, 512'000}) {
    TemporaryFolder folder;
    consensus::StoreRaftStorage log(folder.path().string(), steady_now, [] {});
    bootstrap_log(log);
    std::uint64_t next = 2;
    std::vector<double> single;
    std::vector<double> batch;
    for (int i = 0; i < kAppends; ++i) single.push_back(append_wall_ms(log, next, bytes, 1));
    for (int i = 0; i < kRepeats; ++i)
      batch.push_back(kBatch * 1e3 / append_wall_ms(log, next, bytes, kBatch));
    SweepPoint point{slope_report, "entry_bytes", static_cast<double>(bytes), 0};
    point.add("log_append_wall", "ms", std::move(single));
    point.add("log_appends_a_second_of_64_at_once_wall", "1/s", std::move(batch));
  }
}

// ---- One sweep for each variable

void sweep_servers(const LogOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"servers", {500, 1000, 2000, 6100}, options.max_seconds};
  auto make_fleet = [&](int servers) {
    return generate_fleet({.servers = servers, .subset_size = options.subset_size});
  };
  run_sweep(sweep, make_fleet, [&](int servers, fleet::Fleet fleet) {
    SweepPoint point{slope_report, sweep.by, static_cast<double>(servers), kPlannedServers};
    measure_restart(fleet, point);
    measure_logged_decisions(std::move(fleet), point);
  });
}

// Varies how many servers leave in one decision.
void sweep_servers_leaving(const LogOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"servers_leaving", {1, 4, 16, 40}, options.max_seconds};
  auto make_fleet = [&](int) {
    return generate_fleet({.servers = kServersOfOtherSweeps, .subset_size = options.subset_size});
  };
  run_sweep(sweep, make_fleet, [&](int leaving, fleet::Fleet fleet) {
    MemoryLog log;
    bootstrap_log(log);
    LoggedInstance leader(
        std::move(fleet), log, [&] { log.complete_writes(); }, kNoSnapshotThreshold);
    leader.start();
    auto start_draining = [&](int round) {
      for (int i = 0; i < leaving; ++i) leader.start_draining(round * leaving + i);
    };
    add_decisions({slope_report, sweep.by, static_cast<double>(leaving), 0}, "leaving",
                  measure_decisions(leader, log, ExpectedChange::kPublished, start_draining));
  });
}

// The replicated state supports 16, 256 or 4,096 shards: three sizes are too few
// for a slope, so single figures are printed.
void measure_key_shards(const LogOptions& options) {
  for (int shards : {16, 256, 4096}) {
    SlopeReport slope_report;
    measure_logged_decisions(
        generate_fleet_with_shards({.servers = kServersOfOtherSweeps, .subset_size = options.subset_size},
                                   shards),
        {slope_report, "key_shards", static_cast<double>(shards), 0});
    std::string where =
        "servers=" + std::to_string(kServersOfOtherSweeps) + " key_shards=" + std::to_string(shards);
    for (const Slope& slope : slope_report.slopes()) {
      std::printf("%s\n", format_figure(slope.name, where, slope.unit, slope.points.front().cost).c_str());
    }
  }
}

}  // namespace

void measure_log_slopes(const LogOptions& options, SlopeReport& slope_report) {
  sweep_servers(options, slope_report);
  sweep_servers_leaving(options, slope_report);
  measure_key_shards(options);
  sweep_entry_bytes(slope_report);
}

}  // namespace myrtlecroft::capacity
