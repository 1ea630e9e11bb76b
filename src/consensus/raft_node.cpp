#include "consensus/raft_node.h"

#include <algorithm>
#include <deque>
#include <map>
#include <stdexcept>
#include <utility>

#include "consensus/messages.h"

namespace myrtlecroft::consensus {
namespace {

// The term of a fleet that begins again without its majority: far above any that those who are gone may have
// reached, so that none of them is ever followed if it comes back.
constexpr std::uint64_t kBeginAgainTerms = 1'000'000;

std::string encoded(const std::vector<Server>& servers) {
  LogSnapshot as_proto;
  for (const Server& server : servers) *as_proto.add_servers() = server;
  raft_configuration configuration;
  if (servers.empty() || !from_proto(as_proto, configuration))
    throw std::runtime_error("instances with equal ids, or none");
  raft_buffer buffer;
  int code = raft_configuration_encode(&configuration, &buffer);
  raft_configuration_close(&configuration);
  if (code != 0) throw std::runtime_error(raft_strerror(code));
  std::string out(static_cast<char*>(buffer.base), buffer.len);
  raft_free(buffer.base);
  return out;
}

LogEntry change_to(const std::vector<Server>& servers, std::uint64_t term) {
  LogEntry out;
  out.set_term(term);
  out.set_type(RAFT_CHANGE);
  out.set_data(encoded(servers));
  return out;
}

}  // namespace

const char* name_of(Role role) {
  constexpr const char* names[] = {"unavailable", "follower", "candidate", "leader"};
  return names[static_cast<std::size_t>(role)];
}

// The library's I/O: ports on one side, its C functions on the other. Callbacks never come out of the calls
// they belong to; they wait until the call from outside is over.
struct RaftNode::Io {
  explicit Io(RaftNode& owner) : member(owner) {
    io.version = 2;
    io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* of, raft_io_close_cb closed) { self(of).close(closed); };
    io.load = [](raft_io* of, raft_term* kept_term, raft_id* vote, raft_snapshot** snapshot,
                 raft_index* first, raft_entry* entries[], std::size_t* count) {
      return self(of).load(*kept_term, *vote, *snapshot, *first, *entries, *count);
    };
    io.start = [](raft_io* of, unsigned, raft_io_tick_cb ticked, raft_io_recv_cb received) {
      self(of).tick = ticked;
      self(of).recv = received;
      return 0;
    };
    io.bootstrap = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
    io.recover = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
    io.set_term = [](raft_io* of, raft_term begun) {
      self(of).term = begun;
      return self(of).save_vote(0);
    };
    io.set_vote = [](raft_io* of, raft_id vote) { return self(of).save_vote(vote); };
    io.send = [](raft_io* of, raft_io_send* request, const raft_message* message, raft_io_send_cb sent) {
      request->cb = sent;
      self(of).send(*request, *message);
      return 0;
    };
    io.append = [](raft_io* of, raft_io_append* request, const raft_entry entries[], unsigned count,
                   raft_io_append_cb appended) {
      request->cb = appended;
      self(of).append(*request, entries, count);
      return 0;
    };
    io.truncate = [](raft_io* of, raft_index from) {
      Io& port = self(of);
      port.next = from;
      port.member.storage_.truncate(from);
      return 0;
    };
    io.snapshot_put = [](raft_io* of, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* snapshot, raft_io_snapshot_put_cb kept) {
      request->cb = kept;
      self(of).put(trailing, *request, *snapshot);
      return 0;
    };
    io.snapshot_get = [](raft_io* of, raft_io_snapshot_get* request, raft_io_snapshot_get_cb got) {
      request->cb = got;
      Io& port = self(of);
      port.defer([&port, request](bool going_on) {
        raft_snapshot* snapshot =
            going_on && port.kept_snapshot ? port.for_library(*port.kept_snapshot) : nullptr;
        request->cb(request, snapshot, snapshot ? 0 : going_on ? RAFT_NOTFOUND : RAFT_CANCELED);
      });
      return 0;
    };
    io.time = [](raft_io* of) -> raft_time { return self(of).member.clock_ms_(); };
    io.random = [](raft_io* of, int min, int max) {
      return std::uniform_int_distribution<int>(min, std::max(min, max - 1))(self(of).member.random_);
    };
    io.async_work = [](raft_io* of, raft_io_async_work* request, raft_io_async_work_cb done) {
      request->cb = done;
      self(of).defer([request](bool) { request->cb(request, request->work(request)); });
      return 0;
    };
  }

