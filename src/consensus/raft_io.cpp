#include "consensus/raft_io.h"

#include <algorithm>
#include <utility>

#include "consensus/messages.h"

namespace myrtlecroft::consensus {
namespace {

raft_snapshot* snapshot_for_library(const LogSnapshot& from) {
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

LogSnapshot snapshot_from_library(const raft_snapshot& from) {
  LogSnapshot out;
  out.set_index(from.index);
  out.set_term(from.term);
  out.set_servers_index(from.configuration_index);
  to_proto(from.configuration, out);
  for (unsigned i = 0; i < from.n_bufs; ++i) {
    out.mutable_data()->append(static_cast<const char*>(from.bufs[i].base), from.bufs[i].len);
  }
  return out;
}

}  // namespace

RaftNode::Io::Io(RaftNode& owner) : node(owner) {
  io.version = 2;
  io.impl = this;
  io.init = [](raft_io*, raft_id, const char*) { return 0; };
  io.close = [](raft_io* of, raft_io_close_cb closed) { from(of).close(closed); };
  io.start = [](raft_io* of, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb on_receive) {
    from(of).tick = on_tick;
    from(of).recv = on_receive;
    return 0;
  };
  // RaftNode::bootstrap and force_new_cluster write to storage before the library starts.
  io.bootstrap = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
  io.recover = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
  set_log_functions();
  set_snapshot_functions();
  set_environment_functions();
}

void RaftNode::Io::set_log_functions() {
  io.load = [](raft_io* of, raft_term* loaded_term, raft_id* vote, raft_snapshot** snapshot,
               raft_index* first, raft_entry* entries[], std::size_t* count) {
    return from(of).load(*loaded_term, *vote, *snapshot, *first, *entries, *count);
  };
  io.set_term = [](raft_io* of, raft_term new_term) {
    from(of).term = new_term;
    return from(of).save_vote(0);
  };
  io.set_vote = [](raft_io* of, raft_id vote) { return from(of).save_vote(vote); };
  io.append = [](raft_io* of, raft_io_append* request, const raft_entry entries[], unsigned count,
                 raft_io_append_cb appended) {
    request->cb = appended;
    from(of).append(*request, entries, count);
    return 0;
  };
  io.truncate = [](raft_io* of, raft_index index) {
    from(of).truncate(index);
    return 0;
  };
}

void RaftNode::Io::set_snapshot_functions() {
  io.snapshot_put = [](raft_io* of, unsigned trailing, raft_io_snapshot_put* request,
                       const raft_snapshot* snapshot, raft_io_snapshot_put_cb stored) {
    request->cb = stored;
    from(of).put_snapshot(trailing, *request, *snapshot);
    return 0;
  };
  io.snapshot_get = [](raft_io* of, raft_io_snapshot_get* request, raft_io_snapshot_get_cb loaded) {
    request->cb = loaded;
    from(of).get_snapshot(*request);
    return 0;
  };
}

void RaftNode::Io::set_environment_functions() {
  io.send = [](raft_io* of, raft_io_send* request, const raft_message* message, raft_io_send_cb sent) {
    request->cb = sent;
    from(of).send(*request, *message);
    return 0;
  };
  io.time = [](raft_io* of) -> raft_time { return from(of).node.clock_ms_(); };
  io.random = [](raft_io* of, int min, int max) {
    return std::uniform_int_distribution<int>(min, std::max(min, max - 1))(from(of).node.random_);
  };
  io.async_work = [](raft_io* of, raft_io_async_work* request, raft_io_async_work_cb done) {
    request->cb = done;
    from(of).defer([request](bool) { request->cb(request, request->work(request)); });
    return 0;
  };
}

void RaftNode::Io::run_deferred() {
  while (!deferred.empty()) {
    DeferredCall call = std::move(deferred.front());
    deferred.pop_front();
    call(true);
  }
}

int RaftNode::Io::save_vote(ReplicaId vote) {
  failed = failed || !node.storage_.save_vote(term, vote);
  return failed ? RAFT_IOERR : 0;
}

int RaftNode::Io::load(raft_term& loaded_term, raft_id& vote, raft_snapshot*& snapshot, raft_index& first,
                       raft_entry*& entries, std::size_t& count) {
  PersistentState persisted = node.storage_.load();
  term = persisted.term;
  loaded_term = persisted.term;
  vote = persisted.voted_for;
  last_snapshot = persisted.snapshot;
  snapshot = last_snapshot ? snapshot_for_library(*last_snapshot) : nullptr;
  first = persisted.first;
  google::protobuf::RepeatedPtrField<LogEntry> all;
  for (LogEntry& entry : persisted.entries) all.Add(std::move(entry));
  entries = entries_for_library(all);
  count = static_cast<std::size_t>(all.size());
  next = first + count;
  return 0;
}

void RaftNode::Io::send(raft_io_send& request, const raft_message& message) {
  PeerMessage out;
  out.set_fleet(node.options_.fleet);
  out.set_from(node.id_);
  out.set_to(message.server_id);
  out.set_address(node.address_);
  to_proto(message, out);
  node.transport_.send(out, message.server_address ? message.server_address : "");
  // A request without a callback may be freed as soon as this function returns.
  if (!request.cb) return;
  defer([&request](bool is_running) { request.cb(&request, is_running ? 0 : RAFT_CANCELED); });
}

template <class Request>
RaftStorage::WriteCallback RaftNode::Io::make_completion(Request& request) {
  std::uint64_t number = ++last_write;
  pending_writes.emplace(number, [&request](int code) { request.cb(&request, code); });
  return [this, number, guard = std::weak_ptr<int>(alive)](bool durable) {
    if (guard.expired()) return;
    auto found = pending_writes.find(number);
    if (found == pending_writes.end()) return;
    auto call = std::move(found->second);
    pending_writes.erase(found);
    failed = failed || !durable;
    call(durable ? 0 : RAFT_IOERR);
    run_deferred();
  };
}

void RaftNode::Io::append(raft_io_append& request, const raft_entry entries[], unsigned count) {
  std::vector<LogEntry> out(count);
  for (unsigned i = 0; i < count; ++i) to_proto(entries[i], out[i]);
  std::uint64_t first = next;
  next += count;
  node.storage_.append(first, std::move(out), make_completion(request));
}

void RaftNode::Io::truncate(raft_index from) {
  next = from;
  node.storage_.truncate(from);
}

void RaftNode::Io::put_snapshot(unsigned trailing, raft_io_snapshot_put& request,
                                const raft_snapshot& snapshot) {
  last_snapshot = snapshot_from_library(snapshot);
  // Without trailing entries the snapshot replaces the whole log.
  std::uint64_t first_retained = snapshot.index + 1;
  if (trailing > 0) first_retained = snapshot.index > trailing ? snapshot.index - trailing + 1 : 1;
  if (trailing == 0) next = snapshot.index + 1;
  node.storage_.save_snapshot(*last_snapshot, first_retained, make_completion(request));
  if (trailing == 0) node.storage_.truncate(snapshot.index + 1);
}

void RaftNode::Io::get_snapshot(raft_io_snapshot_get& request) {
  defer([this, &request](bool is_running) {
    raft_snapshot* snapshot = is_running && last_snapshot ? snapshot_for_library(*last_snapshot) : nullptr;
    request.cb(&request, snapshot, snapshot ? 0 : is_running ? RAFT_NOTFOUND : RAFT_CANCELED);
  });
}

void RaftNode::Io::close(raft_io_close_cb closed) {
  alive.reset();
  auto writes = std::exchange(pending_writes, {});
  for (auto& [number, call] : writes) call(RAFT_CANCELED);
  while (!deferred.empty()) {
    DeferredCall call = std::move(deferred.front());
    deferred.pop_front();
    call(false);
  }
  closed(&io);
}

}  // namespace myrtlecroft::consensus
