// What stands in the simulated world: disks, links, control replicas, servers, proxies and keys. For the
// files of World only; everything runs on the thread that plays the world.
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

inline constexpr Nanos kTick = 25 * kMs;
inline constexpr Nanos kReportEvery = 250 * kMs;
inline constexpr Nanos kTimeout = 500 * kMs;        // of one request
inline constexpr Nanos kStreamTimeout = 300 * kMs;  // a stream ends when its link is cut for longer
inline constexpr Nanos kMaxAnswerAge = 1000 * kMs;  // of an answer that restarts a server
inline constexpr Nanos kCancelledStillActs =
    3000 * kMs;  // a cancelled restart may still be acted on for so long
inline constexpr Nanos kUnixStart = 1'700'000'000 * kSecond;

// A folder: what is written lasts, what was only sent to it is lost with the process.
struct Simulation::Disk final : consensus::RaftStorage {
  explicit Disk(Simulation& of) : world(of) {}
  consensus::PersistentState load() override {
    ++incarnation;  // what is still on its way belongs to whoever was here before
    failed = false;
    return kept;
  }
  bool is_writable() const override { return !sick; }
  bool save_vote(std::uint64_t term, consensus::ReplicaId voted_for) override {
    failed = failed || sick;
    if (failed) return false;
    kept.term = term;
    kept.voted_for = voted_for;
    return true;
  }
  void append(std::uint64_t first, std::vector<consensus::LogEntry> entries, WriteCallback done) override {
    write(std::move(done), [this, first, entries = std::move(entries)] {
      kept.entries.resize(static_cast<std::size_t>(first - kept.first));
      kept.entries.insert(kept.entries.end(), entries.begin(), entries.end());
    });
  }
  void truncate(std::uint64_t from) override {
    write({}, [this, from] {
      if (from - kept.first < kept.entries.size())
        kept.entries.resize(static_cast<std::size_t>(from - kept.first));
    });
  }
  void save_snapshot(const consensus::LogSnapshot& snapshot, std::uint64_t first_retained,
                     WriteCallback done) override {
    write(std::move(done), [this, snapshot, first_retained] {
      kept.snapshot = snapshot;
      std::uint64_t drop = first_retained > kept.first ? first_retained - kept.first : 0;
      std::size_t count = std::min<std::size_t>(drop, kept.entries.size());
      kept.entries.erase(kept.entries.begin(), kept.entries.begin() + static_cast<long>(count));
      kept.first = std::max(kept.first, first_retained);
    });
  }
  void replace(const consensus::PersistentState& all) override { kept = all; }

  // In order, each after a while; none of a process that is gone.
  void write(WriteCallback done, std::function<void()> what) {
    free_at = std::max(free_at, world.now_) + world.between(kMs / 5, 4 * kMs);
    world.later(free_at - world.now_,
                [this, incarnation = incarnation, done = std::move(done), what = std::move(what)] {
                  if (incarnation != this->incarnation) return;
                  failed = failed || sick;
                  if (!failed) what();
                  if (done) done(!failed);
                });
  }

  Simulation& world;
  consensus::PersistentState kept;
  consensus::PersistentState copy;
  bool sick = false;
  bool failed = false;  // something was not kept since the last load
  int incarnation = 0;
  Nanos free_at = 0;
};

struct Simulation::Line final : consensus::Transport {
  Line(Simulation& of, int from_place) : world(of), from(from_place) {}
  void send(const consensus::PeerMessage& message, const std::string&) override;
  Simulation& world;
  int from;
};

struct Simulation::Control {
  struct Stream {
    int number = 0;
    std::uint64_t applied = 0;
    std::uint64_t sent = 0;
    bool sent_closed = false;
  };
  int place = 0;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<Line> line;
  std::unique_ptr<releases::RolloutController> rollout_controller;
  std::unique_ptr<ControlReplica> instance;  // none: it is dead
  Nanos paused_until = 0;
  Nanos ahead = 0;  // of its clock
  int incarnation = 0;
  Nanos up_since = 0;
  bool retired = false;                        // its folder was too old
  std::vector<std::function<void()>> waiting;  // came while it was paused
  std::map<int, Stream> streams;               // by the proxy's place
  std::map<std::string, std::uint64_t> left;   // proxies that left, and what they had
};

struct Simulation::Node {
  int place = 0;
  std::string name;
  std::uint64_t incarnation = 1;
  bool alive = true;
  bool store = false;
  std::uint64_t sequence = 0;
  FencingGuard fence;
  fencing::Epoch highest;
  std::set<std::uint64_t> ran;
  std::uint32_t version = 1;
  bool chosen = false;  // out as it was told, until it is warm again
  Nanos warm_at = 0;
  std::uint64_t in_time = 0;
};

struct Simulation::Proxy {
  int place = 0;
  std::string id;
  std::shared_ptr<const routing::PublishedSnapshot> set;
  bool closed = true;
  int at = -1;  // the instance
  int stream = 0;
  Nanos cut_since = 0;
};

struct Simulation::Key {
  std::uint64_t number = 0;
  std::string text;
  Nanos born = 0;
  std::vector<int> ran_at;
};

}  // namespace myrtlecroft::rehearsal
