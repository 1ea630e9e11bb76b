// The simulated disks, transports, control replicas, servers, proxies and keyed requests. Internal to
// Simulation; everything runs on the thread that calls play().
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "agreement_world.h"

namespace myrtlecroft::rehearsal {

using agreement::ControlReplica;
using fencing::FencingGuard;
using fencing::ShardAssignment;

inline constexpr Nanos kTick = 25 * kMs;  // of a replica
inline constexpr Nanos kReportInterval = 250 * kMs;
inline constexpr Nanos kRequestTimeout = 500 * kMs;  // client timeout of a request
inline constexpr Nanos kStreamTimeout = 300 * kMs;   // a stream breaks when its link is cut for longer
inline constexpr Nanos kMaxAnswerAge =
    1000 * kMs;  // servers ignore restart orders that answer an older report
inline constexpr Nanos kCancelledRestartGrace = 3000 * kMs;  // a server may still act on a cancelled restart
inline constexpr Nanos kUnixStart = 1'700'000'000 * kSecond;

// Simulated Raft storage. Completed writes survive a crash of the process; pending writes are lost.
struct Simulation::Disk final : consensus::RaftStorage {
  explicit Disk(Simulation& of) : world(of) {}
  consensus::PersistentState load() override {
    ++incarnation;  // discards pending writes of the previous process
    failed = false;
    return durable_state;
  }
  bool is_writable() const override { return !has_write_fault; }
  bool save_vote(std::uint64_t term, consensus::ReplicaId voted_for) override {
    failed = failed || has_write_fault;
    if (failed) return false;
    durable_state.term = term;
    durable_state.voted_for = voted_for;
    return true;
  }
  void append(std::uint64_t first, std::vector<consensus::LogEntry> entries, WriteCallback done) override {
    write(std::move(done), [this, first, entries = std::move(entries)] {
      durable_state.entries.resize(static_cast<std::size_t>(first - durable_state.first));
      durable_state.entries.insert(durable_state.entries.end(), entries.begin(), entries.end());
    });
  }
  void truncate(std::uint64_t from) override {
    write({}, [this, from] {
      if (from - durable_state.first < durable_state.entries.size())
        durable_state.entries.resize(static_cast<std::size_t>(from - durable_state.first));
    });
  }
  void save_snapshot(const consensus::LogSnapshot& snapshot, std::uint64_t first_retained,
                     WriteCallback done) override {
    write(std::move(done), [this, snapshot, first_retained] {
      durable_state.snapshot = snapshot;
      std::uint64_t drop = first_retained > durable_state.first ? first_retained - durable_state.first : 0;
      std::size_t count = std::min<std::size_t>(drop, durable_state.entries.size());
      durable_state.entries.erase(durable_state.entries.begin(),
                                  durable_state.entries.begin() + static_cast<long>(count));
      durable_state.first = std::max(durable_state.first, first_retained);
    });
  }
  void replace(const consensus::PersistentState& state) override { durable_state = state; }

  // Completes writes in order after a random delay; drops those of a process that has ended.
  void write(WriteCallback done, std::function<void()> apply) {
    busy_until = std::max(busy_until, world.now_) + world.draw_duration(kMs / 5, 4 * kMs);
    world.schedule(busy_until - world.now_,
                   [this, incarnation = incarnation, done = std::move(done), apply = std::move(apply)] {
                     if (incarnation != this->incarnation) return;
                     failed = failed || has_write_fault;
                     if (!failed) apply();
                     if (done) done(!failed);
                   });
  }

  Simulation& world;
  consensus::PersistentState durable_state;
  consensus::PersistentState old_state;
  bool has_write_fault = false;
  bool failed = false;  // a write has failed since the last load
  int incarnation = 0;
  Nanos busy_until = 0;
};

// Sends Raft messages over the simulated network.
struct Simulation::ReplicaTransport final : consensus::Transport {
  ReplicaTransport(Simulation& of, int from_place) : world(of), from(from_place) {}
  void send(const consensus::PeerMessage& message, const std::string&) override;
  Simulation& world;
  int from;
};

// A control service replica with its disk, transport and proxy streams.
struct Simulation::Replica {
  struct Stream {
    int number = 0;
    std::uint64_t applied_publication = 0;
    std::uint64_t sent_publication = 0;
    bool sent_all_closed = false;
  };
  int place = 0;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<ReplicaTransport> transport;
  std::unique_ptr<releases::RolloutController> rollout_controller;
  std::unique_ptr<ControlReplica> instance;  // null: the process has crashed
  Nanos paused_until = 0;
  Nanos clock_offset = 0;  // of its clock against the virtual time
  int incarnation = 0;
  Nanos started_at = 0;
  bool retired = false;                                   // it detected an old folder and was removed
  std::vector<std::function<void()>> delayed_deliveries;  // messages received while paused
  std::map<int, Stream> streams;                          // by the proxy's network place
  std::map<std::string, std::uint64_t> departed_proxies;  // last publication number, by proxy
};

// A server that executes keyed requests.
struct Simulation::Server {
  int place = 0;
  std::string name;
  std::uint64_t incarnation = 1;
  bool alive = true;
  bool has_store = false;
  std::uint64_t sequence = 0;
  FencingGuard fencing_guard;
  fencing::Epoch highest_epoch;
  std::set<std::uint64_t> executed_requests;
  std::uint32_t version = 1;
  bool out_for_restart = false;  // restarted on an order and not yet warmed up
  Nanos warm_until = 0;
  std::uint64_t completed_in_time = 0;
};

// A proxy that routes requests by the publication it received last.
struct Simulation::Proxy {
  int place = 0;
  std::string id;
  std::shared_ptr<const routing::PublishedSnapshot> publication;
  bool closed = true;
  int connected_replica = -1;  // network place; -1: not connected
  int stream = 0;
  Nanos cut_since = 0;
};

// A request with an idempotency key, and the places of the servers that executed it.
struct Simulation::KeyedRequest {
  std::uint64_t number = 0;
  std::string key;
  Nanos created_at = 0;
  std::vector<int> executing_servers;
};

}  // namespace myrtlecroft::rehearsal
