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
constexpr unsigned kRareSnapshots = 1'000'000;  // entries; no snapshot while decisions are measured
constexpr unsigned kSnapshotAfter = 8;          // entries; a restart finds a snapshot and later entries
constexpr int kDecisionsBeforeStart = 10;
constexpr int kAppends = 30;           // sequential
constexpr int kBatch = 64;             // entries in one append
constexpr int kServersOfOthers = 500;  // in sweeps of other variables

Nanos steady() { return static_cast<Nanos>(wall_seconds() * 1e9); }

// ---- Decisions, with the log in memory

struct DecisionCost {
  std::vector<double> whole_ms;  // decide, encode, commit and apply
  std::vector<double> apply_ms;  // the part that every replica does: applying the entry
  std::vector<double> bytes;     // size of the entry
};

double apply_ms(const std::string& image, const std::string& entry) {
  agreement::ReplicatedState state;
  if (!state.restore(image)) throw std::runtime_error("the replicated state rejected a snapshot");
  agreement::ApplyResult verdict{};
  double cost = cpu_ms_of([&] { verdict = state.apply(entry); });
  if (verdict != agreement::ApplyResult::kApplied) throw std::runtime_error(name_of(verdict));
  return cost;
}

enum class Change { kNone, kPublished };

DecisionCost decisions(LoggedInstance& leader, MemoryLog& log, Change change,
                       const std::function<void(int)>& before_each) {
  DecisionCost out;
  for (int i = 0; i < kRepeats; ++i) {
    before_each(i);
    std::string image = leader.instance().snapshot();
    std::uint64_t published = leader.published();
    out.whole_ms.push_back(leader.decide_ms());
    if ((leader.published() != published) != (change == Change::kPublished))
      throw std::runtime_error("a decision published a snapshot unexpectedly, or did not publish one");
    out.apply_ms.push_back(apply_ms(image, log.last_entry()));
    out.bytes.push_back(static_cast<double>(log.last_entry().size()));
  }
  return out;
}

void add_decisions(const At& at, const std::string& what, DecisionCost cost) {
  at.add("log_decision_" + what, "ms", std::move(cost.whole_ms));
  at.add("log_apply_" + what, "ms", std::move(cost.apply_ms));
  at.add("log_entry_" + what, "B", std::move(cost.bytes));
}

void add_image(const At& at, const agreement::ControlReplica& instance) {
  std::vector<double> make;
  std::vector<double> load;
  std::string image;
  for (int i = 0; i < kRepeats; ++i) {
    make.push_back(cpu_ms_of([&] { image = instance.snapshot(); }));
    agreement::ReplicatedState state;
    load.push_back(cpu_ms_of([&] { state.restore(image); }));
  }
  at.add("log_image", "B", {static_cast<double>(image.size())});
  at.add("log_image_make", "ms", std::move(make));
  at.add("log_image_load", "ms", std::move(load));
}

void through_the_log(fleet::Fleet fleet, const At& at) {
  MemoryLog log;
  begin_log(log);
  LoggedInstance leader(
      std::move(fleet), log, [&] { log.deliver(); }, kRareSnapshots);
  leader.begin();
  add_decisions(at, "at_rest", decisions(leader, log, Change::kNone, [](int) {}));
  add_decisions(at, "one_leaving",
                decisions(leader, log, Change::kPublished, [&](int i) { leader.leave(i); }));
  add_image(at, leader.instance());
}

// ---- Log storage and a restart from it

void take_what_is_done(consensus::StoreRaftStorage& log) {
  log.run_completions();
  std::this_thread::sleep_for(std::chrono::microseconds(50));
}

// Restarts an instance from its folder, which contains a log snapshot and later entries.
void start_from_folder(const fleet::Fleet& fleet, const At& at) {
  TemporaryFolder folder;
  std::uint64_t decided = 0;
  {
    consensus::StoreRaftStorage log(folder.path().string(), steady, [] {});
    begin_log(log);
    LoggedInstance leader(
        fleet, log, [&] { take_what_is_done(log); }, kSnapshotAfter);
    leader.begin();
    for (int i = 0; i < kDecisionsBeforeStart; ++i) {
      leader.leave(i);
      leader.decide_ms();
    }
    decided = leader.decisions();
  }
  std::vector<double> cpu;
  std::vector<double> wall;
  for (int i = 0; i < kRepeats; ++i) {
    double begin = wall_seconds();
    cpu.push_back(cpu_ms_of([&] {
      consensus::StoreRaftStorage log(folder.path().string(), steady, [] {});
      LoggedInstance again(
          fleet, log, [&] { take_what_is_done(log); }, kSnapshotAfter);
      again.start_again(decided);
      wall.push_back((wall_seconds() - begin) * 1e3);
    }));
  }
  at.add("log_start", "ms", std::move(cpu));
  at.add("log_start_wall", "ms", std::move(wall));
}

