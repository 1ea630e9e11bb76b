#include "control/admin_queries.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/admin_names.h"
#include "control/maintenance_rows.h"
#include "routing_state/saved_state.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kMaxNacksPerProxy = 3;      // rejected resources listed in one row
constexpr std::size_t kMaxNackReasonLength = 80;  // characters
constexpr double kNeverReceived = -1;             // value of heard_s_ago

double to_seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

double seconds_since(Nanos time, Nanos now) { return time > 0 ? to_seconds(now - time) : kNeverReceived; }

struct FilterableFields {
  std::string_view zone;
  std::string_view state;
  std::string_view name;
};

bool matches_filter(const AdminQuery& query, const FilterableFields& row) {
  return (query.zone.empty() || query.zone == row.zone) &&
         (query.state.empty() || query.state == row.state) && row.name.starts_with(query.name);
}

ServerRow make_row(const routing::ServerStatus& server, std::uint32_t shards, Nanos now) {
  ServerRow row;
  row.set_name(server.node.name);
  row.set_zone(server.node.zone);
  row.set_address(server.node.address());
  row.set_state(routing_state::stored_name(server.state));
  row.set_in_state_s(to_seconds(now - server.state_since));
  row.set_kept_in(server.kept_in_rotation);
  row.set_heard_s_ago(seconds_since(server.last_report_at, now));
  row.set_mode(server.last_report_at > 0 ? name_of(server.report.mode) : "unknown");
  row.set_cold(server.report.warming_up);
  row.set_window(server.report.window);
  row.set_limit(server.report.limit);
  row.set_held(server.report.queued_requests);
  row.set_weight(server.weight);
  row.set_ramp(server.slow_start_factor);
  row.set_flaps(server.flaps);
  row.set_shards(shards);
  return row;
}

ProxyRow make_row(const xds::ProxyView& proxy) {
  ProxyRow row;
  row.set_id(proxy.id);
  row.set_zone(proxy.zone);
  row.set_peer(proxy.peer);
  row.set_form(proxy.variant == xds::ProtocolVariant::kDelta ? "delta" : "sotw");
  row.set_applied(proxy.applied);
  row.set_acks(proxy.acks);
  row.set_nacks(proxy.nacks);
  for (std::size_t i = 0; i < std::min(kMaxNacksPerProxy, proxy.rejected_resources.size()); ++i) {
    const xds::RejectedResource& nack = proxy.rejected_resources[i];
    row.add_refused(std::string(xds::name_of(nack.type)) + " " + nack.resource + ": " +
                    nack.reason.substr(0, kMaxNackReasonLength));
  }
  return row;
}

std::size_t serialized_size(const std::string& row) { return row.size(); }
std::size_t serialized_size(const google::protobuf::Message& row) { return row.ByteSizeLong(); }

// Keeps the rows that match and are on the requested page.
template <class Row, class RowFilter>
void select_page(google::protobuf::RepeatedPtrField<Row>& rows, Pager& pager, RowFilter matches_row) {
  google::protobuf::RepeatedPtrField<Row> selected;
  for (Row& row : rows) {
    if (matches_row(row) && pager.add_row(serialized_size(row))) selected.Add(std::move(row));
  }
  rows.Swap(&selected);
}

// The lists of servers are larger than the rest of the snapshot and would exceed the size limit of an
// answer. The fleet file has them.
void remove_server_lists(routing_state::Snapshot& snapshot) {
  snapshot.clear_server_lists();
  for (routing_state::RequestClassRoute& request_class : *snapshot.mutable_groups())
    request_class.clear_servers();
}

}  // namespace

AdminAnswer AdminQueries::summary(const ControlStatus& status) const {
  AdminAnswer out;
  out.set_view(routing_state::stored_name(router_.registry().view()));
  out.set_published(status.published);
  out.set_applied_by_all(status.applied_by_all);
  out.set_shards_closed(static_cast<std::uint32_t>(router_.shards().closed()));
  out.set_proxies_gone(static_cast<std::uint32_t>(discovery_.disconnected_count()));
  out.set_disk_fails(status.disk_fails);
  if (replicated_) set_replica_fields(out);
  return out;
}

void AdminQueries::add_rows(const AdminQuery& query, AdminAnswer& answer) const {
  Pager pager(query.page);
  switch (query.topic) {
    case Topic::kServers:
      add_server_rows(query, pager, answer);
      break;
    case Topic::kProxies:
      add_proxy_rows(query, pager, answer);
      break;
    case Topic::kSnapshot:
      add_snapshot(query, pager, answer);
      break;
    case Topic::kMaintenance:
    case Topic::kReleaseStatus:
      add_maintenance(query, pager, answer);
      break;
    case Topic::kInstances:
      break;  // the summary of every answer has the instances
  }
  answer.set_rows(static_cast<std::uint32_t>(pager.rows()));
  answer.set_first_row(static_cast<std::uint32_t>(pager.first_row()));
  answer.set_page(static_cast<std::uint32_t>(query.page));
  answer.set_pages(static_cast<std::uint32_t>(pager.pages()));
  answer.set_rows_left_out(static_cast<std::uint32_t>(pager.rows() - pager.rows_on_requested_page()));
}

