#include "releases/rollout_controller.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <utility>

#include "agreement/replicated_state.h"
#include "releases/rollout_plan.h"

namespace myrtlecroft::releases {
namespace {

using agreement::Decision;
using agreement::MaintenanceLease;
using agreement::MaintenancePhase;
using agreement::MaintenanceState;
using agreement::Phase;
using agreement::Plan;
using agreement::Release;
using agreement::UpdatedServer;
using routing::ServerStatus;

constexpr Nanos kNoMajorityFor = 5000 * kMs;  // of nothing agreed: a release then waits for its operators
constexpr Nanos kMargin = 5000 * kMs;         // of a permit, beyond what its steps may take
constexpr unsigned kLooks = 4;                // of one phase, at a version that may be bad
constexpr int kMaxShown = 3;                  // servers named in a reason
constexpr double kMinRan = 20;                // lately, at what uses a service, to say how it fares

double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

std::string listed(const std::vector<std::string>& names) {
  std::string out;
  for (std::size_t i = 0; i < names.size() && i < kMaxShown; ++i) out += (i ? ", " : "") + names[i];
  if (names.size() > kMaxShown) out += " and " + std::to_string(names.size() - kMaxShown) + " more";
  return out;
}

// A server, else a zone's servers, else those that use a service.
std::vector<std::string> nodes_called(const fleet::Fleet& fleet, const std::string& name) {
  if (fleet.node(name)) return {name};
  std::vector<std::string> out;
  for (const fleet::Node& node : fleet.nodes) {
    if (node.zone == name) out.push_back(node.name);
  }
  for (const fleet::Service& service : fleet.services) {
    if (out.empty() && service.name == name) return service.used_by;
  }
  return out;
}

}  // namespace

struct RolloutController::RolloutContext {
  explicit RolloutContext(const View& of)
      : view(of), outings(of.agreed.outings()), release(outings.release()), plan(release.plan()) {
    for (const ServerStatus& server : of.router.registry().all()) servers[server.node.name] = &server;
    for (const auto& [node, lease] : outings.leases()) chosen.insert(node);
    for (const UpdatedServer& one : release.taken()) taken[one.node()] = &one;
  }
  const ServerStatus* server(const std::string& node) const {
    auto found = servers.find(node);
    return found == servers.end() ? nullptr : found->second;
  }
  Nanos in_place(const MaintenanceLease& lease) const { return view.time - lease.since; }
  bool has_version(const ServerStatus& server) const { return server.version == plan.version(); }
  bool any_out(agreement::Why why) const {
    return std::any_of(outings.leases().begin(), outings.leases().end(),
                       [why](const auto& one) { return one.second.why == why; });
  }

