#include "rig_instances.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <exception>
#include <filesystem>
#include <map>

#include "control/admin_client.h"
#include "net/address.h"

namespace myrtlecroft::rehearsal {
namespace {

using standin::loopback_address;

constexpr Nanos kMinMissedPause = 600 * kMs;  // a leader paused for a shorter time is not replaced
constexpr const char* kDecidingLine = " deciding, term ";  // logged by an instance that becomes leader
constexpr int kRecoveryRounds = 40;
constexpr Nanos kRecoveryRoundInterval = 25 * kMs;

std::string name_of(int instance) { return "instance " + std::to_string(instance + 1); }

}  // namespace

RigInstances::RigInstances(RigContext& context) : context_(context) {
  const int count = context.incident().instances;
  fleet_ = std::make_unique<standin::ControlCluster>(
      standin::ControlClusterOptions{.folder = context.folder(),
                                     .fleet = context.file("fleet.conf"),
                                     .instances = count,
                                     .replicated = context.options().replicated,
                                     .more = {}},
      context.ports());
  for (int i = 0; i < count; ++i) {
    Instance& instance = instances_.emplace_back();
    instance.log = std::make_unique<LogTail>(fleet_->log(i));
    std::string& address_overrides = (*fleet_)[i].address_overrides;
    for (int other = 0; other < count; ++other) {
      instance.peers.push_back(std::make_unique<standin::Relay>(
          context.loop(), static_cast<std::uint16_t>((*fleet_)[other].peer)));
      if (other == i) continue;
      address_overrides += (address_overrides.empty() ? "" : ",") + std::to_string(other + 1) + "=" +
                           loopback_address(instance.peers.back()->port());
    }
  }
}

void RigInstances::start_all() {
  for (int i = 0; i < context_.incident().instances; ++i)
    start(i, standin::ControlCluster::Start::kFirstStart);
}

void RigInstances::start(int instance, standin::ControlCluster::Start mode) {
  fleet_->start(instance, mode);
  instances_[static_cast<std::size_t>(instance)].paused = false;
}

void RigInstances::close() {
  fleet_.reset();
  instances_.clear();
}

std::vector<int> RigInstances::admin_ports() const {
  std::vector<int> out;
  for (const auto& replica : fleet_->all()) out.push_back(replica.admin);
  return out;
}

std::vector<int> RigInstances::report_ports() const {
  std::vector<int> out;
  for (const auto& replica : fleet_->all()) out.push_back(replica.reports);
  return out;
}

bool RigInstances::can_fail(int instance) {
  return (*fleet_)[instance].process.pid() > 0 && !instances_[static_cast<std::size_t>(instance)].paused;
}

void RigInstances::note_leader_failure(int instance) {
  if (instance == leader_ && leader_failed_at_ == 0) leader_failed_at_ = context_.now();
}

void RigInstances::kill(int instance, Nanos length) {
  if (!can_fail(instance)) return;
  standin::ChildProcess& process = (*fleet_)[instance].process;
  note_leader_failure(instance);
  process.end(SIGKILL);
  context_.schedule(length, [this, instance, &process] {
    if (process.pid() <= 0) start(instance, standin::ControlCluster::Start::kRestart);
  });
}

void RigInstances::kill_and_remove_folder(int instance, Nanos length) {
  if (!can_fail(instance)) return;
  kill(instance, length);
  std::filesystem::remove_all(fleet_->state(instance));
  instances_[static_cast<std::size_t>(instance)].folder_lost = true;
}

void RigInstances::pause(int instance, Nanos length) {
  if (!can_fail(instance)) return;
  Instance& paused = instances_[static_cast<std::size_t>(instance)];
  standin::ChildProcess& process = (*fleet_)[instance].process;
  note_leader_failure(instance);
  paused.paused = true;
  process.signal(SIGSTOP);
  context_.schedule(length, [this, &paused, &process, instance, length] {
    process.signal(SIGCONT);
    paused.paused = false;
    if (leader_ == instance && length < kMinMissedPause) leader_failed_at_ = 0;
  });
}

void RigInstances::kill_at_sync(int instance, const Step& step) {
  if (!can_fail(instance)) return;
  (*fleet_)[instance].faults->crash_after_syncs(step.count);
  // The kill happens when the instance reaches that sync; another one may lead by then.
  context_.schedule(step.length, [this, instance] {
    if (!fleet_->restart_if_crashed(instance)) return;
    note_leader_failure(instance);
    instances_[static_cast<std::size_t>(instance)].paused = false;
  });
}

void RigInstances::inject_process_fault(int instance, const Step& step) {
  if (step.fault == Fault::kKillAtSync) {
    kill_at_sync(instance, step);
    return;
  }
  const standin::FaultFile& faults = *(*fleet_)[instance].faults;
  if (step.fault == Fault::kDiskFails) faults->sync_error = EIO;
  if (step.fault == Fault::kDiskFull) faults->write_error = ENOSPC;
  if (step.fault == Fault::kDiskSlow) faults->sync_delay_ns = step.by;
  if (step.fault == Fault::kClock) faults->wall_clock_offset_ns = step.by;
  bool ends_leadership = step.fault == Fault::kDiskFails || step.fault == Fault::kDiskFull;
  if (ends_leadership) note_leader_failure(instance);
  context_.schedule(step.length, [this, &faults, ends_leadership, instance, length = step.length] {
    if (ends_leadership && leader_ == instance && length < kMinMissedPause) leader_failed_at_ = 0;
    faults->sync_error = 0;
    faults->write_error = 0;
    faults->sync_delay_ns = 0;
    faults->wall_clock_offset_ns = 0;
  });
}

void RigInstances::heal_links() {
  for (Instance& instance : instances_) {
    for (auto& relay : instance.peers) relay->clear_faults();
  }
}

void RigInstances::check_exits() {
  for (int i = 0; i < fleet_->size(); ++i) {
    standin::ControlCluster::ReplicaProcess& replica = (*fleet_)[i];
    if (replica.process.pid() <= 0 || !replica.process.has_exited()) continue;
    // An instance without its folder refuses to start, as intended.
    bool expected = replica.faults->crash_begun() || instances_[static_cast<std::size_t>(i)].folder_lost;
    if (expected) continue;
    context_.record_violation(&RigViolations::crashes, name_of(i) + " exited by itself with code " +
                                                           std::to_string(replica.process.code()));
  }
}

void RigInstances::check_logs() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    instances_[i].log->for_each_new_line([&](const std::string& line) {
      if (line.find(kDecidingLine) != std::string::npos) handle_leader_change(static_cast<int>(i));
    });
  }
}

