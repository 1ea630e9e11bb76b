#include "releases/conductor.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <utility>

#include "agreement/state.h"
#include "releases/plan.h"

namespace myrtlecroft::releases {
namespace {

using agreement::AgreedTrip;
using agreement::Decision;
using agreement::Outings;
using agreement::Phase;
using agreement::Plan;
using agreement::Release;
using agreement::Taken;
using agreement::TripPlace;
using routing::Member;

constexpr Nanos kNoMajorityFor = 5000 * kMs;  // of nothing agreed: a release then waits for its operators
constexpr Nanos kMargin = 5000 * kMs;         // of a permit, beyond what its steps may take
constexpr unsigned kLooks = 4;                // of one phase, at a version that may be bad
constexpr int kMostShown = 3;                 // nodes named in a reason
constexpr double kLeastRan = 20;              // lately, at what uses a service, to say how it fares

double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

std::string listed(const std::vector<std::string>& names) {
  std::string out;
  for (std::size_t i = 0; i < names.size() && i < kMostShown; ++i) out += (i ? ", " : "") + names[i];
  if (names.size() > kMostShown) out += " and " + std::to_string(names.size() - kMostShown) + " more";
  return out;
}

// A node, else a zone's nodes, else those that use a service.
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

struct Conductor::Sight {
  explicit Sight(const View& of)
      : view(of), outings(of.agreed.outings()), release(outings.release()), plan(release.plan()) {
    for (const Member& member : of.router.members().all()) members[member.node.name] = &member;
    for (const auto& [node, trip] : outings.trips()) chosen.insert(node);
    for (const Taken& one : release.taken()) taken[one.node()] = &one;
  }
  const Member* member(const std::string& node) const {
    auto found = members.find(node);
    return found == members.end() ? nullptr : found->second;
  }
  Nanos in_place(const AgreedTrip& trip) const { return view.time - trip.since; }
  bool has_version(const Member& member) const { return member.version == plan.version(); }
  bool any_out(agreement::Why why) const {
    return std::any_of(outings.trips().begin(), outings.trips().end(),
                       [why](const auto& one) { return one.second.why == why; });
  }