  static Io& self(raft_io* of) { return *static_cast<Io*>(of->impl); }

  // What waits is called with true, or with false where all ends.
  void defer(std::function<void(bool)> call) { waiting.push_back(std::move(call)); }
  void run_waiting() {
    while (!waiting.empty()) {
      auto call = std::move(waiting.front());
      waiting.pop_front();
      call(true);
    }
  }

  int save_vote(InstanceId vote) {
    failed = failed || !member.storage_.save_vote(term, vote);
    return failed ? RAFT_IOERR : 0;
  }

  int load(raft_term& kept_term, raft_id& vote, raft_snapshot*& snapshot, raft_index& first,
           raft_entry*& entries, std::size_t& count) {
    PersistentState kept = member.storage_.load();
    term = kept_term = kept.term;
    vote = kept.voted_for;
    kept_snapshot = kept.snapshot;
    snapshot = kept_snapshot ? for_library(*kept_snapshot) : nullptr;
    first = kept.first;
    google::protobuf::RepeatedPtrField<LogEntry> all;
    for (LogEntry& entry : kept.entries) all.Add(std::move(entry));
    entries = entries_for_library(all);
    count = static_cast<std::size_t>(all.size());
    next = first + count;
    return 0;
  }

  raft_snapshot* for_library(const LogSnapshot& from) {
    auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    out->index = from.index();
    out->term = from.term();
    out->configuration_index = from.servers_index();
    from_proto(from, out->configuration);
    out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    out->bufs[0] = buffer_for_library(from.data());
    out->n_bufs = 1;
    return out;
  }

  void send(raft_io_send& request, const raft_message& message) {
    PeerMessage out;
    out.set_fleet(member.options_.fleet);
    out.set_from(member.id_);
    out.set_to(message.server_id);
    out.set_address(member.address_);
    to_proto(message, out);
    member.transport_.send(out, message.server_address ? message.server_address : "");
    // Some are sent without anybody waiting, in memory that may be gone by then.
    if (!request.cb) return;
    defer([&request](bool going_on) { request.cb(&request, going_on ? 0 : RAFT_CANCELED); });
  }

  // A request that waits for the disk, known by a number: it may be cancelled before the disk answers.
  template <class Request>
  RaftStorage::Done awaited(Request& request) {
    std::uint64_t number = ++last;
    at_disk.emplace(number, [&request](int code) { request.cb(&request, code); });
    return [this, number, still = std::weak_ptr<int>(here)](bool durable) {
      if (still.expired()) return;
      auto found = at_disk.find(number);
      if (found == at_disk.end()) return;
      auto call = std::move(found->second);
      at_disk.erase(found);
      failed = failed || !durable;
      call(durable ? 0 : RAFT_IOERR);
      run_waiting();
    };
  }

  void append(raft_io_append& request, const raft_entry entries[], unsigned count) {
    std::vector<LogEntry> out(count);
    for (unsigned i = 0; i < count; ++i) to_proto(entries[i], out[i]);
    std::uint64_t first = next;
    next += count;
    member.storage_.append(first, std::move(out), awaited(request));
  }

  void put(unsigned trailing, raft_io_snapshot_put& request, const raft_snapshot& snapshot) {
    LogSnapshot out;
    out.set_index(snapshot.index);
    out.set_term(snapshot.term);
    out.set_servers_index(snapshot.configuration_index);
    to_proto(snapshot.configuration, out);
    for (unsigned i = 0; i < snapshot.n_bufs; ++i) {
      out.mutable_data()->append(static_cast<const char*>(snapshot.bufs[i].base), snapshot.bufs[i].len);
    }
    kept_snapshot = out;
    // Without a trail it replaces the whole log.
    std::uint64_t first_retained = snapshot.index + 1;
    if (trailing > 0) first_retained = snapshot.index > trailing ? snapshot.index - trailing + 1 : 1;
    if (trailing == 0) next = snapshot.index + 1;
    member.storage_.save_snapshot(out, first_retained, awaited(request));
    if (trailing == 0) member.storage_.truncate(snapshot.index + 1);
  }

