#include "control/publisher.h"

#include <string>
#include <utility>

namespace myrtlecroft::control {

void Publisher::publish(const routing::PublishedSnapshot& published) {
  const Nanos started_at = loop_.now();
  auto set = xds::build_resource_set(published, served_set_.get());
  if (std::string inconsistency = xds::find_inconsistency(*set, served_set_.get()); !inconsistency.empty()) {
    log_.line("publication " + std::to_string(set->number) +
              " is inconsistent and not served: " + inconsistency);
    return;
  }
  served_set_ = std::move(set);
  discovery_.publish(served_set_);
  const Nanos now = loop_.now();
  pacer_.record_publication(now - started_at, now);
}

void Publisher::publish_agreed(const agreement::ControlReplica& replica) {
  auto published = replica.published();
  if (published && (!served_set_ || served_set_->number != published->number)) publish(*published);
  Nanos lease_remaining = replica.lease_remaining();
  if (lease_remaining == 0 && published) build_closed_set(*published);
  update_gate(replica.committed_state(), lease_remaining > 0 ? loop_.now() + lease_remaining : 0);
}

// Built only when the leader lease has expired. Until the set exists, a new stream is sent nothing.
void Publisher::build_closed_set(const routing::PublishedSnapshot& published) {
  if (closed_set_ && closed_set_->number == published.number) return;
  routing::PublishedSnapshot closed = published;
  closed.snapshot.shards.assign(closed.snapshot.shards.size(), routing::kClosed);
  closed_set_ = xds::build_resource_set(closed, nullptr);
}

// Passes on the list of proxies only if the replicas have agreed on another one.
void Publisher::update_gate(const agreement::ReplicatedState& state, Nanos fresh_until) {
  bool unchanged = gate_epoch_ == state.proxies_epoch();
  gate_epoch_ = state.proxies_epoch();
  if (unchanged) {
    discovery_.extend_gate(fresh_until, closed_set_);
    return;
  }
  xds::SessionTable::Gate gate{.served = {}, .fresh_until = fresh_until, .closed = closed_set_};
  for (const auto& [id, disconnected_since] : state.proxies()) {
    if (disconnected_since == agreement::kProxyConnected) gate.served.insert(gate.served.end(), id);
  }
  discovery_.gate(std::move(gate));
}

}  // namespace myrtlecroft::control
