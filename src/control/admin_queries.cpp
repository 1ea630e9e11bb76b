#include "control/admin_queries.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "routing_state/saved_state.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kRefusalsShown = 3;  // of one proxy
constexpr std::size_t kReasonShown = 80;   // characters

double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

bool matches(const AdminQuery& question, const std::string& zone, std::string_view state,
             const std::string& name) {
  return (question.zone.empty() || question.zone == zone) &&
         (question.state.empty() || question.state == state) && name.starts_with(question.name);
}

ServerRow row_of(const routing::ServerStatus& replica, std::uint32_t shards, Nanos now) {
  ServerRow row;
  row.set_name(replica.node.name);
  row.set_zone(replica.node.zone);
  row.set_address(replica.node.address());
  row.set_state(routing_state::stored_name(replica.state));
  row.set_in_state_s(seconds(now - replica.state_since));
  row.set_kept_in(replica.kept_in_rotation);
  row.set_heard_s_ago(replica.last_report_at > 0 ? seconds(now - replica.last_report_at) : -1);
  row.set_mode(replica.last_report_at > 0 ? name_of(replica.report.mode) : "unknown");
  row.set_cold(replica.report.warming_up);
  row.set_window(replica.report.window);
  row.set_limit(replica.report.limit);
  row.set_held(replica.report.held);
  row.set_weight(replica.weight);
  row.set_ramp(replica.slow_start_factor);
  row.set_flaps(replica.flaps);
  row.set_shards(shards);
  return row;
}

ProxyRow row_of(const xds::ProxyView& proxy) {
  ProxyRow row;
  row.set_id(proxy.id);
  row.set_zone(proxy.zone);
  row.set_peer(proxy.peer);
  row.set_form(proxy.form == xds::Form::kDelta ? "delta" : "sotw");
  row.set_applied(proxy.applied);
  row.set_acks(proxy.acks);
  row.set_nacks(proxy.nacks);
  for (std::size_t i = 0; i < std::min(kRefusalsShown, proxy.refusals.size()); ++i) {
    const xds::Refusal& refusal = proxy.refusals[i];
    row.add_refused(std::string(xds::name_of(refusal.type)) + " " + refusal.resource + ": " +
                    refusal.reason.substr(0, kReasonShown));
  }
  return row;
}

std::size_t bytes_of(const std::string& row) { return row.size(); }
std::size_t bytes_of(const google::protobuf::Message& row) { return row.ByteSizeLong(); }

// Keeps those rows of one list that stand on the page.
template <class Row, class Matches>
void keep_page(google::protobuf::RepeatedPtrField<Row>& rows, Pager& pager, Matches matches_row) {
  google::protobuf::RepeatedPtrField<Row> kept;
  for (Row& row : rows) {
    if (matches_row(row) && pager.next(bytes_of(row))) kept.Add(std::move(row));
  }
  rows.Swap(&kept);
}

// They are longer than all the rest together, and would not fit into an answer; the fleet file has them.
void leave_out_server_lists(routing_state::Snapshot& snapshot) {
  snapshot.clear_server_lists();
  for (routing_state::RequestClassRoute& request_class : *snapshot.mutable_groups())
    request_class.clear_servers();
}

}  // namespace

const char* name_of(Mode mode) {
  constexpr const char* names[] = {"serving", "stalled", "trial", "leaving"};
  return names[static_cast<std::size_t>(mode)];
}

AdminAnswer AdminQueries::any(const AnswerFacts& facts) const {
  AdminAnswer out;
  out.set_view(routing_state::stored_name(router_.registry().view()));
  out.set_published(facts.published);
  out.set_applied_by_all(facts.applied_by_all);
  out.set_shards_closed(static_cast<std::uint32_t>(router_.shards().closed()));
  out.set_proxies_gone(static_cast<std::uint32_t>(discovery_.gone()));
  out.set_disk_fails(facts.disk_fails);
  if (agreed_) fill_instances(out);
  return out;
}

AdminAnswer AdminQueries::to(std::string_view line, const AnswerFacts& facts) const {
  AdminAnswer out = any(facts);
  AdminQuery question;
  std::string fault;
  Reading reading = read_question(line, question, fault);
  bool of_several = question.topic == Topic::kInstances || question.topic == Topic::kOutings ||
                    question.topic == Topic::kReleaseStatus;
  if (reading == Reading::kBadOption) {
    out.set_error(fault);
  } else if (reading == Reading::kGood && (agreed_ || !of_several)) {
    fill(question, out);
  } else {
    out.set_error(agreed_ ? other_command(line) : "unknown question; there are nodes, proxies and snapshot");
    if (out.error().empty()) out.set_done("under way");
  }
  return out;
}

void AdminQueries::fill(const AdminQuery& question, AdminAnswer& answer) const {
  Pager pager(question.page);
  switch (question.topic) {
    case Topic::kNodes:
      fill_nodes(question, pager, answer);
      break;
    case Topic::kProxies:
      fill_proxies(question, pager, answer);
      break;
    case Topic::kSnapshot:
      fill_snapshot(question, pager, answer);
      break;
    case Topic::kOutings:
    case Topic::kReleaseStatus:
      fill_outings(question, pager, answer);
      break;
    case Topic::kInstances:
      break;  // any answer has them
  }
  answer.set_rows(static_cast<std::uint32_t>(pager.rows()));
  answer.set_first_row(static_cast<std::uint32_t>(pager.first()));
  answer.set_page(static_cast<std::uint32_t>(question.page));
  answer.set_pages(static_cast<std::uint32_t>(pager.pages()));
  answer.set_rows_left_out(static_cast<std::uint32_t>(pager.rows() - pager.shown()));
}