  void close(raft_io_close_cb closed) {
    here.reset();
    auto disk = std::exchange(at_disk, {});
    for (auto& [number, call] : disk) call(RAFT_CANCELED);
    while (!waiting.empty()) {
      auto call = std::move(waiting.front());
      waiting.pop_front();
      call(false);
    }
    closed(&io);
  }

  RaftNode& member;
  raft_io io{};
  raft_io_tick_cb tick = nullptr;
  raft_io_recv_cb recv = nullptr;
  std::uint64_t term = 0;
  std::uint64_t next = 1;  // index of the next entry that is appended
  std::optional<LogSnapshot> kept_snapshot;
  std::deque<std::function<void(bool)>> waiting;
  std::map<std::uint64_t, std::function<void(int)>> at_disk;
  std::uint64_t last = 0;
  bool failed = false;
  std::shared_ptr<int> here = std::make_shared<int>(0);
};

struct RaftNode::Ask {
  struct raft_apply apply {};
  struct raft_barrier barrier {};
  struct raft_change change {};
  struct raft_transfer transfer {};
  RaftNode* member = nullptr;
  std::uint64_t term = 0;
  CommitCallback committed;

  static Ask* make(RaftNode& member, CommitCallback committed) {
    auto* out = new Ask;
    out->apply.data = out->barrier.data = out->change.data = out->transfer.data = out;
    out->member = &member;
    out->term = member.term();
    out->committed = std::move(committed);
    return out;
  }
  static void end(void* given, bool good) {
    std::unique_ptr<Ask> ask(static_cast<Ask*>(given));
    if (ask->committed) ask->committed(good);
  }
  static void changed(struct raft_change* of, int status) { end(of->data, status == 0); }
  // A call that the library did not take ends like one that failed, once whoever asked has returned.
  static void end_later(RaftNode& member, Ask* ask) {
    member.io_->defer([ask](bool) { end(ask, false); });
  }
};

RaftNode::RaftNode(InstanceId id, std::string address, const RaftOptions& options, RaftStorage& storage,
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
  fsm_.version = 1;
  fsm_.data = this;
  // The library counts an entry as applied once this has returned.
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* entry, void** result) {
    auto& self = *static_cast<RaftNode*>(fsm->data);
    *result = nullptr;
    std::string_view bytes(static_cast<const char*>(entry->base), entry->len);
    if (self.machine_.apply(self.raft_.last_applied + 1, bytes)) return 0;
    self.fault_ = "an agreed entry is of a newer form than this version knows";
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
      self.fault_ = "an agreed state is of a newer form than this version knows";
      return RAFT_MALFORMED;
    }
    raft_free(buffer->base);
    return 0;
  };
  int code = raft_init(&raft_, &io_->io, &fsm_, id_, address_.c_str());
  if (code != 0) throw std::runtime_error(why(raft_, code));
  raft_set_election_timeout(&raft_, options.election_ms);
  raft_set_heartbeat_timeout(&raft_, options.heartbeat_ms);
  raft_set_snapshot_threshold(&raft_, options.snapshot_after);
  raft_set_snapshot_trailing(&raft_, options.snapshot_trailing);
  raft_set_install_snapshot_timeout(&raft_, options.snapshot_timeout_ms);
  raft_set_pre_vote(&raft_, true);
}

RaftNode::~RaftNode() { raft_close(&raft_, nullptr); }

std::string RaftNode::why(const raft& raft, int code) {
  std::string detail = raft.errmsg;
  return std::string("agreement: ") + raft_strerror(code) + (detail.empty() ? "" : ": " + detail);
}

void RaftNode::bootstrap(RaftStorage& storage, const std::vector<Server>& servers) {
  PersistentState kept = storage.load();
  if (kept.term != 0 || kept.snapshot || !kept.entries.empty())
    throw std::runtime_error("there is a log already");
  kept.term = 1;
  kept.entries = {change_to(servers, 1)};
  storage.replace(kept);
}

void RaftNode::force_new_cluster(RaftStorage& storage, const std::vector<Server>& servers) {
  PersistentState kept = storage.load();
  if (kept.term == 0) throw std::runtime_error("there is no log to go on with");
  kept.term += kBeginAgainTerms;
  kept.voted_for = 0;
  kept.entries.push_back(change_to(servers, kept.term));
  storage.replace(kept);
}

