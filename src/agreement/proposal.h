// From what the leader concludes to what it proposes: the difference between its routing and the agreed
// state, as one decision. What is measured (reports, pressure, weights before they are told) stays with
// whoever measures; what others must know, or must go on with after the leader is gone, is in the decision.
// No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreement/replicated_state.h"
#include "consensus/raft_node.h"
#include "routing/router.h"

namespace myrtlecroft::agreement {

// Where the proxies are, as the instances said last.
class ProxyRegistry {
 public:
  // A word counts before older ones for so long. After that it counts only for proxies that nobody else has:
  // one that has moved on is not held to what a dead instance said of it last.
  explicit ProxyRegistry(Nanos fresh_for) : fresh_for_(fresh_for) {}

  // All that one instance says of its proxies.
  void update(consensus::ReplicaId by,
              const google::protobuf::RepeatedPtrField<consensus::ProxyStatus>& proxies, Nanos now);
  // It says the same as before.
  void refresh(consensus::ReplicaId by, Nanos now) { by_instance_[by].at = now; }
  void remove(consensus::ReplicaId one) {
    by_instance_.erase(one);
    ++revision_;
  }

  // The publication that every proxy of the agreed list has applied, or a later one; of one that is not known
  // to be anywhere, the last that it was known to have.
  std::uint64_t applied_by_all(const ReplicatedState& agreed, Nanos now);
  const std::set<std::string>& here();

 private:
  using ProxyStatuses = google::protobuf::RepeatedPtrField<consensus::ProxyStatus>;
  struct ReceivedList {
    Nanos at = 0;
    ProxyStatuses words;  // as they came
    std::map<std::string, consensus::ProxyStatus> proxies;
  };
  // What the least of all proxies was found from: it is the same for as long as this is.
  struct Basis {
    std::uint64_t revision = 0;
    Epoch proxies_epoch;
    std::vector<consensus::ReplicaId> fresh;  // those whose words count before older ones

    bool operator==(const Basis&) const = default;
  };
  Basis basis(const ReplicatedState& agreed, Nanos now) const;
  std::uint64_t min_applied(const ReplicatedState& agreed, Nanos now) const;

  Nanos fresh_for_;
  std::map<consensus::ReplicaId, ReceivedList> by_instance_;
  std::map<std::string, std::uint64_t> last_;  // applied, of those who left
  std::uint64_t revision_ = 1;                 // grows with each word that says something else than before
  Basis min_of_;
  std::uint64_t min_ = 0;
  std::uint64_t here_of_ = 0;  // the revision that `here_` is of
  std::set<std::string> here_;
};

struct ProposalContext {
  const routing::Router* router = nullptr;
  const routing::PublishedSnapshot* next = nullptr;  // where the snapshot changed
  ProxyRegistry* proxies = nullptr;
  std::map<std::uint64_t, AgreedInstance> instances;  // as they say
  std::set<std::uint64_t> members;                    // who belongs
  std::uint64_t applied = 0;                          // by all proxies, as the router was told
  bool first_start = false;
  std::uint32_t format = 1;  // that all instances know
};

// The parts of a decision that differ from the agreed state; basis, term and time are the proposer's to fill
// in.
Decision build_proposal(const ReplicatedState& agreed, const ProposalContext& leading);
// Whether there is anything in it but time.
bool has_changes(const Decision& decision);

}  // namespace myrtlecroft::agreement