void AdminQueries::fill_nodes(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const {
  const std::vector<routing::ServerStatus>& members = router_.registry().all();
  std::vector<std::uint32_t> shards(members.size());
  for (const routing::Shard& shard : router_.shards().all()) {
    int place = shard.state == routing::ShardState::kOwned ? router_.registry().place_of(shard.owner) : -1;
    if (place >= 0) ++shards[static_cast<std::size_t>(place)];
  }
  for (std::size_t place = 0; place < members.size(); ++place) {
    const routing::ServerStatus& replica = members[place];
    if (!matches(question, replica.node.zone, routing_state::stored_name(replica.state), replica.node.name))
      continue;
    ServerRow row = row_of(replica, shards[place], loop_.now());
    if (pager.next(row.ByteSizeLong())) *answer.add_nodes() = std::move(row);
  }
}

void AdminQueries::fill_proxies(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const {
  for (const xds::ProxyView& proxy : discovery_.view()) {
    if (!matches(question, proxy.zone, "", proxy.id)) continue;
    ProxyRow row = row_of(proxy);
    if (pager.next(row.ByteSizeLong())) *answer.add_proxies() = std::move(row);
  }
}

// Servers, then request classes. Owners of shards are places among all servers, whichever are shown.
void AdminQueries::fill_snapshot(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const {
  if (!router_.published()) return;
  routing_state::Snapshot& snapshot = *answer.mutable_snapshot();
  snapshot = routing_state::to_proto(router_.published()->snapshot);
  snapshot.set_number(router_.published()->number);
  keep_page(*snapshot.mutable_nodes(), pager, [&](const routing_state::NodeRoute& node) {
    return matches(question, node.zone(), node.health(), node.name());
  });
  bool of_nodes = !question.zone.empty() || !question.state.empty();
  keep_page(*snapshot.mutable_groups(), pager, [&](const routing_state::RequestClassRoute& request_class) {
    return !of_nodes && request_class.name().starts_with(question.name);
  });
  leave_out_server_lists(snapshot);
}

// Budgets, then servers that are out or chosen to be, held empty, or failed.
void AdminQueries::fill_outings(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const {
  operators_->fill(answer);
  auto named = [&](const std::string& name) { return name.starts_with(question.name); };
  keep_page(*answer.mutable_budgets(), pager, [&](const BudgetRow& row) { return named(row.name()); });
  keep_page(*answer.mutable_trips(), pager,
            [&](const MaintenanceLeaseRow& row) { return named(row.node()); });
  keep_page(*answer.mutable_drains(), pager, named);
  if (answer.has_release()) keep_page(*answer.mutable_release()->mutable_failed(), pager, named);
}

void AdminQueries::fill_instances(AdminAnswer& answer) const {
  const agreement::ControlReplica& instance = agreed_->replica();
  const consensus::RaftNode& replica = instance.raft_node();
  answer.set_instance(replica.id());
  answer.set_role(consensus::name_of(replica.role()));
  answer.set_leader(replica.leader());
  answer.set_term(replica.term());
  answer.set_epoch(instance.agreed().epoch().number);
  answer.set_in_touch(instance.has_quorum());
  answer.set_digest(xds::hex(instance.agreed().digest()));
  answer.set_refused(instance.agreed().rejected_entries());
  answer.set_left_out(agreed_->links().left_out());
  answer.set_agreed_time_s(seconds(instance.agreed().time()));
  answer.set_disk_fails(replica.disk_failed());
  answer.set_published(instance.agreed().published());
  answer.set_shards_closed(static_cast<std::uint32_t>(instance.agreed().closed_shards()));
  for (const consensus::Server& server : replica.servers()) {
    InstanceRow& row = *answer.add_instances();
    row.set_id(server.id());
    row.set_address(server.address());
    row.set_part(server.role() == RAFT_VOTER     ? "votes"
                 : server.role() == RAFT_STANDBY ? "hears"
                                                 : "named only");
    row.set_leads(server.id() == replica.leader());
    row.set_here(server.id() == replica.id());
    agreement::ControlReplica::PeerStatus said = instance.peer_status(server.id());
    row.set_applied(row.here() ? answer.epoch() : said.applied);
    row.set_heard_s_ago(row.here() ? 0 : said.received_at > 0 ? seconds(loop_.now() - said.received_at) : -1);
    auto agreed = instance.agreed().instances().find(server.id());
    if (agreed == instance.agreed().instances().end()) continue;
    row.set_format(agreed->second.format);
    row.set_settings(xds::hex(agreed->second.settings));
  }
}

// "let-in 4 127.0.0.1:7404", "let-out 2" and "hand-on"; what is wrong with one, or empty.
std::string AdminQueries::other_command(std::string_view command) const {
  std::istringstream words{std::string(command)};
  std::string word;
  std::uint64_t id = 0;
  std::string address;
  words >> word >> id >> address;
  if (word == "let-in" && id > 0 && !address.empty()) return agreed_->replica().add_member(id, address);
  if (word == "let-out" && id > 0) return agreed_->replica().remove_member(id);
  if (word != "hand-on")
    return "unknown question; there are nodes, proxies, snapshot, instances, outings and release status";
  if (!agreed_->replica().raft_node().is_leader()) return "this instance does not lead";
  agreed_->transfer_leadership([] {});
  return "";
}

}  // namespace myrtlecroft::control