void RaftNode::start() {
  if (int code = raft_start(&raft_); code != 0) throw std::runtime_error(why(raft_, code));
  started_ = true;
  io_->run_waiting();
}

void RaftNode::tick() {
  if (!started_ || !io_->tick || io_->failed) return;
  io_->tick(&io_->io);
  io_->run_waiting();
  ask_ready();
}

void RaftNode::received(const PeerMessage& message) {
  if (!started_ || !io_->recv || io_->failed || role() == Role::kUnavailable || message.to() != id_) return;
  raft_message for_library{};
  if (!from_proto(message, for_library)) return;
  io_->recv(&io_->io, &for_library);
  io_->run_waiting();
  ask_ready();
}

// A new leader may not know how far those before it got: what it asks for now comes behind all of it.
void RaftNode::ask_ready() {
  if (!is_leader() || asked_term_ == term()) return;
  asked_term_ = term();
  Ask* ask = Ask::make(*this, {});
  ask->committed = [this, ask](bool good) {
    if (good) {
      ready_term_ = ask->term;
    } else if (asked_term_ == ask->term) {
      asked_term_ = 0;
    }
  };
  int code = raft_barrier(&raft_, &ask->barrier,
                          [](struct raft_barrier* of, int status) { Ask::end(of->data, status == 0); });
  if (code != 0) Ask::end_later(*this, ask);
  io_->run_waiting();
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

InstanceId RaftNode::leader() const {
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

std::size_t RaftNode::voters() const {
  std::size_t out = 0;
  for (unsigned i = 0; i < raft_.configuration.n; ++i)
    out += raft_.configuration.servers[i].role == RAFT_VOTER;
  return out;
}

std::optional<int> RaftNode::role_of(InstanceId id) const {
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    if (raft_.configuration.servers[i].id == id) return raft_.configuration.servers[i].role;
  }
  return std::nullopt;
}

void RaftNode::propose(std::string entry, CommitCallback committed) {
  Ask* ask = Ask::make(*this, std::move(committed));
  raft_buffer buffer = buffer_for_library(entry);
  int code = raft_apply(&raft_, &ask->apply, &buffer, 1,
                        [](struct raft_apply* of, int status, void*) { Ask::end(of->data, status == 0); });
  if (code != 0) {
    raft_free(buffer.base);
    Ask::end_later(*this, ask);
  }
  io_->run_waiting();
}

void RaftNode::add(InstanceId id, const std::string& address, CommitCallback committed) {
  // Those who are added only hear, once they have been given a part; both are done here.
  Ask* ask = Ask::make(*this, nullptr);
  ask->committed = [this, id, committed = std::move(committed)](bool good) mutable {
    if (!good) return committed ? committed(false) : void();
    assign(id, RAFT_STANDBY, std::move(committed));
  };
  int code = raft_add(&raft_, &ask->change, id, address.c_str(), Ask::changed);
  if (code != 0) Ask::end_later(*this, ask);
  io_->run_waiting();
}

void RaftNode::assign(InstanceId id, int role, CommitCallback committed) {
  Ask* ask = Ask::make(*this, std::move(committed));
  int code = raft_assign(&raft_, &ask->change, id, role, Ask::changed);
  if (code != 0) Ask::end_later(*this, ask);
}

void RaftNode::promote(InstanceId id, CommitCallback committed) {
  assign(id, RAFT_VOTER, std::move(committed));
  io_->run_waiting();
}

void RaftNode::remove(InstanceId id, CommitCallback committed) {
  Ask* ask = Ask::make(*this, std::move(committed));
  int code = raft_remove(&raft_, &ask->change, id, Ask::changed);
  if (code != 0) Ask::end_later(*this, ask);
  io_->run_waiting();
}

void RaftNode::transfer_leadership(CommitCallback committed) {
  Ask* ask = Ask::make(*this, std::move(committed));
  int code = raft_transfer(&raft_, &ask->transfer, 0, [](struct raft_transfer* of) {
    Ask* done = static_cast<Ask*>(of->data);
    Ask::end(done, !done->member->is_leader());
  });
  if (code != 0) Ask::end_later(*this, ask);
  io_->run_waiting();
}

}  // namespace myrtlecroft::consensus
