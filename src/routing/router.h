// Puts the decisions together: from the fleet file, what servers and proxies say and the time, one snapshot
// after another. No I/O, no clock of its own.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fleet/fleet.h"
#include "routing/admission.h"
#include "routing/server_registry.h"
#include "routing/shards.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// What must be known again after a restart.
struct PersistedState {
  struct Node {
    std::string name;
    ServerState state = ServerState::kAssumedHealthy;
    std::uint64_t incarnation = 0;
    double weight = 1;
    int flaps = 0;
    std::uint32_t version = 0;  // of the program or its settings, by the server's own word

    bool operator==(const Node&) const = default;
  };
  struct Owner {
    std::string node;  // empty = unknown
    std::uint64_t incarnation = 0;
    bool open = false;

    bool operator==(const Owner&) const = default;
  };
  std::vector<Node> nodes;
  std::vector<Owner> shards;
  Snapshot snapshot;

  bool operator==(const PersistedState&) const = default;
};

class Router {
 public:
  // `first_start`: no proxy was ever served for this fleet, so that no key can have run anywhere.
  Router(fleet::Fleet fleet, std::optional<PersistedState> memory, bool first_start, Nanos now,
         ServerRegistry::Log log);

  void fleet_changed(fleet::Fleet fleet, Nanos now);
  ServerRegistry::Verdict reported(const report::LoadReport& report, Nanos now, std::int64_t unix_now) {
    return registry_.reported(report, now, unix_now);
  }
  void report_link(const std::string& node, bool up, Nanos now) { registry_.report_link(node, up, now); }
  void proxies_say(const ProxyCounts& counts, Nanos now) { registry_.proxies_say(counts, now); }
  // Servers that are out by agreement.
  void call_out(const std::set<std::string>& nodes) { registry_.call_out(nodes); }
  // Every proxy that may still send has applied this publication or a later one.
  void applied(std::uint64_t number) { applied_ = number; }

  // To be called several times a second. A new publication where the snapshot has changed, else null. What
  // must be kept on disk before it is served is in memory().
  // `agreed_now` is the time that windows of closed shards are counted in, where instances agree on one.
  std::shared_ptr<const Published> step(Nanos now, Nanos agreed_now);
  std::shared_ptr<const Published> step(Nanos now) { return step(now, now); }
  // A closed shard cools for at least so long, however short the groups' windows are, and by so much longer
  // than they are: what a clock may be wrong by.
  void quarantine_at_least(Nanos min, Nanos longer) {
    min_window_ = min;
    longer_window_ = longer;
  }
  // How long a closed shard cools; 0: no group needs owners.
  Nanos window() const {
    Nanos longest = fleet_.longest_window();
    return longest > 0 ? std::max(longest + longer_window_, min_window_) : 0;
  }
  // The same without deciding: another instance does. What is heard is kept up with.
  void watch(Nanos now) { registry_.step(now); }
  // The same where nothing was agreed yet: what was concluded and came to nothing is forgotten, what was
  // heard is not.
  void reset(bool first_start);
  // From here on it decides, and goes on from what the instances have agreed on. Whom nobody has heard of
  // here yet has the place that it had. nullptr: nothing was ever published.
  void resume(const std::vector<PersistedState::Node>& nodes, std::vector<Shard> shards,
              std::shared_ptr<const Published> published);

  const std::shared_ptr<const Published>& published() const { return published_; }
  PersistedState memory() const;
  const fleet::Fleet& fleet() const { return fleet_; }
  const ServerRegistry& registry() const { return registry_; }
  const Shards& shards() const { return shards_; }
  const Admission& admission() const { return admission_; }

 private:
  // What was served before, over the fleet file as it is, until enough servers are heard; what keeps it from
  // that.
  std::string show_again(Snapshot snapshot);
  // Whether snapshot() would draw what is published already: told without drawing it, as most steps change
  // nothing. Looks at all that snapshot() draws from.
  bool shows_what_is_published() const;
  Snapshot picture() const;
  std::shared_ptr<const Published> publish(Snapshot next, Nanos now);
  void note_drawn();
  NodeRoute route_to(const ServerStatus& server, const NodeRoute* before) const;
  std::uint32_t told_weight(const ServerStatus& server, const NodeRoute* before) const;
  std::uint32_t told_in_flight(const ServerStatus& server, const NodeRoute* before) const;

  fleet::Fleet fleet_;
  ServerRegistry registry_;
  Shards shards_;
  Admission admission_;
  std::uint64_t applied_ = 0;
  std::shared_ptr<const Published> published_;
  std::uint64_t drawn_layout_ = 0;  // of the members, when `published_` was drawn here; 0: it was not
  std::vector<std::uint32_t> drawn_admitted_;  // what was admitted then
  std::optional<Snapshot> restored_;
  bool restored_shown_ = false;  // `published_` is `restored_`
  Nanos published_at_ = 0;
  Nanos min_window_ = 0;
  Nanos longer_window_ = 0;
  ServerRegistry::Log log_;
  std::string fault_;  // told last
};

}  // namespace myrtlecroft::routing
