#include "logged_instance.h"

#include <stdexcept>
#include <utility>

#include "cost.h"

namespace myrtlecroft::capacity {
namespace {

// Longer than the longest interval of a replica between two decisions.
constexpr Nanos kDecisionInterval = 600 * kMs;
constexpr int kDecisionsToSettle = 3;  // a new leader first continues from the committed state
constexpr consensus::ReplicaId kId = 1;
constexpr double kWaitLimitSeconds = 30;  // limit of each wait

agreement::ReplicaOptions replica_options(unsigned snapshot_threshold) {
  agreement::ReplicaOptions out;
  out.id = kId;
  out.address = "alone";
  out.raft.fleet = "capacity";
  out.raft.snapshot_threshold = snapshot_threshold;
  out.raft.snapshot_trailing = snapshot_threshold / 2;
  return out;
}

}  // namespace

bool MemoryLog::save_vote(std::uint64_t term, consensus::ReplicaId voted_for) {
  state_.term = term;
  state_.voted_for = voted_for;
  return true;
}

void MemoryLog::append(std::uint64_t, std::vector<consensus::LogEntry> entries, WriteCallback done) {
  last_entry_ = std::move(*entries.back().mutable_data());
  pending_callbacks_.push_back(std::move(done));
}

void MemoryLog::save_snapshot(const consensus::LogSnapshot&, std::uint64_t, WriteCallback done) {
  pending_callbacks_.push_back(std::move(done));
}

void MemoryLog::complete_writes() {
  while (!pending_callbacks_.empty()) {
    WriteCallback done = std::move(pending_callbacks_.front());
    pending_callbacks_.pop_front();
    if (done) done(true);
  }
}

void bootstrap_log(consensus::RaftStorage& log) {
  consensus::Server server;
  server.set_id(kId);
  server.set_address("alone");
  server.set_role(RAFT_VOTER);
  consensus::RaftNode::bootstrap(log, {server});
}

LoggedInstance::LoggedInstance(fleet::Fleet fleet, consensus::RaftStorage& log,
                               std::function<void()> complete_writes, unsigned snapshot_threshold)
    : complete_writes_(std::move(complete_writes)),
      servers_(fleet),
      replica_(
          replica_options(snapshot_threshold), log, transport_, std::move(fleet), true,
          [this] { return now_; }, 1, [](const std::string&) {}) {
  servers_.connect(replica_.router(), now_);
  replica_.start();
}

void LoggedInstance::wait_for(const std::function<bool()>& condition, const char* what) {
  double begin = wall_seconds();
  while (!condition()) {
    complete_writes_();
    if (wall_seconds() - begin > kWaitLimitSeconds)
      throw std::runtime_error(std::string("timed out waiting for: ") + what);
  }
}

void LoggedInstance::start() {
  auto all_in_service = [&] {
    return replica_.published() && count_healthy_servers(replica_.published()->snapshot) == servers_.size();
  };
  auto step = [&] {
    now_ += kDecisionInterval;
    servers_.report(replica_.router(), now_);
    replica_.tick();
    return all_in_service();
  };
  wait_for(step, "all servers in service");
  for (int i = 0; i < kDecisionsToSettle; ++i) measure_decision_ms();
}

void LoggedInstance::restart(std::uint64_t expected_decisions) {
  auto in_force = [&] {
    now_ += kMs;
    replica_.tick();
    return this->committed_decisions() >= expected_decisions && replica_.published() != nullptr;
  };
  wait_for(in_force, "the decisions in the log");
}

double LoggedInstance::measure_decision_ms() {
  now_ += kDecisionInterval;
  servers_.report(replica_.router(), now_);
  std::uint64_t before = committed_decisions();
  return measure_cpu_ms([&] {
    replica_.tick();
    wait_for([&] { return committed_decisions() > before; }, "a decision to be applied");
  });
}

}  // namespace myrtlecroft::capacity
