#include "control/publisher.h"

#include <string>
#include <utility>

namespace myrtlecroft::control {

void Publisher::publish(const routing::PublishedSnapshot& published) {
  const Nanos begun = loop_.now();
  auto set = xds::build_resource_set(published, served_.get());
  if (std::string fault = xds::find_inconsistency(*set, served_.get()); !fault.empty()) {
    log_.line("publication " + std::to_string(set->number) + " is inconsistent and not served: " + fault);
    return;
  }
  served_ = std::move(set);
  discovery_.publish(served_);
  const Nanos now = loop_.now();
  pacer_.published(now - begun, now);
}

void Publisher::publish_agreed(const agreement::ControlReplica& replica) {
  auto published = replica.published();
  if (published && (!served_ || served_->number != published->number)) publish(*published);
  Nanos fresh = replica.lease_remaining();
  if (fresh == 0 && published) make_closed_set(*published);
  update_gate(replica.committed_state(), fresh > 0 ? loop_.now() + fresh : 0);
}

// Only when it is needed: until then a new stream is sent nothing.
void Publisher::make_closed_set(const routing::PublishedSnapshot& published) {
  if (closed_ && closed_->number == published.number) return;
  routing::PublishedSnapshot closed = published;
  closed.snapshot.shards.assign(closed.snapshot.shards.size(), routing::kClosed);
  closed_ = xds::build_resource_set(closed, nullptr);
}

// The list of proxies is passed on only where it was agreed on anew.
void Publisher::update_gate(const agreement::ReplicatedState& state, Nanos fresh_until) {
  bool unchanged = gate_epoch_ == state.proxies_epoch();
  gate_epoch_ = state.proxies_epoch();
  if (unchanged) {
    discovery_.extend_gate(fresh_until, closed_);
    return;
  }
  xds::SessionTable::Gate gate{.served = {}, .fresh_until = fresh_until, .closed = closed_};
  for (const auto& [id, disconnected_since] : state.proxies()) {
    if (disconnected_since == agreement::kProxyConnected) gate.served.insert(gate.served.end(), id);
  }
  discovery_.gate(std::move(gate));
}

}  // namespace myrtlecroft::control
