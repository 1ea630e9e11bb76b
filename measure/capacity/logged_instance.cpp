#include "logged_instance.h"

#include <stdexcept>
#include <utility>

#include "cost.h"

namespace myrtlecroft::capacity {
namespace {

constexpr Nanos kBetweenDecisions = 600 * kMs;  // longer than the longest interval of a replica between two decisions
constexpr int kDecisionsToSettle = 3;           // a new leader first continues from the committed state
constexpr consensus::ReplicaId kId = 1;
constexpr double kMaxSeconds = 30;  // limit of each wait

agreement::ReplicaOptions terms_of(unsigned snapshot_threshold) {
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
  kept_.term = term;
  kept_.voted_for = voted_for;
  return true;
}

void MemoryLog::append(std::uint64_t, std::vector<consensus::LogEntry> entries, WriteCallback done) {
  last_entry_ = std::move(*entries.back().mutable_data());
  due_.push_back(std::move(done));
}

void MemoryLog::save_snapshot(const consensus::LogSnapshot&, std::uint64_t, WriteCallback done) {
  due_.push_back(std::move(done));
}

void MemoryLog::deliver() {
  while (!due_.empty()) {
    WriteCallback done = std::move(due_.front());
    due_.pop_front();
    if (done) done(true);
  }
}

void begin_log(consensus::RaftStorage& log) {
  consensus::Server server;
  server.set_id(kId);
  server.set_address("alone");
  server.set_role(RAFT_VOTER);
  consensus::RaftNode::bootstrap(log, {server});
}

LoggedInstance::LoggedInstance(fleet::Fleet fleet, consensus::RaftStorage& log, std::function<void()> deliver,
                               unsigned snapshot_threshold)
    : deliver_(std::move(deliver)),
      servers_(fleet),
      instance_(
          terms_of(snapshot_threshold), log, wire_, std::move(fleet), true, [this] { return now_; }, 1,
          [](const std::string&) {}) {
  servers_.connect(instance_.router(), now_);
  instance_.start();
}

void LoggedInstance::wait_for(const std::function<bool()>& over, const char* what) {
  double begin = wall_seconds();
  while (!over()) {
    deliver_();
    if (wall_seconds() - begin > kMaxSeconds) throw std::runtime_error(std::string("timed out waiting for: ") + what);
  }
}

void LoggedInstance::begin() {
  auto all_in_service = [&] {
    return instance_.published() && servers_in_service(instance_.published()->snapshot) == servers_.size();
  };
  auto step = [&] {
    now_ += kBetweenDecisions;
    servers_.report(instance_.router(), now_);
    instance_.tick();
    return all_in_service();
  };
  wait_for(step, "all servers in service");
  for (int i = 0; i < kDecisionsToSettle; ++i) decide_ms();
}

void LoggedInstance::start_again(std::uint64_t decisions) {
  auto in_force = [&] {
    now_ += kMs;
    instance_.tick();
    return this->decisions() >= decisions && instance_.published() != nullptr;
  };
  wait_for(in_force, "the decisions in the log");
}

double LoggedInstance::decide_ms() {
  now_ += kBetweenDecisions;
  servers_.report(instance_.router(), now_);
  std::uint64_t before = decisions();
  return cpu_ms_of([&] {
    instance_.tick();
    wait_for([&] { return decisions() > before; }, "a decision to be applied");
  });
}

}  // namespace myrtlecroft::capacity