  const View& view;
  const MaintenanceState& outings;
  const Release& release;
  const Plan& plan;
  std::map<std::string, const ServerStatus*> servers;
  std::set<std::string> chosen;
  std::map<std::string, const UpdatedServer*> taken;
};

// ---- A server that is out: the first row that applies is taken

const std::vector<RolloutController::TripRow> RolloutController::kTrips = {
    {MaintenancePhase::kEmptying, &RolloutController::other_incarnation, agreement::TRIP_CALL_BACK, ""},
    {MaintenancePhase::kEmptying, &RolloutController::emptied, agreement::TRIP_EMPTIED, ""},
    {MaintenancePhase::kEmptying, &RolloutController::empty_late, agreement::TRIP_CALL_BACK,
     "not empty in time"},
    {MaintenancePhase::kEmpty, &RolloutController::other_incarnation, agreement::TRIP_CALL_BACK, ""},
    {MaintenancePhase::kEmpty, &RolloutController::to_be_ordered, agreement::TRIP_ORDER, ""},
    {MaintenancePhase::kOrdered, &RolloutController::back_as_wanted, agreement::TRIP_CAME_BACK, ""},
    {MaintenancePhase::kOrdered, &RolloutController::other_incarnation, agreement::TRIP_GIVE_UP,
     "back in another version"},
    {MaintenancePhase::kOrdered, &RolloutController::back_late_but_there, agreement::TRIP_CALL_BACK,
     "did not go"},
    {MaintenancePhase::kOrdered, &RolloutController::back_late, agreement::TRIP_GIVE_UP, "did not come back"},
    {MaintenancePhase::kWarming, &RolloutController::serving, agreement::TRIP_WARM, ""},
    {MaintenancePhase::kWarming, &RolloutController::warm_late, agreement::TRIP_GIVE_UP, "not warm in time"},
    {MaintenancePhase::kReturning, &RolloutController::other_incarnation, agreement::TRIP_CAME_BACK, ""},
    {MaintenancePhase::kReturning, &RolloutController::stayed, agreement::TRIP_WARM, ""},
    {MaintenancePhase::kReturning, &RolloutController::warm_late, agreement::TRIP_GIVE_UP,
     "called back, and not in service"},
};

bool RolloutController::other_incarnation(const RolloutContext& context, const std::string& node,
                                          const MaintenanceLease& lease) const {
  const ServerStatus* server = context.server(node);
  return server && server->heard_at > 0 && server->incarnation != lease.incarnation;
}

// Heard of after it was shown out to every proxy.
bool RolloutController::emptied(const RolloutContext& context, const std::string& node,
                                const MaintenanceLease& lease) const {
  const ServerStatus* server = context.server(node);
  bool told = lease.shown_in != 0 && context.view.applied >= lease.shown_in;
  return told && server && server->heard_at > 0 && server->report.held == 0 && server->report.running == 0;
}

bool RolloutController::empty_late(const RolloutContext& context, const std::string&,
                                   const MaintenanceLease& lease) const {
  // What operators want empty stays called out: only a release goes on without it.
  return lease.why != agreement::WHY_DRAIN && context.in_place(lease) >= context.plan.empty_within_ns();
}

bool RolloutController::to_be_ordered(const RolloutContext& context, const std::string& node,
                                      const MaintenanceLease& lease) const {
  const ServerStatus* server = context.server(node);
  return lease.why != agreement::WHY_DRAIN && server && server->report.obeys;
}

bool RolloutController::back_as_wanted(const RolloutContext& context, const std::string& node,
                                       const MaintenanceLease& lease) const {
  return other_incarnation(context, node, lease) && context.server(node)->version == lease.version;
}

bool RolloutController::back_late(const RolloutContext& context, const std::string&,
                                  const MaintenanceLease& lease) const {
  return context.in_place(lease) >= context.plan.back_within_ns();
}

bool RolloutController::back_late_but_there(const RolloutContext& context, const std::string& node,
                                            const MaintenanceLease& lease) const {
  const ServerStatus* server = context.server(node);
  return back_late(context, node, lease) && server && server->incarnation == lease.incarnation &&
         !server->report.draining &&
         context.view.now - server->heard_at <= context.view.router.fleet().bounds.lost_after;
}

bool RolloutController::serving(const RolloutContext& context, const std::string& node,
                                const MaintenanceLease&) const {
  const ServerStatus* server = context.server(node);
  return server && server->whole();
}

// One that had its order may be on its way out without anybody knowing yet.
bool RolloutController::stayed(const RolloutContext& context, const std::string& node,
                               const MaintenanceLease& lease) const {
  return serving(context, node, lease) && context.server(node)->report.epoch.number >= lease.recalled;
}

bool RolloutController::warm_late(const RolloutContext& context, const std::string&,
                                  const MaintenanceLease& lease) const {
  Nanos limit = lease.why == agreement::WHY_DRAIN ? context.view.router.fleet().outings.permit_lasts
                                                  : context.plan.warm_within_ns();
  return context.in_place(lease) >= limit;
}

void RolloutController::draft_trips(const RolloutContext& context, Decision& out) {
  Nanos lasts = context.view.router.fleet().outings.permit_lasts;
  for (const auto& [node, lease] : context.outings.leases()) {
    agreement::MaintenanceStep step;
    for (const TripRow& row : kTrips) {
      if (row.place != lease.place || !(this->*row.when)(context, node, lease)) continue;
      step.set_input(row.input);
      step.set_reason(row.reason);
      break;
    }
    bool drained = lease.why == agreement::WHY_DRAIN && context.outings.drains().contains(node);
    if (step.input() == agreement::TRIP_NONE && drained && lease.until - context.view.time < lasts / 2) {
      step.set_input(agreement::TRIP_EXTEND);
      step.set_for_ns(lasts);
    }
    if (step.input() == agreement::TRIP_NONE) continue;
    step.set_node(node);
    *out.add_trips() = step;
  }
}

// ---- A release: the first row that applies is taken

const std::vector<RolloutController::ReleaseRow> RolloutController::kReleases = {
    {agreement::PHASE_ROLLING, &RolloutController::no_majority_for_long, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &RolloutController::bad_goes_back, agreement::RELEASE_GO_BACK},
    {agreement::PHASE_ROLLING, &RolloutController::bad_halts, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &RolloutController::failed_goes_back, agreement::RELEASE_GO_BACK},
    {agreement::PHASE_ROLLING, &RolloutController::failed_halts, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &RolloutController::alarm_below, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &RolloutController::starved, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &RolloutController::wave_is_back, agreement::RELEASE_WAVE_BACK},

    {agreement::PHASE_SOAKING, &RolloutController::no_majority_for_long, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, &RolloutController::bad_goes_back, agreement::RELEASE_GO_BACK},
    {agreement::PHASE_SOAKING, &RolloutController::bad_halts, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, &RolloutController::alarm_below, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, &RolloutController::good_and_last, agreement::RELEASE_FINISH},
    {agreement::PHASE_SOAKING, &RolloutController::good, agreement::RELEASE_NEXT_WAVE},
    {agreement::PHASE_SOAKING, &RolloutController::not_known_for_long, agreement::RELEASE_HALT},

    {agreement::PHASE_BACK, &RolloutController::no_majority_for_long, agreement::RELEASE_HALT},
    {agreement::PHASE_BACK, &RolloutController::all_went_back, agreement::RELEASE_IS_BACK},
};

std::optional<std::string> RolloutController::no_majority_for_long(const RolloutContext&) {
  if (gap_ < kNoMajorityFor) return std::nullopt;
  char line[80];
  std::snprintf(line, sizeof line, "no majority for %.1f s", seconds(gap_));
  return line;
}

std::optional<std::string> RolloutController::alarm_below(const RolloutContext& context) {
  for (const auto& [name, below] : below_) {
    if (below.above_since == 0 || context.view.now - below.above_since < context.plan.alarm_for_ns())
      continue;
    char line[160];
    std::snprintf(line, sizeof line, "service %s: %.0f%% not in time, %.0f%% at the start", name.c_str(),
                  100 * below.now, 100 * below.at_start);
    return line;
  }
  return std::nullopt;
}

std::optional<std::string> RolloutController::failures(const RolloutContext& context) const {
  std::vector<std::string> failed;
  for (const UpdatedServer& one : context.release.taken()) {
    if (!one.failed().empty()) failed.push_back(one.node() + " (" + one.failed() + ")");
  }
  if (failed.size() <= context.plan.most_failed()) return std::nullopt;
  return listed(failed);
}

std::optional<std::string> RolloutController::failed_goes_back(const RolloutContext& context) {
  return context.plan.way_back() ? failures(context) : std::nullopt;
}

std::optional<std::string> RolloutController::failed_halts(const RolloutContext& context) {
  return failures(context);
}

// Looked at a few times in a phase only: each look could be wrong once in so many times.
const AnalysisResult& RolloutController::finding(const RolloutContext& context) {
  Nanos every = context.plan.soak_ns() / kLooks;
  if (context.view.now - found_at_ < every) return finding_;
  found_at_ = context.view.now;
  std::set<std::string> fresh;
  std::set<std::string> others;
  for (const auto& [node, server] : context.servers) {
    if (context.has_version(*server)) {
      fresh.insert(node);
    } else if (!context.chosen.contains(node)) {
      others.insert(node);
    }
  }
  // Those that wait are too few to compare with: what is left to watch is the services below.
  if (others.size() < kMinOthers) {
    finding_ = {Verdict::kGood, ""};
  } else if (fresh.empty()) {
    finding_ = {};
  } else {
    unsigned phases = 2 * wave_count(context.plan);
    finding_ = judge_.look(context.plan, context.view.router.registry().all(), fresh, others, kLooks * phases,
                           context.view.now);
  }
  if (!finding_.why.empty()) status_detail_ = finding_.why;
  return finding_;
}

std::optional<std::string> RolloutController::bad_halts(const RolloutContext& context) {
  const AnalysisResult& found = finding(context);
  return found.verdict == Verdict::kBad ? std::optional(found.why) : std::nullopt;
}

std::optional<std::string> RolloutController::bad_goes_back(const RolloutContext& context) {
  return context.plan.way_back() ? bad_halts(context) : std::nullopt;
}

// Nobody could go out for as long as a whole restart may take.
std::optional<std::string> RolloutController::starved(const RolloutContext& context) {
  Nanos since = std::max(last_grant_, judge_.begun());
  if (context.any_out(agreement::WHY_RELEASE) || refusal_.empty() ||
      context.view.now - since < context.plan.back_within_ns())
    return std::nullopt;
  return "nobody may go out: " + refusal_;
}

std::optional<std::string> RolloutController::wave_is_back(const RolloutContext& context) {
  bool back = !context.any_out(agreement::WHY_RELEASE) && waiting(context).empty();
  return back ? std::optional(std::string()) : std::nullopt;
}

std::optional<std::string> RolloutController::good(const RolloutContext& context) {
  if (context.view.now - judge_.begun() < context.plan.soak_ns()) return std::nullopt;
  return finding(context).verdict == Verdict::kGood ? std::optional(std::string()) : std::nullopt;
}

std::optional<std::string> RolloutController::good_and_last(const RolloutContext& context) {
  if (context.release.wave() + 1 < wave_count(context.plan) || !good(context)) return std::nullopt;
  std::vector<std::string> left;
  for (const auto& [node, server] : context.servers) {
    if (!context.has_version(*server)) left.push_back(node);
  }
  return left.empty() ? "" : "not in this version: " + listed(left);
}

std::optional<std::string> RolloutController::not_known_for_long(const RolloutContext& context) {
  if (context.view.now - judge_.begun() < context.plan.longest_soak_ns()) return std::nullopt;
  return "not known to be good: " + finding_.why;
}

std::optional<std::string> RolloutController::all_went_back(const RolloutContext& context) {
  if (context.any_out(agreement::WHY_RELEASE) || context.any_out(agreement::WHY_BACK)) return std::nullopt;
  if (!waiting(context).empty()) return std::nullopt;
  std::vector<std::string> left;
  for (const UpdatedServer& one : context.release.taken()) {
    const ServerStatus* server = context.server(one.node());
    if (server && server->version != one.from_version()) left.push_back(one.node());
  }
  return left.empty() ? context.release.reason()
                      : context.release.reason() + "; not back in their version: " + listed(left);
}

void RolloutController::draft_release(const RolloutContext& context, Decision& out) {
  for (const ReleaseRow& row : kReleases) {
    if (row.phase != context.release.phase()) continue;
    std::optional<std::string> why = (this->*row.when)(context);
    if (!why) continue;
    out.mutable_release()->set_input(row.input);
    out.mutable_release()->set_reason(*why);
    return;
  }
}

// ---- Who goes out next

// In the order in which they should go; empty: nobody waits.
std::vector<std::string> RolloutController::waiting(const RolloutContext& context) const {
  std::vector<std::string> out;
  if (context.release.phase() == agreement::PHASE_BACK) {
    // The newest first: what went last has been looked at least.
    for (auto one = context.release.taken().rbegin(); one != context.release.taken().rend(); ++one) {
      const ServerStatus* server = context.server(one->node());
      bool there = server && server->heard_at > 0 && server->report.obeys;
      if (there && one->failed().empty() && server->version != one->from_version() &&
          !context.chosen.contains(one->node()))
        out.push_back(one->node());
    }
    return out;
  }
  if (context.release.phase() != agreement::PHASE_ROLLING) return out;
  std::uint64_t all = 0;
  std::uint64_t reached = 0;
  unsigned taken = 0;
  std::map<std::string, int> zones;  // how many of a zone are listed
  std::multimap<int, std::pair<std::string, std::uint64_t>> spread;
  for (const ServerStatus& server : context.view.router.registry().all()) {
    std::uint64_t capacity = capacity_of(server.node);
    all += capacity;
    const MaintenanceLease* lease = context.outings.lease(server.node.name);
    auto before = context.taken.find(server.node.name);
    bool failed = before != context.taken.end() && !before->second->failed().empty();
    bool has = context.has_version(server) || (lease && lease->why == agreement::WHY_RELEASE);
    if (has || failed) {
      reached += capacity;
      ++taken;
    } else if (!lease && server.whole() && server.report.obeys) {
      spread.emplace(zones[server.node.zone]++, std::make_pair(server.node.name, capacity));
    }
  }
  std::uint32_t wave = context.release.wave();
  std::uint64_t wanted = wave == 0 ? all : all * context.plan.waves(static_cast<int>(wave) - 1) / 1000;
  for (const auto& [place, node] : spread) {
    bool enough = wave == 0 ? taken >= context.plan.first_nodes() : reached + node.second > wanted;
    if (enough) break;
    out.push_back(node.first);
    reached += node.second;
    ++taken;
  }
  return out;
}

void RolloutController::draft_grants(const RolloutContext& context, Decision& out) {
  refusal_.clear();
  // Whoever sees only a part of the fleet lets nobody go.
  if (context.view.router.registry().view() != routing::View::kClear) {
    refusal_ = "too few nodes are heard";
    return;
  }
  DisruptionBudget room(context.view.router.fleet(), context.view.router.registry().all(), context.chosen);
  auto grant = [&](const std::string& node, agreement::Why why, std::uint32_t version, Nanos lasts,
                   double reserve) {
    std::string refusal = room.refusal(node, reserve);
    if (!refusal.empty()) {
      if (refusal_.empty()) refusal_ = node + " waits; " + refusal;
      return;
    }
    room.take(node);
    last_grant_ = context.view.now;
    agreement::MaintenanceStep& step = *out.add_trips();
    step.set_node(node);
    step.set_input(agreement::TRIP_GRANT);
    step.set_why(why);
    step.set_version(version);
    step.set_for_ns(lasts);
  };
  const fleet::Outings& options = context.view.router.fleet().outings;
  for (const std::string& node : context.outings.drains()) {
    const ServerStatus* server = context.server(node);
    if (server && server->heard_at > 0 && !context.chosen.contains(node))
      grant(node, agreement::WHY_DRAIN, 0, options.permit_lasts, options.reserve);
  }
  if (!context.outings.under_way()) return;
  const Plan& plan = context.plan;
  Nanos lasts = plan.empty_within_ns() + plan.back_within_ns() + plan.warm_within_ns() + kMargin;
  bool back = context.release.phase() == agreement::PHASE_BACK;
  for (const std::string& node : waiting(context)) {
    // Nobody but operators takes out what they hold empty, and nobody twice.
    if (context.outings.drains().contains(node)) continue;
    std::uint32_t version = back ? context.taken.at(node)->from_version() : plan.version();
    grant(node, back ? agreement::WHY_BACK : agreement::WHY_RELEASE, version, lasts, plan.reserve() / 1000.0);
  }
}

// ---- Operators

// One command a decision, so that each is judged by what the one before has changed.
void RolloutController::draft_command(const RolloutContext& context, Decision& out) {
  for (const auto& [id, text] : context.view.commands) {
    if (context.outings.result(id)) continue;
    std::istringstream words(text);
    std::string what;
    std::string name;
    std::string rest;
    words >> what >> name;
    std::getline(words >> std::ws, rest);
    std::string said = kCommandRejected + "unknown command";
    if (what == "drain" || what == "undrain") said = drain(context, name, what == "drain", out);
    if (what == "release") said = release(context, name, rest, out);
    agreement::CommandResult& result = *out.add_results();
    result.set_id(id);
    result.set_said(said);
    log_("command '" + text.substr(0, 64) + "': " + said);
    return;
  }
}

std::string RolloutController::drain(const RolloutContext& context, const std::string& name, bool wanted,
                                     Decision& out) {
  const fleet::Fleet& fleet = context.view.router.fleet();
  std::vector<std::string> nodes = nodes_called(fleet, name);
  if (nodes.empty()) return kCommandRejected + ("no node, zone or service is named '" + name + "'");
  int changed = 0;
  for (const std::string& node : nodes) {
    if (context.outings.drains().contains(node) == wanted) continue;
    agreement::DrainStep& step = *out.add_drains();
    step.set_node(node);
    step.set_wanted(wanted);
    ++changed;
  }
  std::string said = std::to_string(changed) + " of " + std::to_string(nodes.size()) + " nodes ";
  if (!wanted) return said + "are let back";
  DisruptionBudget room(fleet, context.view.router.registry().all(), context.chosen);
  std::string refusal;
  for (const std::string& node : nodes) {
    if (refusal.empty()) refusal = room.refusal(node, fleet.outings.reserve);
    room.take(node);
  }
  return said + (refusal.empty() ? "go out" : "are to go out, as soon as the budgets allow it: " + refusal);
}

std::string RolloutController::release(const RolloutContext& context, const std::string& word,
                                       const std::string& rest, Decision& out) {
  const Release& now = context.release;
  agreement::ReleaseStep& step = *out.mutable_release();
  auto refused = [&](const std::string& why) {
    out.clear_release();
    return kCommandRejected + why;
  };
  std::string name = "release " + std::to_string(now.id()) + " '" + now.plan().name() + "'";
  if (word == "start") {
    if (MaintenanceState::is_under_way(now.phase())) {
      return refused(name + " is " + agreement::name_of(now.phase()) + ": end it or take it back first");
    }
    if (!parse_release_plan(rest, *step.mutable_plan()))
      return refused("the plan makes no sense to this version");
    step.set_input(agreement::RELEASE_START);
    std::size_t deaf = 0;
    for (const auto& [node, server] : context.servers) deaf += server->heard_at > 0 && !server->report.obeys;
    if (deaf > 0)
      return refused(std::to_string(deaf) + " nodes take no orders: obey = true in their settings");
    return "release " + std::to_string(now.id() + 1) + " '" + step.plan().name() + "' begins";
  }
  struct Row {
    const char* word;
    std::vector<Phase> phases;
    agreement::ReleaseInput input;
    const char* said;
  };
  static const std::vector<Row> kWords = {
      {"halt",
       {agreement::PHASE_ROLLING, agreement::PHASE_SOAKING, agreement::PHASE_BACK},
       agreement::RELEASE_HALT,
       " is halted"},
      {"resume",
       {agreement::PHASE_HALTED, agreement::PHASE_BACK_HALTED},
       agreement::RELEASE_RESUME,
       " goes on"},
      {"back",
       {agreement::PHASE_ROLLING, agreement::PHASE_SOAKING, agreement::PHASE_HALTED},
       agreement::RELEASE_GO_BACK,
       " goes back"},
      {"end",
       {agreement::PHASE_HALTED, agreement::PHASE_BACK_HALTED},
       agreement::RELEASE_FINISH,
       " is left as it is"},
  };
  for (const Row& row : kWords) {
    if (word != row.word) continue;
    if (std::find(row.phases.begin(), row.phases.end(), now.phase()) == row.phases.end())
      return refused(name + " is " + agreement::name_of(now.phase()));
    step.set_input(row.input);
    step.set_reason("by hand" + (rest.empty() ? "" : ": " + rest.substr(0, 80)));
    return name + row.said;
  }
  return refused("unknown: release " + word);
}

// ---- All of it

// Whatever phase is agreed, whoever agreed on it, is measured from its beginning.
void RolloutController::follow(const View& view) {
  const Release& release = view.agreed.outings().release();
  std::uint64_t epoch = view.agreed.epoch().number;
  if (epoch != epoch_) {
    if (epoch_at_ > 0) gap_ = std::max(gap_, view.now - epoch_at_);
    epoch_ = epoch;
    epoch_at_ = view.now;
  }
  bool same =
      release.id() == followed_id_ && release.phase() == followed_phase_ && release.wave() == followed_wave_;
  if (same) return judge_.watch(view.router.registry().all(), view.now);
  if (release.id() != followed_id_) {
    for (auto& [name, below] : below_) below.at_start = below.now;
  }
  if (followed_id_ != 0 || release.phase() != agreement::PHASE_NONE) {
    log_("release " + std::to_string(release.id()) + " '" + release.plan().name() + "' " +
         agreement::name_of(followed_phase_) + " -> " + agreement::name_of(release.phase()) + ", wave " +
         std::to_string(release.wave() + 1) + " of " + std::to_string(wave_count(release.plan())) +
         (release.reason().empty() ? "" : "; " + release.reason()));
  }
  followed_id_ = release.id();
  followed_phase_ = release.phase();
  followed_wave_ = release.wave();
  gap_ = 0;
  status_detail_.clear();
  finding_ = {};
  found_at_ = view.now;
  for (auto& [name, below] : below_) below.above_since = 0;
  judge_.begin(view.router.registry().all(), view.now);
}

// Of what uses a service, and does not have the new version: what is not served in time. A service that slows
// as a wave goes is no fault of the version, and no time to go on either.
void RolloutController::measure_alarms(const RolloutContext& context) {
  bool under_way = context.outings.under_way();
  for (const fleet::Service& service : context.view.router.fleet().services) {
    double ran = 0;
    double in_time = 0;
    for (const std::string& node : service.used_by) {
      const ServerStatus* server = context.server(node);
      if (!server || !server->in_service() || (under_way && context.has_version(*server))) continue;
      ran += server->ran.read(context.view.now);
      in_time += server->in_time.read(context.view.now);
    }
    Below& below = below_[service.name];
    below.now = ran < kMinRan ? below.at_start : std::clamp(1 - in_time / ran, 0.0, 1.0);
    if (!under_way) {
      below.at_start = below.now;
      below.above_since = 0;
    } else if (below.now <= below.at_start + context.plan.alarm() / 1000.0) {
      below.above_since = 0;
    } else if (below.above_since == 0) {
      below.above_since = context.view.now;
    }
  }
}

void RolloutController::watch(const View& view) {
  follow(view);
  measure_alarms(RolloutContext(view));
}

void RolloutController::draft(const View& view, Decision& out) {
  RolloutContext context(view);
  agreement::Budgets budgets = budgets_of(view.router.fleet());
  bool same = budgets.SerializeAsString() == view.agreed.outings().budgets().SerializeAsString();
  if (!same) *out.mutable_budgets() = budgets;
  draft_command(context, out);
  bool commanded = out.has_release() || out.drains_size() > 0;
  if (!commanded) draft_release(context, out);
  // A halt or a way back calls servers back by itself; what else they would do waits for the next decision.
  if (out.has_release() || commanded) return;
  draft_trips(context, out);
  if (same) draft_grants(context, out);
  if (!refusal_.empty()) status_detail_ = refusal_;
}

}  // namespace myrtlecroft::releases
