#include "consensus/raft_node.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "consensus/messages.h"
#include "consensus/raft_io.h"

namespace myrtlecroft::consensus {

const char* name_of(Role role) {
  constexpr const char* kNames[] = {"unavailable", "follower", "candidate", "leader"};
  return kNames[static_cast<std::size_t>(role)];
}

struct RaftNode::PendingRequest {
  struct raft_apply apply {};
  struct raft_barrier barrier {};
  struct raft_change change {};
  struct raft_transfer transfer {};
  RaftNode* node = nullptr;
  std::uint64_t term = 0;
  CommitCallback committed;

  static PendingRequest* make(RaftNode& node, CommitCallback committed) {
    auto* out = new PendingRequest;
    out->apply.data = out->barrier.data = out->change.data = out->transfer.data = out;
    out->node = &node;
    out->term = node.term();
    out->committed = std::move(committed);
    return out;
  }
  static void complete(void* data, bool succeeded) {
    std::unique_ptr<PendingRequest> request(static_cast<PendingRequest*>(data));
    if (request->committed) request->committed(succeeded);
  }
  static void changed(struct raft_change* of, int status) { complete(of->data, status == 0); }
  // Completes a request that the library rejected as failed, once the caller has returned.
  static void fail_later(RaftNode& node, PendingRequest* request) {
    node.io_->defer([request](bool) { complete(request, false); });
  }
};

RaftNode::RaftNode(ReplicaId id, std::string address, const RaftOptions& options, RaftStorage& storage,
                   Transport& transport, StateMachine& machine, std::function<std::uint64_t()> clock_ms,
                   std::uint32_t seed)
    : id_(id),
      address_(std::move(address)),
      options_(options),
      storage_(storage),
      transport_(transport),
      machine_(machine),
      clock_ms_(std::move(clock_ms)),
      random_(seed),
      io_(std::make_unique<Io>(*this)) {
  set_state_machine_functions();
  int code = raft_init(&raft_, &io_->io, &fsm_, id_, address_.c_str());
  if (code != 0) throw std::runtime_error(error_text(raft_, code));
  raft_set_election_timeout(&raft_, options.election_ms);
  raft_set_heartbeat_timeout(&raft_, options.heartbeat_ms);
  raft_set_snapshot_threshold(&raft_, options.snapshot_threshold);
  raft_set_snapshot_trailing(&raft_, options.snapshot_trailing);
  raft_set_install_snapshot_timeout(&raft_, options.snapshot_timeout_ms);
  raft_set_pre_vote(&raft_, true);
}

void RaftNode::set_state_machine_functions() {
  fsm_.version = 1;
  fsm_.data = this;
  // The library increments last_applied after this returns.
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* entry, void** result) {
    auto& self = *static_cast<RaftNode*>(fsm->data);
    *result = nullptr;
    std::string_view bytes(static_cast<const char*>(entry->base), entry->len);
    if (self.machine_.apply(self.raft_.last_applied + 1, bytes)) return 0;
    self.fault_ = "a committed entry has a newer format than this version supports";
    return RAFT_MALFORMED;
  };
  fsm_.snapshot = [](raft_fsm* fsm, raft_buffer* buffers[], unsigned* count) {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    (*buffers)[0] = buffer_for_library(static_cast<RaftNode*>(fsm->data)->machine_.snapshot());
    *count = 1;
    return 0;
  };
  fsm_.restore = [](raft_fsm* fsm, raft_buffer* buffer) {
    auto& self = *static_cast<RaftNode*>(fsm->data);
    if (!self.machine_.restore({static_cast<const char*>(buffer->base), buffer->len})) {
      self.fault_ = "a committed snapshot has a newer format than this version supports";
      return RAFT_MALFORMED;
    }
    raft_free(buffer->base);
    return 0;
  };
}

RaftNode::~RaftNode() { raft_close(&raft_, nullptr); }

std::string RaftNode::error_text(const raft& raft, int code) {
  std::string detail = raft.errmsg;
  return std::string("agreement: ") + raft_strerror(code) + (detail.empty() ? "" : ": " + detail);
}

void RaftNode::start() {
  if (int code = raft_start(&raft_); code != 0) throw std::runtime_error(error_text(raft_, code));
  started_ = true;
  io_->run_deferred();
}

void RaftNode::tick() {
  if (!started_ || !io_->tick || io_->failed) return;
  io_->tick(&io_->io);
  io_->run_deferred();
  request_barrier();
}

