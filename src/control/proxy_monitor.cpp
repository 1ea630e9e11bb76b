#include "control/proxy_monitor.h"

#include <string>

namespace myrtlecroft::control {
namespace {

google::protobuf::RepeatedPtrField<consensus::ProxyStatus> status_of(
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
  pass_load(now);
  pass_applied();
}

void ProxyMonitor::pass_load(Nanos now) {
  for (const ProxyLoad& load : load_reporting_.take()) {
    std::string server = load.node;
    const routing::ServerStatus* listening =
        server.empty() ? router_.registry().server_at_address(load.address) : nullptr;
    if (listening) server = listening->node.name;
    router_.handle_proxy_counts({server, load.issued, load.succeeded, load.failed}, now);
  }
}

void ProxyMonitor::pass_applied() {
  if (!replica_) {
    applied_by_all_ = discovery_.applied_by_all(router_.fleet().bounds.disconnected_proxy_expiry);
    router_.set_applied_by_all_proxies(applied_by_all_);
    return;
  }
  // Read before the proxies are, so that a change meanwhile is seen by the next step.
  std::uint64_t changes = discovery_.changes();
  if (seen_changes_ == changes) {
    replica_->refresh_local_proxies();
  } else {
    replica_->set_local_proxies(status_of(discovery_.view()));
  }
  seen_changes_ = changes;
  applied_by_all_ = replica_->applied_by_all();
}

}  // namespace myrtlecroft::control