consensus::LogEntry entry_of(int bytes) {
  consensus::LogEntry out;
  out.set_term(1);
  out.set_type(RAFT_COMMAND);
  out.set_data(std::string(static_cast<std::size_t>(bytes), 'x'));
  return out;
}

// Appends `count` entries at once and returns the wall time in ms until all of them are durable.
double append_wall_ms(consensus::StoreRaftStorage& log, std::uint64_t& next, int bytes, int count) {
  std::vector<consensus::LogEntry> entries(static_cast<std::size_t>(count), entry_of(bytes));
  bool over = false;
  bool kept = false;
  double begin = wall_seconds();
  log.append(next, std::move(entries), [&](bool durable) {
    over = true;
    kept = durable;
  });
  next += static_cast<std::uint64_t>(count);
  while (!over) take_what_is_done(log);
  if (!kept) throw std::runtime_error("a log entry was not made durable");
  return (wall_seconds() - begin) * 1e3;
}

void by_entry_bytes(SlopeReport& slope_report) {
  for (int bytes : {100, 4'000, 64'000, 512'000}) {
    TemporaryFolder folder;
    consensus::StoreRaftStorage log(folder.path().string(), steady, [] {});
    begin_log(log);
    std::uint64_t next = 2;
    std::vector<double> one;
    std::vector<double> batch;
    for (int i = 0; i < kAppends; ++i) one.push_back(append_wall_ms(log, next, bytes, 1));
    for (int i = 0; i < kRepeats; ++i)
      batch.push_back(kBatch * 1e3 / append_wall_ms(log, next, bytes, kBatch));
    At at{slope_report, "entry_bytes", static_cast<double>(bytes), 0};
    at.add("log_append_wall", "ms", std::move(one));
    at.add("log_appends_a_second_of_64_at_once_wall", "1/s", std::move(batch));
  }
}

// ---- One sweep for each variable

void by_servers(const LogOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"servers", {500, 1000, 2000, 6100}, options.max_seconds};
  auto fleet_of = [&](int servers) {
    return generated_fleet({.servers = servers, .subsetting = options.subsetting});
  };
  run(sweep, fleet_of, [&](int servers, fleet::Fleet fleet) {
    At at{slope_report, sweep.by, static_cast<double>(servers), kPlannedServers};
    start_from_folder(fleet, at);
    through_the_log(std::move(fleet), at);
  });
}

// Varies how many servers leave in one decision.
void by_servers_leaving(const LogOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"servers_leaving", {1, 4, 16, 40}, options.max_seconds};
  auto fleet_of = [&](int) {
    return generated_fleet({.servers = kServersOfOthers, .subsetting = options.subsetting});
  };
  run(sweep, fleet_of, [&](int draining, fleet::Fleet fleet) {
    MemoryLog log;
    begin_log(log);
    LoggedInstance leader(
        std::move(fleet), log, [&] { log.deliver(); }, kRareSnapshots);
    leader.begin();
    auto leave = [&](int round) {
      for (int i = 0; i < draining; ++i) leader.leave(round * draining + i);
    };
    add_decisions({slope_report, sweep.by, static_cast<double>(draining), 0}, "leaving",
                  decisions(leader, log, Change::kPublished, leave));
  });
}

// The replicated state supports 16, 256 or 4,096 shards: three sizes are too few for a slope, so single figures
// are printed.
void print_key_shards(const LogOptions& options) {
  for (int shards : {16, 256, 4096}) {
    SlopeReport slope_report;
    through_the_log(fleet_of_shards({.servers = kServersOfOthers, .subsetting = options.subsetting}, shards),
                    {slope_report, "key_shards", static_cast<double>(shards), 0});
    std::string where =
        "servers=" + std::to_string(kServersOfOthers) + " key_shards=" + std::to_string(shards);
    for (const Slope& slope : slope_report.slopes()) {
      std::printf("%s\n", format_figure(slope.name, where, slope.unit, slope.points.front().cost).c_str());
    }
  }
}

}  // namespace

void log_slopes(const LogOptions& options, SlopeReport& slope_report) {
  by_servers(options, slope_report);
  by_servers_leaving(options, slope_report);
  print_key_shards(options);
  by_entry_bytes(slope_report);
}

}  // namespace myrtlecroft::capacity