void RaftNode::received(const PeerMessage& message) {
  if (!started_ || !io_->recv || io_->failed || role() == Role::kUnavailable || message.to() != id_) return;
  raft_message for_library{};
  if (!from_proto(message, for_library)) return;
  io_->recv(&io_->io, &for_library);
  io_->run_deferred();
  request_barrier();
}

// A new leader does not know which earlier entries are committed; a barrier is committed after all of them.
void RaftNode::request_barrier() {
  if (!is_leader() || barrier_term_ == term()) return;
  barrier_term_ = term();
  PendingRequest* request = PendingRequest::make(*this, {});
  request->committed = [this, request](bool succeeded) {
    if (succeeded) {
      ready_term_ = request->term;
    } else if (barrier_term_ == request->term) {
      barrier_term_ = 0;
    }
  };
  int code = raft_barrier(&raft_, &request->barrier, [](struct raft_barrier* of, int status) {
    PendingRequest::complete(of->data, status == 0);
  });
  if (code != 0) PendingRequest::fail_later(*this, request);
  io_->run_deferred();
}

bool RaftNode::disk_failed() const { return io_->failed; }

Role RaftNode::role() const {
  switch (raft_state(const_cast<raft*>(&raft_))) {
    case RAFT_FOLLOWER:
      return Role::kFollower;
    case RAFT_CANDIDATE:
      return Role::kCandidate;
    case RAFT_LEADER:
      return Role::kLeader;
    default:
      return Role::kUnavailable;
  }
}

ReplicaId RaftNode::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(const_cast<raft*>(&raft_), &id, &address);
  return id;
}

std::vector<Server> RaftNode::servers() const {
  LogSnapshot as_proto;
  to_proto(raft_.configuration, as_proto);
  return {as_proto.servers().begin(), as_proto.servers().end()};
}

std::size_t RaftNode::voter_count() const {
  std::size_t out = 0;
  for (unsigned i = 0; i < raft_.configuration.n; ++i)
    out += raft_.configuration.servers[i].role == RAFT_VOTER;
  return out;
}

std::optional<int> RaftNode::role_of(ReplicaId id) const {
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    if (raft_.configuration.servers[i].id == id) return raft_.configuration.servers[i].role;
  }
  return std::nullopt;
}

void RaftNode::propose(const std::string& entry, CommitCallback committed) {
  PendingRequest* request = PendingRequest::make(*this, std::move(committed));
  raft_buffer buffer = buffer_for_library(entry);
  int code = raft_apply(&raft_, &request->apply, &buffer, 1, [](struct raft_apply* of, int status, void*) {
    PendingRequest::complete(of->data, status == 0);
  });
  if (code != 0) {
    raft_free(buffer.base);
    PendingRequest::fail_later(*this, request);
  }
  io_->run_deferred();
}

void RaftNode::add(ReplicaId id, const std::string& address, CommitCallback committed) {
  // libraft adds a member as a spare, which gets no entries; assigning standby makes it a learner.
  PendingRequest* request = PendingRequest::make(*this, nullptr);
  request->committed = [this, id, committed = std::move(committed)](bool succeeded) mutable {
    if (!succeeded) return committed ? committed(false) : void();
    assign(id, RAFT_STANDBY, std::move(committed));
  };
  int code = raft_add(&raft_, &request->change, id, address.c_str(), PendingRequest::changed);
  if (code != 0) PendingRequest::fail_later(*this, request);
  io_->run_deferred();
}

void RaftNode::assign(ReplicaId id, int role, CommitCallback committed) {
  PendingRequest* request = PendingRequest::make(*this, std::move(committed));
  int code = raft_assign(&raft_, &request->change, id, role, PendingRequest::changed);
  if (code != 0) PendingRequest::fail_later(*this, request);
}

void RaftNode::promote(ReplicaId id, CommitCallback committed) {
  assign(id, RAFT_VOTER, std::move(committed));
  io_->run_deferred();
}

void RaftNode::remove(ReplicaId id, CommitCallback committed) {
  PendingRequest* request = PendingRequest::make(*this, std::move(committed));
  int code = raft_remove(&raft_, &request->change, id, PendingRequest::changed);
  if (code != 0) PendingRequest::fail_later(*this, request);
  io_->run_deferred();
}

void RaftNode::transfer_leadership(CommitCallback committed) {
  PendingRequest* request = PendingRequest::make(*this, std::move(committed));
  int code = raft_transfer(&raft_, &request->transfer, 0, [](struct raft_transfer* of) {
    PendingRequest* done = static_cast<PendingRequest*>(of->data);
    PendingRequest::complete(done, !done->node->is_leader());
  });
  if (code != 0) PendingRequest::fail_later(*this, request);
  io_->run_deferred();
}

}  // namespace myrtlecroft::consensus
