#include "consensus/messages.h"

#include <algorithm>
#include <cstring>
#include <new>

namespace myrtlecroft::consensus {
namespace {

constexpr int kMaxServers = 64;

void* allocate(std::size_t size) {
  void* out = raft_malloc(size ? size : 1);
  if (!out) throw std::bad_alloc();
  return out;
}

}  // namespace

raft_buffer buffer_for_library(const std::string& bytes) {
  raft_buffer out{allocate(bytes.size()), bytes.size()};
  std::memcpy(out.base, bytes.data(), bytes.size());
  return out;
}

raft_entry* entries_for_library(const google::protobuf::RepeatedPtrField<LogEntry>& in) {
  if (in.empty()) return nullptr;
  std::size_t size = 0;
  for (const LogEntry& entry : in) size += (entry.data().size() + 7) / 8 * 8;
  auto* batch = static_cast<char*>(allocate(size));
  auto* out = static_cast<raft_entry*>(allocate(sizeof(raft_entry) * static_cast<std::size_t>(in.size())));
  char* position = batch;
  for (int i = 0; i < in.size(); ++i) {
    const std::string& data = in[i].data();
    std::copy(data.begin(), data.end(), position);
    out[i] = {.term = in[i].term(),
              .type = static_cast<unsigned short>(in[i].type()),
              .buf = {.base = position, .len = data.size()},
              .batch = batch};
    position += (data.size() + 7) / 8 * 8;
  }
  return out;
}

void to_proto(const raft_entry& in, LogEntry& out) {
  out.set_term(in.term);
  out.set_type(in.type);
  out.set_data(in.buf.base, in.buf.len);
}

void to_proto(const raft_configuration& in, LogSnapshot& out) {
  for (unsigned i = 0; i < in.n; ++i) {
    Server& server = *out.add_servers();
    server.set_id(in.servers[i].id);
    server.set_address(in.servers[i].address);
    server.set_role(in.servers[i].role);
  }
}

bool from_proto(const LogSnapshot& in, raft_configuration& out) {
  raft_configuration_init(&out);
  if (in.servers_size() > kMaxServers) return false;
  for (const Server& server : in.servers()) {
    if (raft_configuration_add(&out, server.id(), server.address().c_str(), server.role()) == 0) continue;
    raft_configuration_close(&out);
    return false;
  }
  return true;
}

// One case for each message type.
// NOLINTNEXTLINE(readability-function-size)
void to_proto(const raft_message& in, PeerMessage& out) {
  switch (in.type) {
    case RAFT_IO_REQUEST_VOTE: {
      RequestVote& to = *out.mutable_request_vote();
      to.set_term(in.request_vote.term);
      to.set_candidate(in.request_vote.candidate_id);
      to.set_last_index(in.request_vote.last_log_index);
      to.set_last_term(in.request_vote.last_log_term);
      to.set_disrupt(in.request_vote.disrupt_leader);
      to.set_pre_vote(in.request_vote.pre_vote);
      return;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      RequestVoteResult& to = *out.mutable_request_vote_result();
      to.set_term(in.request_vote_result.term);
      to.set_granted(in.request_vote_result.vote_granted);
      to.set_pre_vote(in.request_vote_result.pre_vote);
      return;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      AppendEntries& to = *out.mutable_append_entries();
      to.set_term(in.append_entries.term);
      to.set_previous_index(in.append_entries.prev_log_index);
      to.set_previous_term(in.append_entries.prev_log_term);
      to.set_commit(in.append_entries.leader_commit);
      for (unsigned i = 0; i < in.append_entries.n_entries; ++i) {
        to_proto(in.append_entries.entries[i], *to.add_entries());
      }
      return;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      AppendEntriesResult& to = *out.mutable_append_entries_result();
      to.set_term(in.append_entries_result.term);
      to.set_rejected(in.append_entries_result.rejected);
      to.set_last_index(in.append_entries_result.last_log_index);
      return;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      InstallSnapshot& to = *out.mutable_install_snapshot();
      to.set_term(in.install_snapshot.term);
      LogSnapshot& snapshot = *to.mutable_snapshot();
      snapshot.set_index(in.install_snapshot.last_index);
      snapshot.set_term(in.install_snapshot.last_term);
      snapshot.set_servers_index(in.install_snapshot.conf_index);
      to_proto(in.install_snapshot.conf, snapshot);
      snapshot.set_data(in.install_snapshot.data.base, in.install_snapshot.data.len);
      return;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      TimeoutNow& to = *out.mutable_timeout_now();
      to.set_term(in.timeout_now.term);
      to.set_last_index(in.timeout_now.last_log_index);
      to.set_last_term(in.timeout_now.last_log_term);
      return;
    }
    default:
      return;
  }
}

// One case for each message type.
// NOLINTNEXTLINE(readability-function-size)
bool from_proto(const PeerMessage& in, raft_message& out) {
  out.server_id = in.from();
  out.server_address = in.address().c_str();
  switch (in.what_case()) {
    case PeerMessage::kRequestVote:
      out.type = RAFT_IO_REQUEST_VOTE;
      out.request_vote = {.term = in.request_vote().term(),
                          .candidate_id = in.request_vote().candidate(),
                          .last_log_index = in.request_vote().last_index(),
                          .last_log_term = in.request_vote().last_term(),
                          .disrupt_leader = in.request_vote().disrupt(),
                          .pre_vote = in.request_vote().pre_vote()};
      return in.request_vote().candidate() == in.from();
    case PeerMessage::kRequestVoteResult: {
      std::uint32_t pre_vote = in.request_vote_result().pre_vote();
      out.type = RAFT_IO_REQUEST_VOTE_RESULT;
      out.request_vote_result = {.term = in.request_vote_result().term(),
                                 .vote_granted = in.request_vote_result().granted(),
                                 .pre_vote = static_cast<raft_tribool>(pre_vote)};
      return pre_vote <= raft_tribool_false;
    }
    case PeerMessage::kAppendEntries: {
      const AppendEntries& from = in.append_entries();
      for (const LogEntry& entry : from.entries()) {
        if (entry.type() < RAFT_COMMAND || entry.type() > RAFT_CHANGE) return false;
      }
      out.type = RAFT_IO_APPEND_ENTRIES;
      out.append_entries = {.term = from.term(),
                            .prev_log_index = from.previous_index(),
                            .prev_log_term = from.previous_term(),
                            .leader_commit = from.commit(),
                            .entries = entries_for_library(from.entries()),
                            .n_entries = static_cast<unsigned>(from.entries_size())};
      return true;
    }
    case PeerMessage::kAppendEntriesResult:
      out.type = RAFT_IO_APPEND_ENTRIES_RESULT;
      out.append_entries_result = {.term = in.append_entries_result().term(),
                                   .rejected = in.append_entries_result().rejected(),
                                   .last_log_index = in.append_entries_result().last_index()};
      return true;
    case PeerMessage::kInstallSnapshot: {
      const LogSnapshot& from = in.install_snapshot().snapshot();
      out.type = RAFT_IO_INSTALL_SNAPSHOT;
      out.install_snapshot = {};
      out.install_snapshot.term = in.install_snapshot().term();
      out.install_snapshot.last_index = from.index();
      out.install_snapshot.last_term = from.term();
      out.install_snapshot.conf_index = from.servers_index();
      if (!from_proto(from, out.install_snapshot.conf)) return false;
      out.install_snapshot.data = buffer_for_library(from.data());
      return true;
    }
    case PeerMessage::kTimeoutNow:
      out.type = RAFT_IO_TIMEOUT_NOW;
      out.timeout_now = {.term = in.timeout_now().term(),
                         .last_log_index = in.timeout_now().last_index(),
                         .last_log_term = in.timeout_now().last_term()};
      return true;
    default:
      return false;
  }
}

}  // namespace myrtlecroft::consensus