  const View& view;
  const Outings& outings;
  const Release& release;
  const Plan& plan;
  std::map<std::string, const Member*> members;
  std::set<std::string> chosen;
  std::map<std::string, const Taken*> taken;
};

// ---- A node that is out: the first row that applies is taken

const std::vector<Conductor::TripRow> Conductor::kTrips = {
    {TripPlace::kEmptying, &Conductor::other_life, agreement::TRIP_CALL_BACK, ""},
    {TripPlace::kEmptying, &Conductor::emptied, agreement::TRIP_EMPTIED, ""},
    {TripPlace::kEmptying, &Conductor::empty_late, agreement::TRIP_CALL_BACK, "not empty in time"},
    {TripPlace::kEmpty, &Conductor::other_life, agreement::TRIP_CALL_BACK, ""},
    {TripPlace::kEmpty, &Conductor::to_be_ordered, agreement::TRIP_ORDER, ""},
    {TripPlace::kOrdered, &Conductor::back_as_wanted, agreement::TRIP_CAME_BACK, ""},
    {TripPlace::kOrdered, &Conductor::other_life, agreement::TRIP_GIVE_UP, "back in another version"},
    {TripPlace::kOrdered, &Conductor::back_late_but_there, agreement::TRIP_CALL_BACK, "did not go"},
    {TripPlace::kOrdered, &Conductor::back_late, agreement::TRIP_GIVE_UP, "did not come back"},
    {TripPlace::kWarming, &Conductor::serving, agreement::TRIP_WARM, ""},
    {TripPlace::kWarming, &Conductor::warm_late, agreement::TRIP_GIVE_UP, "not warm in time"},
    {TripPlace::kReturning, &Conductor::other_life, agreement::TRIP_CAME_BACK, ""},
    {TripPlace::kReturning, &Conductor::stayed, agreement::TRIP_WARM, ""},
    {TripPlace::kReturning, &Conductor::warm_late, agreement::TRIP_GIVE_UP,
     "called back, and not in service"},
};

bool Conductor::other_life(const Sight& sight, const std::string& node, const AgreedTrip& trip) const {
  const Member* member = sight.member(node);
  return member && member->heard_at > 0 && member->life != trip.life;
}

// Heard of after it was shown out to every proxy.
bool Conductor::emptied(const Sight& sight, const std::string& node, const AgreedTrip& trip) const {
  const Member* member = sight.member(node);
  bool told = trip.shown_in != 0 && sight.view.applied >= trip.shown_in;
  return told && member && member->heard_at > 0 && member->report.held == 0 && member->report.running == 0;
}

bool Conductor::empty_late(const Sight& sight, const std::string&, const AgreedTrip& trip) const {
  // What operators want empty stays called out: only a release goes on without it.
  return trip.why != agreement::WHY_DRAIN && sight.in_place(trip) >= sight.plan.empty_within_ns();
}

bool Conductor::to_be_ordered(const Sight& sight, const std::string& node, const AgreedTrip& trip) const {
  const Member* member = sight.member(node);
  return trip.why != agreement::WHY_DRAIN && member && member->report.obeys;
}

bool Conductor::back_as_wanted(const Sight& sight, const std::string& node, const AgreedTrip& trip) const {
  return other_life(sight, node, trip) && sight.member(node)->version == trip.version;
}

bool Conductor::back_late(const Sight& sight, const std::string&, const AgreedTrip& trip) const {
  return sight.in_place(trip) >= sight.plan.back_within_ns();
}

bool Conductor::back_late_but_there(const Sight& sight, const std::string& node,
                                    const AgreedTrip& trip) const {
  const Member* member = sight.member(node);
  return back_late(sight, node, trip) && member && member->life == trip.life && !member->report.leaving &&
         sight.view.now - member->heard_at <= sight.view.router.fleet().bounds.silent_after;
}

bool Conductor::serving(const Sight& sight, const std::string& node, const AgreedTrip&) const {
  const Member* member = sight.member(node);
  return member && member->whole();
}

// One that had its order may be on its way out without anybody knowing yet.
bool Conductor::stayed(const Sight& sight, const std::string& node, const AgreedTrip& trip) const {
  return serving(sight, node, trip) && sight.member(node)->report.epoch.number >= trip.recalled;
}

bool Conductor::warm_late(const Sight& sight, const std::string&, const AgreedTrip& trip) const {
  Nanos limit = trip.why == agreement::WHY_DRAIN ? sight.view.router.fleet().outings.permit_lasts
                                                 : sight.plan.warm_within_ns();
  return sight.in_place(trip) >= limit;
}

void Conductor::draft_trips(const Sight& sight, Decision& out) {
  Nanos lasts = sight.view.router.fleet().outings.permit_lasts;
  for (const auto& [node, trip] : sight.outings.trips()) {
    agreement::TripStep step;
    for (const TripRow& row : kTrips) {
      if (row.place != trip.place || !(this->*row.when)(sight, node, trip)) continue;
      step.set_input(row.input);
      step.set_reason(row.reason);
      break;
    }
    bool drained = trip.why == agreement::WHY_DRAIN && sight.outings.drains().contains(node);
    if (step.input() == agreement::TRIP_NONE && drained && trip.until - sight.view.time < lasts / 2) {
      step.set_input(agreement::TRIP_EXTEND);
      step.set_for_ns(lasts);
    }
    if (step.input() == agreement::TRIP_NONE) continue;
    step.set_node(node);
    *out.add_trips() = step;
  }
}

// ---- A release: the first row that applies is taken

const std::vector<Conductor::ReleaseRow> Conductor::kReleases = {
    {agreement::PHASE_ROLLING, &Conductor::no_majority_for_long, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &Conductor::bad_goes_back, agreement::RELEASE_GO_BACK},
    {agreement::PHASE_ROLLING, &Conductor::bad_halts, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &Conductor::failed_goes_back, agreement::RELEASE_GO_BACK},
    {agreement::PHASE_ROLLING, &Conductor::failed_halts, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &Conductor::alarm_below, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &Conductor::starved, agreement::RELEASE_HALT},
    {agreement::PHASE_ROLLING, &Conductor::wave_is_back, agreement::RELEASE_WAVE_BACK},

    {agreement::PHASE_SOAKING, &Conductor::no_majority_for_long, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, &Conductor::bad_goes_back, agreement::RELEASE_GO_BACK},
    {agreement::PHASE_SOAKING, &Conductor::bad_halts, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, &Conductor::alarm_below, agreement::RELEASE_HALT},
    {agreement::PHASE_SOAKING, &Conductor::good_and_last, agreement::RELEASE_FINISH},
    {agreement::PHASE_SOAKING, &Conductor::good, agreement::RELEASE_NEXT_WAVE},
    {agreement::PHASE_SOAKING, &Conductor::not_known_for_long, agreement::RELEASE_HALT},

    {agreement::PHASE_BACK, &Conductor::no_majority_for_long, agreement::RELEASE_HALT},
    {agreement::PHASE_BACK, &Conductor::all_went_back, agreement::RELEASE_IS_BACK},
};

std::optional<std::string> Conductor::no_majority_for_long(const Sight&) {
  if (gap_ < kNoMajorityFor) return std::nullopt;
  char line[80];
  std::snprintf(line, sizeof line, "no majority for %.1f s", seconds(gap_));
  return line;
}

std::optional<std::string> Conductor::alarm_below(const Sight& sight) {
  for (const auto& [name, below] : below_) {
    if (below.above_since == 0 || sight.view.now - below.above_since < sight.plan.alarm_for_ns()) continue;
    char line[160];
    std::snprintf(line, sizeof line, "service %s: %.0f%% not in time, %.0f%% at the start", name.c_str(),
                  100 * below.now, 100 * below.at_start);
    return line;
  }
  return std::nullopt;
}

std::optional<std::string> Conductor::failures(const Sight& sight) const {
  std::vector<std::string> failed;
  for (const Taken& one : sight.release.taken()) {
    if (!one.failed().empty()) failed.push_back(one.node() + " (" + one.failed() + ")");
  }
  if (failed.size() <= sight.plan.most_failed()) return std::nullopt;
  return listed(failed);
}

std::optional<std::string> Conductor::failed_goes_back(const Sight& sight) {
  return sight.plan.way_back() ? failures(sight) : std::nullopt;
}

std::optional<std::string> Conductor::failed_halts(const Sight& sight) { return failures(sight); }

// Looked at a few times in a phase only: each look could be wrong once in so many times.
const Finding& Conductor::finding(const Sight& sight) {
  Nanos every = sight.plan.soak_ns() / kLooks;
  if (sight.view.now - found_at_ < every) return finding_;
  found_at_ = sight.view.now;
  std::set<std::string> fresh;
  std::set<std::string> others;
  for (const auto& [node, member] : sight.members) {
    if (sight.has_version(*member)) {
      fresh.insert(node);
    } else if (!sight.chosen.contains(node)) {
      others.insert(node);
    }
  }
  // Those that wait are too few to compare with: what is left to watch is the services below.
  if (others.size() < kLeastOthers) {
    finding_ = {Verdict::kGood, ""};
  } else if (fresh.empty()) {
    finding_ = {};
  } else {
    unsigned phases = 2 * waves_of(sight.plan);
    finding_ = judge_.look(sight.plan, sight.view.router.members().all(), fresh, others, kLooks * phases,
                           sight.view.now);
  }
  if (!finding_.why.empty()) outlook_ = finding_.why;
  return finding_;
}

std::optional<std::string> Conductor::bad_halts(const Sight& sight) {
  const Finding& found = finding(sight);
  return found.verdict == Verdict::kBad ? std::optional(found.why) : std::nullopt;
}

std::optional<std::string> Conductor::bad_goes_back(const Sight& sight) {
  return sight.plan.way_back() ? bad_halts(sight) : std::nullopt;
}

// Nobody could go out for as long as a whole restart may take.
std::optional<std::string> Conductor::starved(const Sight& sight) {
  Nanos since = std::max(last_grant_, judge_.begun());
  if (sight.any_out(agreement::WHY_RELEASE) || refusal_.empty() ||
      sight.view.now - since < sight.plan.back_within_ns())
    return std::nullopt;
  return "nobody may go out: " + refusal_;
}

std::optional<std::string> Conductor::wave_is_back(const Sight& sight) {
  bool back = !sight.any_out(agreement::WHY_RELEASE) && waiting(sight).empty();
  return back ? std::optional(std::string()) : std::nullopt;
}

std::optional<std::string> Conductor::good(const Sight& sight) {
  if (sight.view.now - judge_.begun() < sight.plan.soak_ns()) return std::nullopt;
  return finding(sight).verdict == Verdict::kGood ? std::optional(std::string()) : std::nullopt;
}

std::optional<std::string> Conductor::good_and_last(const Sight& sight) {
  if (sight.release.wave() + 1 < waves_of(sight.plan) || !good(sight)) return std::nullopt;
  std::vector<std::string> left;
  for (const auto& [node, member] : sight.members) {
    if (!sight.has_version(*member)) left.push_back(node);
  }
  return left.empty() ? "" : "not in this version: " + listed(left);
}

std::optional<std::string> Conductor::not_known_for_long(const Sight& sight) {
  if (sight.view.now - judge_.begun() < sight.plan.longest_soak_ns()) return std::nullopt;
  return "not known to be good: " + finding_.why;
}

std::optional<std::string> Conductor::all_went_back(const Sight& sight) {
  if (sight.any_out(agreement::WHY_RELEASE) || sight.any_out(agreement::WHY_BACK)) return std::nullopt;
  if (!waiting(sight).empty()) return std::nullopt;
  std::vector<std::string> left;
  for (const Taken& one : sight.release.taken()) {
    const Member* member = sight.member(one.node());
    if (member && member->version != one.from_version()) left.push_back(one.node());
  }
  return left.empty() ? sight.release.reason()
                      : sight.release.reason() + "; not back in their version: " + listed(left);
}

void Conductor::draft_release(const Sight& sight, Decision& out) {
  for (const ReleaseRow& row : kReleases) {
    if (row.phase != sight.release.phase()) continue;
    std::optional<std::string> why = (this->*row.when)(sight);
    if (!why) continue;
    out.mutable_release()->set_input(row.input);
    out.mutable_release()->set_reason(*why);
    return;
  }
}

// ---- Who goes out next

// In the order in which they should go; empty: nobody waits.
std::vector<std::string> Conductor::waiting(const Sight& sight) const {
  std::vector<std::string> out;
  if (sight.release.phase() == agreement::PHASE_BACK) {
    // The newest first: what went last has been looked at least.
    for (auto one = sight.release.taken().rbegin(); one != sight.release.taken().rend(); ++one) {
      const Member* member = sight.member(one->node());
      bool there = member && member->heard_at > 0 && member->report.obeys;
      if (there && one->failed().empty() && member->version != one->from_version() &&
          !sight.chosen.contains(one->node()))
        out.push_back(one->node());
    }
    return out;
  }
  if (sight.release.phase() != agreement::PHASE_ROLLING) return out;
  std::uint64_t all = 0;
  std::uint64_t reached = 0;
  unsigned taken = 0;
  std::map<std::string, int> zones;  // how many of a zone are listed
  std::multimap<int, std::pair<std::string, std::uint64_t>> spread;
  for (const Member& member : sight.view.router.members().all()) {
    std::uint64_t capacity = capacity_of(member.node);
    all += capacity;
    const AgreedTrip* trip = sight.outings.trip(member.node.name);
    auto before = sight.taken.find(member.node.name);
    bool failed = before != sight.taken.end() && !before->second->failed().empty();
    bool has = sight.has_version(member) || (trip && trip->why == agreement::WHY_RELEASE);
    if (has || failed) {
      reached += capacity;
      ++taken;
    } else if (!trip && member.whole() && member.report.obeys) {
      spread.emplace(zones[member.node.zone]++, std::make_pair(member.node.name, capacity));
    }
  }
  std::uint32_t wave = sight.release.wave();
  std::uint64_t wanted = wave == 0 ? all : all * sight.plan.waves(static_cast<int>(wave) - 1) / 1000;
  for (const auto& [place, node] : spread) {
    bool enough = wave == 0 ? taken >= sight.plan.first_nodes() : reached + node.second > wanted;
    if (enough) break;
    out.push_back(node.first);
    reached += node.second;
    ++taken;
  }
  return out;
}

void Conductor::draft_grants(const Sight& sight, Decision& out) {
  refusal_.clear();
  // Whoever sees only a part of the fleet lets nobody go.
  if (sight.view.router.members().view() != routing::View::kClear) {
    refusal_ = "too few nodes are heard";
    return;
  }
  Room room(sight.view.router.fleet(), sight.view.router.members().all(), sight.chosen);
  auto grant = [&](const std::string& node, agreement::Why why, std::uint32_t version, Nanos lasts,
                   double reserve) {
    std::string refusal = room.refusal(node, reserve);
    if (!refusal.empty()) {
      if (refusal_.empty()) refusal_ = node + " waits; " + refusal;
      return;
    }
    room.take(node);
    last_grant_ = sight.view.now;
    agreement::TripStep& step = *out.add_trips();
    step.set_node(node);
    step.set_input(agreement::TRIP_GRANT);
    step.set_why(why);
    step.set_version(version);
    step.set_for_ns(lasts);
  };
  const fleet::Outings& terms = sight.view.router.fleet().outings;
  for (const std::string& node : sight.outings.drains()) {
    const Member* member = sight.member(node);
    if (member && member->heard_at > 0 && !sight.chosen.contains(node))
      grant(node, agreement::WHY_DRAIN, 0, terms.permit_lasts, terms.reserve);
  }
  if (!sight.outings.under_way()) return;
  const Plan& plan = sight.plan;
  Nanos lasts = plan.empty_within_ns() + plan.back_within_ns() + plan.warm_within_ns() + kMargin;
  bool back = sight.release.phase() == agreement::PHASE_BACK;
  for (const std::string& node : waiting(sight)) {
    // Nobody but operators takes out what they hold empty, and nobody twice.
    if (sight.outings.drains().contains(node)) continue;
    std::uint32_t version = back ? sight.taken.at(node)->from_version() : plan.version();
    grant(node, back ? agreement::WHY_BACK : agreement::WHY_RELEASE, version, lasts, plan.reserve() / 1000.0);
  }
}

// ---- Operators

// One command a decision, so that each is judged by what the one before has changed.
void Conductor::draft_command(const Sight& sight, Decision& out) {
  for (const auto& [id, text] : sight.view.commands) {
    if (sight.outings.result(id)) continue;
    std::istringstream words(text);
    std::string what;
    std::string name;
    std::string rest;
    words >> what >> name;
    std::getline(words >> std::ws, rest);
    std::string said = kRefused + "unknown command";
    if (what == "drain" || what == "undrain") said = drain(sight, name, what == "drain", out);
    if (what == "release") said = release(sight, name, rest, out);
    agreement::CommandResult& result = *out.add_results();
    result.set_id(id);
    result.set_said(said);
    log_("command '" + text.substr(0, 64) + "': " + said);
    return;
  }
}

std::string Conductor::drain(const Sight& sight, const std::string& name, bool wanted, Decision& out) {
  const fleet::Fleet& fleet = sight.view.router.fleet();
  std::vector<std::string> nodes = nodes_called(fleet, name);
  if (nodes.empty()) return kRefused + ("no node, zone or service is named '" + name + "'");
  int changed = 0;
  for (const std::string& node : nodes) {
    if (sight.outings.drains().contains(node) == wanted) continue;
    agreement::DrainStep& step = *out.add_drains();
    step.set_node(node);
    step.set_wanted(wanted);
    ++changed;
  }
  std::string said = std::to_string(changed) + " of " + std::to_string(nodes.size()) + " nodes ";
  if (!wanted) return said + "are let back";
  Room room(fleet, sight.view.router.members().all(), sight.chosen);
  std::string refusal;
  for (const std::string& node : nodes) {
    if (refusal.empty()) refusal = room.refusal(node, fleet.outings.reserve);
    room.take(node);
  }
  return said + (refusal.empty() ? "go out" : "are to go out, as soon as the budgets allow it: " + refusal);
}

std::string Conductor::release(const Sight& sight, const std::string& word, const std::string& rest,
                               Decision& out) {
  const Release& now = sight.release;
  agreement::ReleaseStep& step = *out.mutable_release();
  auto refused = [&](const std::string& why) {
    out.clear_release();
    return kRefused + why;
  };
  std::string name = "release " + std::to_string(now.id()) + " '" + now.plan().name() + "'";
  if (word == "start") {
    if (Outings::is_under_way(now.phase())) {
      return refused(name + " is " + agreement::name_of(now.phase()) + ": end it or take it back first");
    }
    if (!read_told(rest, *step.mutable_plan())) return refused("the plan makes no sense to this version");
    step.set_input(agreement::RELEASE_START);
    std::size_t deaf = 0;
    for (const auto& [node, member] : sight.members) deaf += member->heard_at > 0 && !member->report.obeys;
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
void Conductor::follow(const View& view) {
  const Release& release = view.agreed.outings().release();
  std::uint64_t epoch = view.agreed.epoch().number;
  if (epoch != epoch_) {
    if (epoch_at_ > 0) gap_ = std::max(gap_, view.now - epoch_at_);
    epoch_ = epoch;
    epoch_at_ = view.now;
  }
  bool same =
      release.id() == followed_id_ && release.phase() == followed_phase_ && release.wave() == followed_wave_;
  if (same) return judge_.watch(view.router.members().all(), view.now);
  if (release.id() != followed_id_) {
    for (auto& [name, below] : below_) below.at_start = below.now;
  }
  if (followed_id_ != 0 || release.phase() != agreement::PHASE_NONE) {
    log_("release " + std::to_string(release.id()) + " '" + release.plan().name() + "' " +
         agreement::name_of(followed_phase_) + " -> " + agreement::name_of(release.phase()) + ", wave " +
         std::to_string(release.wave() + 1) + " of " + std::to_string(waves_of(release.plan())) +
         (release.reason().empty() ? "" : "; " + release.reason()));
  }
  followed_id_ = release.id();
  followed_phase_ = release.phase();
  followed_wave_ = release.wave();
  gap_ = 0;
  outlook_.clear();
  finding_ = {};
  found_at_ = view.now;
  for (auto& [name, below] : below_) below.above_since = 0;
  judge_.begin(view.router.members().all(), view.now);
}

// Of what uses a service, and does not have the new version: what is not served in time. A service that slows
// as a wave goes is no fault of the version, and no time to go on either.
void Conductor::measure_alarms(const Sight& sight) {
  bool under_way = sight.outings.under_way();
  for (const fleet::Service& service : sight.view.router.fleet().services) {
    double ran = 0;
    double in_time = 0;
    for (const std::string& node : service.used_by) {
      const Member* member = sight.member(node);
      if (!member || !member->in_service() || (under_way && sight.has_version(*member))) continue;
      ran += member->ran.read(sight.view.now);
      in_time += member->in_time.read(sight.view.now);
    }
    Below& below = below_[service.name];
    below.now = ran < kLeastRan ? below.at_start : std::clamp(1 - in_time / ran, 0.0, 1.0);
    if (!under_way) {
      below.at_start = below.now;
      below.above_since = 0;
    } else if (below.now <= below.at_start + sight.plan.alarm() / 1000.0) {
      below.above_since = 0;
    } else if (below.above_since == 0) {
      below.above_since = sight.view.now;
    }
  }
}

void Conductor::watch(const View& view) {
  follow(view);
  measure_alarms(Sight(view));
}

void Conductor::draft(const View& view, Decision& out) {
  Sight sight(view);
  agreement::Budgets budgets = budgets_of(view.router.fleet());
  bool same = budgets.SerializeAsString() == view.agreed.outings().budgets().SerializeAsString();
  if (!same) *out.mutable_budgets() = budgets;
  draft_command(sight, out);
  bool commanded = out.has_release() || out.drains_size() > 0;
  if (!commanded) draft_release(sight, out);
  // A halt or a way back calls nodes back by itself; what else they would do waits for the next decision.
  if (out.has_release() || commanded) return;
  draft_trips(sight, out);
  if (same) draft_grants(sight, out);
  if (!refusal_.empty()) outlook_ = refusal_;
}

}  // namespace myrtlecroft::releases
