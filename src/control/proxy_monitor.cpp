#include "control/proxy_monitor.h"

#include <string>

namespace myrtlecroft::control {
namespace {

google::protobuf::RepeatedPtrField<consensus::ProxyStatus> to_proxy_statuses(
    const std::vector<xds::ProxyView>& proxies) {
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> out;
  for (const xds::ProxyView& proxy : proxies) {
    if (proxy.id.empty()) continue;
    consensus::ProxyStatus& status = *out.Add();
    status.set_id(proxy.id);
    status.set_applied(proxy.applied);
    status.set_here(true);
  }
  return out;
}

}  // namespace

void ProxyMonitor::step(Nanos now) {
  forward_load(now);
  forward_applied_publication();
}

void ProxyMonitor::forward_load(Nanos now) {
  for (const ProxyLoad& load : load_reporting_.take_loads()) {
    std::string server = load.node;
    const routing::ServerStatus* server_by_address =
        server.empty() ? router_.registry().server_at_address(load.address) : nullptr;
    if (server_by_address) server = server_by_address->node.name;
    router_.handle_proxy_counts({server, load.issued, load.succeeded, load.failed}, now);
  }
}

void ProxyMonitor::forward_applied_publication() {
  if (!replica_) {
    applied_by_all_ = discovery_.applied_by_all(router_.fleet().bounds.disconnected_proxy_expiry);
    router_.set_applied_by_all_proxies(applied_by_all_);
    return;
  }
  // Read before the proxies, so that the next step sees a change made in the meantime.
  std::uint64_t changes = discovery_.changes();
  if (last_seen_changes_ == changes) {
    replica_->refresh_local_proxies();
  } else {
    replica_->set_local_proxies(to_proxy_statuses(discovery_.view()));
  }
  last_seen_changes_ = changes;
  applied_by_all_ = replica_->applied_by_all();
}

}  // namespace myrtlecroft::control