void RigInstances::handle_leader_change(int instance) {
  leader_ = instance;
  context_.record_event(name_of(instance) + " decides");
  if (leader_failed_at_ == 0) return;
  failovers_ms_.push_back(static_cast<double>(context_.now() - leader_failed_at_) / 1e6);
  leader_failed_at_ = 0;
}

RigFailovers RigInstances::failovers() const {
  std::vector<double> sorted = failovers_ms_;
  std::sort(sorted.begin(), sorted.end());
  auto quantile = [&](double share) {
    if (sorted.empty()) return 0.0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
  };
  return {.count = static_cast<int>(sorted.size()), .p50_ms = quantile(0.5), .p99_ms = quantile(0.99)};
}

struct RigInstances::RecoveryCheck {
  std::map<std::uint64_t, std::string> digests;  // digests of the agreed state, by epoch
  std::uint64_t highest_epoch = 0;               // highest epoch seen in the first round
};

void RigInstances::check_recovered() {
  RecoveryCheck check;
  for (int round = 0; round < kRecoveryRounds; ++round) {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      // An instance without its folder refuses to start, as intended: an operator would add a new one.
      if (instances_[i].folder_lost) continue;
      check_instance(static_cast<int>(i), round, check);
    }
    // Runs the loop, so that the relays keep forwarding.
    Nanos until = context_.now() + kRecoveryRoundInterval;
    context_.wait_for([&] { return context_.now() > until; }, kSecond);
  }
}

void RigInstances::check_instance(int instance, int round, RecoveryCheck& check) {
  bool first_round = round == 0;
  control::AdminAnswer answer;
  try {
    auto port = static_cast<std::uint16_t>((*fleet_)[instance].admin);
    answer = control::AdminClient(net::loopback(port)).call("instances");
  } catch (const std::exception& error) {
    if (first_round)
      context_.record_violation(&RigViolations::not_recovered, name_of(instance) + ": " + error.what());
    return;
  }
  if (first_round && (!answer.in_touch() || answer.leader() == 0))
    context_.record_violation(&RigViolations::not_recovered, name_of(instance) + " has no quorum");
  auto [entry, inserted] = check.digests.emplace(answer.epoch(), answer.digest());
  if (!inserted && entry->second != answer.digest())
    context_.record_violation(&RigViolations::lost_entries,
                              "two states with epoch " + std::to_string(answer.epoch()));
  if (first_round) check.highest_epoch = std::max(check.highest_epoch, answer.epoch());
  if (round == kRecoveryRounds - 1 && answer.epoch() < check.highest_epoch)
    context_.record_violation(&RigViolations::lost_entries, name_of(instance) + " lacks agreed entries");
}

}  // namespace myrtlecroft::rehearsal
