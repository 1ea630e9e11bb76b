#include "control/admin_commands.h"

#include <utility>
#include <vector>

#include "releases/disruption_budget.h"
#include "releases/operator_commands.h"
#include "releases/rollout_plan.h"

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kLargestAnswer = std::size_t{240} << 10;  // bytes
constexpr Nanos kLongestCommand = 4000 * kMs;                   // shorter than a caller waits

double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

const char* name_of(agreement::MaintenanceReason why) {
  return why == agreement::REASON_DRAIN ? "drain" : why == agreement::REASON_RELEASE ? "release" : "way back";
}

}  // namespace

// A connection is ended, with nothing told, once more than some 260 kB wait on it.
void write_answer(net::Connection& connection, const AdminAnswer& answer) {
  std::string body = answer.SerializeAsString();
  if (body.size() > kLargestAnswer) {
    AdminAnswer refused;
    refused.set_error("the answer has " + std::to_string(body.size()) + " bytes, more than " +
                      std::to_string(kLargestAnswer) + ": ask for less of it");
    body = refused.SerializeAsString();
  }
  std::string length;
  for (int shift = 24; shift >= 0; shift -= 8) length += static_cast<char>(body.size() >> shift & 0xff);
  connection.write(length + body);
  connection.linger(net::Reason::kDone);
}

bool AdminCommands::is_command(std::string_view question) {
  for (std::string_view word : {"drain ", "undrain ", "release start ", "release halt", "release resume",
                                "release back", "release end"}) {
    if (question.starts_with(word)) return true;
  }
  return false;
}

void AdminCommands::finish(Waiting& one, const std::string& said) {
  bool refused = said.starts_with(releases::kCommandRejected);
  refused ? one.answer.set_error(said.substr(releases::kCommandRejected.size())) : one.answer.set_done(said);
  write_answer(*one.connection, one.answer);
}

void AdminCommands::ask(FrameServer::Id id, net::Connection& connection, const std::string& command,
                        AdminAnswer answer) {
  Waiting one{.connection = &connection,
              .command = 0,
              .until = loop_.now() + kLongestCommand,
              .answer = std::move(answer)};
  agreement::ControlReplica& instance = agreed_.replica();
  if (!instance.has_quorum())
    return finish(one, releases::kCommandRejected +
                           "this instance is out of touch with a majority, and nothing is permitted");
  for (const auto& [other, known] : instance.agreed().instances()) {
    if (known.format < agreement::kMaintenanceFormat)
      return finish(
          one, releases::kCommandRejected + "instance " + std::to_string(other) + " knows no releases yet");
  }
  one.command = instance.submit_command(command);
  waiting_[id] = std::move(one);
}

void AdminCommands::gone(FrameServer::Id id) {
  auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  agreed_.replica().forget_command(found->second.command);
  waiting_.erase(found);
}

void AdminCommands::tick() {
  for (auto one = waiting_.begin(); one != waiting_.end();) {
    const agreement::CommandResult* result =
        agreed_.replica().agreed().maintenance().result(one->second.command);
    if (!result && loop_.now() < one->second.until) {
      ++one;
      continue;
    }
    // It may be with a leader that is still to have it agreed, or never will.
    if (!result) agreed_.replica().forget_command(one->second.command);
    finish(one->second,
           result ? result->said()
                  : releases::kCommandRejected +
                        "not agreed in time; it may still come to be: see 'release status' and 'outings'");
    one = waiting_.erase(one);
  }
}

void AdminCommands::fill(AdminAnswer& answer) const {
  const agreement::ControlReplica& instance = agreed_.replica();
  const agreement::ReplicatedState& state = instance.agreed();
  const agreement::MaintenanceState& outings = state.maintenance();
  std::set<std::string> chosen;
  for (const auto& [node, trip] : outings.leases()) {
    chosen.insert(node);
    MaintenanceLeaseRow& row = *answer.add_trips();
    row.set_node(node);
    row.set_why(name_of(trip.reason));
    row.set_place(agreement::name_of(trip.phase));
    row.set_version(trip.version);
    row.set_in_place_s(seconds(state.time() - trip.since));
    row.set_permit_s(seconds(trip.until - state.time()));
  }
  for (const std::string& node : outings.drains()) answer.add_drains(node);
  const routing::Router& router = instance.router();
  for (const releases::DisruptionBudget::Usage& one :
       releases::DisruptionBudget(router.fleet(), router.registry().all(), chosen).usage()) {
    BudgetRow& row = *answer.add_budgets();
    row.set_name(one.name);
    row.set_most(one.max);
    row.set_out(one.out);
    row.set_chosen(one.chosen);
    row.set_all(one.all);
  }
  const agreement::Release& release = outings.release();
  if (release.id() == 0) return;
  ReleaseRow& row = *answer.mutable_release();
  row.set_id(release.id());
  row.set_name(release.plan().name());
  row.set_version(release.plan().version());
  row.set_phase(agreement::name_of(release.phase()));
  row.set_wave(release.wave() + 1);
  row.set_waves(releases::wave_count(release.plan()));
  row.set_reason(release.reason());
  row.set_age_s(seconds(state.time() - release.started_ns()));
  row.set_in_phase_s(seconds(state.time() - release.since_ns()));
  double all = 0;
  double with = 0;
  for (const routing::ServerStatus& server : router.registry().all()) {
    bool has = server.version == release.plan().version();
    all += server.node.capacity;
    with += has ? server.node.capacity : 0;
    row.set_nodes(row.nodes() + 1);
    row.set_nodes_with(row.nodes_with() + has);
  }
  row.set_reached(all > 0 ? with / all : 0);
  for (const agreement::UpdatedServer& one : release.taken()) {
    if (!one.failed().empty()) row.add_failed(one.node() + ": " + one.failed());
  }
  row.set_outlook(outings.release_in_progress() ? agreed_.rollout().status_detail() : "");
  row.set_left_s(outings.release_in_progress() ? left_s(row, release.phase() == agreement::PHASE_ROLLING_BACK)
                                               : -1);
}

// As fast as it went so far; before the first server is there nobody knows.
double AdminCommands::left_s(const ReleaseRow& row, bool back) {
  if (row.reached() <= 0) return -1;
  double share = back ? row.reached() : 1 - row.reached();
  double done = back ? 1 - row.reached() : row.reached();
  return done > 0 ? (back ? row.in_phase_s() : row.age_s()) * share / done : -1;
}

}  // namespace myrtlecroft::control
