// Writes the first log of a cluster, before a RaftNode is started on the storage.
#include <stdexcept>
#include <utility>

#include "consensus/messages.h"
#include "consensus/raft_node.h"

namespace myrtlecroft::consensus {
namespace {

// Added to the term of a cluster that is forced to start without its majority: far above any term that the
// removed members may have reached, so that none of them is followed if it comes back.
constexpr std::uint64_t kForcedTermIncrease = 1'000'000;

std::string encode_configuration(const std::vector<Server>& servers) {
  LogSnapshot as_proto;
  for (const Server& server : servers) *as_proto.add_servers() = server;
  raft_configuration configuration;
  if (servers.empty() || !from_proto(as_proto, configuration))
    throw std::runtime_error("the list of replicas is empty or invalid: each needs its own id");
  raft_buffer buffer;
  int code = raft_configuration_encode(&configuration, &buffer);
  raft_configuration_close(&configuration);
  if (code != 0) throw std::runtime_error(raft_strerror(code));
  std::string out(static_cast<char*>(buffer.base), buffer.len);
  raft_free(buffer.base);
  return out;
}

LogEntry configuration_entry(const std::vector<Server>& servers, std::uint64_t term) {
  LogEntry out;
  out.set_term(term);
  out.set_type(RAFT_CHANGE);
  out.set_data(encode_configuration(servers));
  return out;
}

}  // namespace

void RaftNode::bootstrap(RaftStorage& storage, const std::vector<Server>& servers) {
  PersistentState persisted = storage.load();
  if (persisted.term != 0 || persisted.snapshot || !persisted.entries.empty())
    throw std::runtime_error("the storage already contains a log");
  persisted.term = 1;
  persisted.entries = {configuration_entry(servers, 1)};
  storage.replace(persisted);
}

void RaftNode::force_new_cluster(RaftStorage& storage, const std::vector<Server>& servers) {
  PersistentState persisted = storage.load();
  if (persisted.term == 0) throw std::runtime_error("the storage contains no log to recover");
  persisted.term += kForcedTermIncrease;
  persisted.voted_for = 0;
  persisted.entries.push_back(configuration_entry(servers, persisted.term));
  storage.replace(persisted);
}

}  // namespace myrtlecroft::consensus
