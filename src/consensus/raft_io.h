// The I/O interface of libraft (raft_io), implemented on RaftNode's storage, transport and clock. Private to
// RaftNode, which owns the only instance; used on RaftNode's thread.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "consensus/raft_node.h"

namespace myrtlecroft::consensus {

// libraft must not be called back from within the call that made a request, so each callback is deferred
// until run_deferred(), which RaftNode calls once its own call into the library has returned.
struct RaftNode::Io {
  using DeferredCall = std::function<void(bool is_running)>;

  explicit Io(RaftNode& owner);

  static Io& from(raft_io* io) { return *static_cast<Io*>(io->impl); }

  // `call` gets true when it is run by run_deferred(), false when the node is closing.
  void defer(DeferredCall call) { deferred.push_back(std::move(call)); }
  void run_deferred();

  // The functions of raft_io; int results are libraft's error codes.
  int load(raft_term& loaded_term, raft_id& vote, raft_snapshot*& snapshot, raft_index& first,
           raft_entry*& entries, std::size_t& count);
  int save_vote(ReplicaId vote);
  void send(raft_io_send& request, const raft_message& message);
  void append(raft_io_append& request, const raft_entry entries[], unsigned count);
  void truncate(raft_index from);
  void put_snapshot(unsigned trailing, raft_io_snapshot_put& request, const raft_snapshot& snapshot);
  void get_snapshot(raft_io_snapshot_get& request);
  void close(raft_io_close_cb closed);

  // Wraps `request`, whose callback runs when storage reports that the write is durable. The request is found
  // by a number, because it may be cancelled before storage answers.
  template <class Request>
  RaftStorage::WriteCallback make_completion(Request& request);

  void set_log_functions();
  void set_snapshot_functions();
  void set_environment_functions();

  RaftNode& node;
  raft_io io{};
  raft_io_tick_cb tick = nullptr;
  raft_io_recv_cb recv = nullptr;
  std::uint64_t term = 0;
  std::uint64_t next = 1;  // index of the next entry that is appended
  std::optional<LogSnapshot> last_snapshot;
  std::deque<DeferredCall> deferred;
  std::map<std::uint64_t, std::function<void(int code)>> pending_writes;  // by number of the write
  std::uint64_t last_write = 0;                                           // number of the latest write
  bool failed = false;                                    // a write failed; the node is unusable
  std::shared_ptr<int> alive = std::make_shared<int>(0);  // reset on close
};

}  // namespace myrtlecroft::consensus