void AdminQueries::add_server_rows(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const {
  const std::vector<routing::ServerStatus>& servers = router_.registry().all();
  std::vector<std::uint32_t> shards(servers.size());
  for (const routing::Shard& shard : router_.shards().all()) {
    if (shard.state != routing::ShardState::kOwned) continue;
    int server_index = router_.registry().index_of(shard.owner);
    if (server_index >= 0) ++shards[static_cast<std::size_t>(server_index)];
  }
  for (std::size_t server_index = 0; server_index < servers.size(); ++server_index) {
    const routing::ServerStatus& server = servers[server_index];
    const FilterableFields fields{.zone = server.node.zone,
                                  .state = routing_state::stored_name(server.state),
                                  .name = server.node.name};
    if (!matches_filter(query, fields)) continue;
    ServerRow row = make_row(server, shards[server_index], loop_.now());
    if (pager.add_row(row.ByteSizeLong())) *answer.add_nodes() = std::move(row);
  }
}

void AdminQueries::add_proxy_rows(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const {
  for (const xds::ProxyView& proxy : discovery_.view()) {
    if (!matches_filter(query, {.zone = proxy.zone, .state = "", .name = proxy.id})) continue;
    ProxyRow row = make_row(proxy);
    if (pager.add_row(row.ByteSizeLong())) *answer.add_proxies() = std::move(row);
  }
}

// The rows are servers, then request classes. Shard owners are indices into the list of all servers, not
// into the servers on the page.
void AdminQueries::add_snapshot(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const {
  if (!router_.published()) return;
  routing_state::Snapshot& snapshot = *answer.mutable_snapshot();
  snapshot = routing_state::to_proto(router_.published()->snapshot);
  snapshot.set_number(router_.published()->number);
  select_page(*snapshot.mutable_nodes(), pager, [&](const routing_state::NodeRoute& server) {
    return matches_filter(query, {.zone = server.zone(), .state = server.health(), .name = server.name()});
  });
  bool servers_only = !query.zone.empty() || !query.state.empty();
  select_page(*snapshot.mutable_groups(), pager, [&](const routing_state::RequestClassRoute& request_class) {
    return !servers_only && request_class.name().starts_with(query.name);
  });
  remove_server_lists(snapshot);
}

// The rows are disruption budgets, servers with a maintenance lease, servers drained by operators, and
// servers that failed in the release, in this order.
void AdminQueries::add_maintenance(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const {
  add_maintenance_rows(*replicated_, answer);
  auto has_prefix = [&](const std::string& name) { return name.starts_with(query.name); };
  select_page(*answer.mutable_budgets(), pager, [&](const BudgetRow& row) { return has_prefix(row.name()); });
  select_page(*answer.mutable_trips(), pager,
              [&](const MaintenanceLeaseRow& row) { return has_prefix(row.node()); });
  select_page(*answer.mutable_drains(), pager, has_prefix);
  if (answer.has_release()) select_page(*answer.mutable_release()->mutable_failed(), pager, has_prefix);
}

void AdminQueries::set_replica_fields(AdminAnswer& answer) const {
  const agreement::ControlReplica& replica = replicated_->replica();
  const agreement::ReplicatedState& state = replica.committed_state();
  const consensus::RaftNode& raft = replica.raft_node();
  answer.set_instance(raft.id());
  answer.set_role(consensus::name_of(raft.role()));
  answer.set_leader(raft.leader());
  answer.set_term(raft.term());
  answer.set_epoch(state.epoch().number);
  answer.set_in_touch(replica.has_quorum());
  answer.set_digest(xds::hex(state.digest()));
  answer.set_refused(state.rejected_entries());
  answer.set_left_out(replicated_->links().dropped());
  answer.set_agreed_time_s(to_seconds(state.time()));
  answer.set_disk_fails(raft.disk_failed());
  answer.set_published(state.published());
  answer.set_shards_closed(static_cast<std::uint32_t>(state.closed_shards()));
  for (const consensus::Server& server : raft.servers()) add_instance_row(server, answer);
}

void AdminQueries::add_instance_row(const consensus::Server& server, AdminAnswer& answer) const {
  const agreement::ControlReplica& replica = replicated_->replica();
  const consensus::RaftNode& raft = replica.raft_node();
  InstanceRow& row = *answer.add_instances();
  row.set_id(server.id());
  row.set_address(server.address());
  row.set_part(membership_name(server));
  row.set_leads(server.id() == raft.leader());
  row.set_here(server.id() == raft.id());
  agreement::ControlReplica::PeerStatus reported = replica.peer_status(server.id());
  row.set_applied(row.here() ? answer.epoch() : reported.applied);
  row.set_heard_s_ago(row.here() ? 0 : seconds_since(reported.received_at, loop_.now()));
  auto instance = replica.committed_state().instances().find(server.id());
  if (instance == replica.committed_state().instances().end()) return;
  row.set_format(instance->second.format);
  row.set_settings(xds::hex(instance->second.settings));
}

}  // namespace myrtlecroft::control
