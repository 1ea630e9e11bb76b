#include "routing/members.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace myrtlecroft::routing {
namespace {

constexpr Nanos kLostLinkShare = 4;      // silent after this part of the usual time, where its link broke
constexpr Nanos kOwnPause = 300 * kMs;   // between two steps: three beats of whoever calls us
constexpr Nanos kSuspectShare = 2;       // heard of within this part of the time to silence, or it may be us
constexpr std::uint64_t kMuteLeast = 3;  // unanswered exchanges, as the node counts them
constexpr double kMuteIssued = 8;        // exchanges lately, as proxies count them
constexpr double kMuteAnswered = 0.02;   // of these
constexpr double kMuteOfSlo = 0.5;       // quiet for less than this part of the SLO time tells nothing
constexpr double kOwnDenials = 0.5;      // of what it read; where more, proxies see no answers but denials
constexpr double kHeldWeighs = 0.5;      // of a full hold, beside the share denied
constexpr double kAlike = 0.08;          // apart in pressure by less than this: no reason to move weight
constexpr double kSteep = 4;             // pressure apart by one over this: weight moves at full speed
constexpr double kRecoverShare = 0.25;   // of that speed, back to even while all is alike
constexpr double kFewReads = 5;          // lately; with fewer, the share denied says little
constexpr Nanos kFlapDwells = 5;         // out again within so many dwells of being let in: it flaps
constexpr int kMostFlaps = 4;            // each doubles the dwell

double seconds(Nanos t) { return static_cast<double>(t) / static_cast<double>(kSecond); }

struct Totals {
  std::uint64_t read = 0;
  std::uint64_t denied = 0;
  std::uint64_t answered = 0;
  std::uint64_t in_time = 0;
};

Totals totals_of(const report::NodeReport& report) {
  Totals out;
  for (const report::GroupCounts& counts : report.groups) {
    out.read += counts.read;
    out.denied += counts.denied;
    out.answered += counts.denied + counts.completed + counts.terminated;
    out.in_time += counts.in_time;
  }
  return out;
}

std::uint64_t unanswered(const report::NodeReport& report) {
  Totals totals = totals_of(report);
  return totals.read - std::min(totals.read, totals.answered);
}

}  // namespace

const char* name_of(State state) {
  constexpr const char* names[kStates] = {"presumed", "ramping", "serving", "leaving",
                                          "sick",     "mute",    "silent"};
  return names[static_cast<std::size_t>(state)];
}

const char* name_of(View view) {
  constexpr const char* names[] = {"restoring", "clear", "isolated"};
  return names[static_cast<std::size_t>(view)];
}

// The first row that applies is taken. A node's own word stands first, then what it can't tell of itself.
const std::vector<Members::Step> Members::kSteps = {
    {State::kPresumed, &Members::leaving, State::kLeaving, "it leaves"},
    {State::kPresumed, &Members::silent, State::kSilent, "no report"},
    {State::kPresumed, &Members::sick, State::kSick, "by its own word"},
    {State::kPresumed, &Members::well_and_cold, State::kRamping, "it is cold"},
    {State::kPresumed, &Members::well, State::kServing, "it reports"},

    {State::kRamping, &Members::leaving, State::kLeaving, "it leaves"},
    {State::kRamping, &Members::silent, State::kSilent, "no report"},
    {State::kRamping, &Members::sick, State::kSick, "by its own word"},
    {State::kRamping, &Members::mute, State::kMute, "takes exchanges and answers none"},
    {State::kRamping, &Members::ramped, State::kServing, "ramped and warm"},

    {State::kServing, &Members::leaving, State::kLeaving, "it leaves"},
    {State::kServing, &Members::silent, State::kSilent, "no report"},
    {State::kServing, &Members::sick, State::kSick, "by its own word"},
    {State::kServing, &Members::mute, State::kMute, "takes exchanges and answers none"},
    {State::kServing, &Members::cold_anew, State::kRamping, "it came back cold"},

    {State::kLeaving, &Members::silent, State::kSilent, "it has left"},
    {State::kLeaving, &Members::may_return, State::kRamping, "it stays, or is another life"},

    {State::kSick, &Members::leaving, State::kLeaving, "it leaves"},
    {State::kSick, &Members::silent, State::kSilent, "no report"},
    {State::kSick, &Members::may_return, State::kRamping, "well by its own word"},

    {State::kMute, &Members::leaving, State::kLeaving, "it leaves"},
    {State::kMute, &Members::silent, State::kSilent, "no report"},
    {State::kMute, &Members::sick, State::kSick, "by its own word"},
    {State::kMute, &Members::may_return, State::kRamping, "to be tried again"},

    {State::kSilent, &Members::heard_leaving, State::kLeaving, "it reports again, and leaves"},
    {State::kSilent, &Members::may_return_cold, State::kRamping, "it reports again, cold"},
    {State::kSilent, &Members::may_return, State::kServing, "it reports again"},
};

const std::vector<Members::ViewStep> Members::kViews = {
    {View::kRestoring, &Members::heard_enough, View::kClear, "enough nodes have reported"},
    {View::kClear, &Members::many_silent, View::kIsolated, "too many nodes fell silent at once"},
    {View::kIsolated, &Members::few_silent, View::kClear, "nodes are heard again"},
};

Members::Members(const fleet::Fleet& fleet, Nanos now, Log log)
    : view_since_(now), now_(now), followed_at_(now), log_(std::move(log)) {
  fleet_changed(fleet, now);
}

void Members::fleet_changed(const fleet::Fleet& fleet, Nanos now) {
  now_ = std::max(now_, now);
  bounds_ = fleet.bounds;
  longest_slo_ = 0;
  groups_.clear();
  for (std::size_t at = 0; at < fleet.groups.size(); ++at) {
    longest_slo_ = std::max(longest_slo_, fleet.groups[at].slo_time);
    groups_.emplace(fleet.groups[at].name, static_cast<int>(at));
  }
  std::vector<Member> next;
  next.reserve(fleet.nodes.size());
  for (const fleet::Node& node : fleet.nodes) {
    Member* old = find(node.name);
    if (old && old->node.address() == node.address()) {
      next.push_back(std::move(*old));
      next.back().node = node;
      next.back().group_shares.clear();
      note_groups(next.back(), next.back().report);
      continue;
    }
    // At another address it is another node. One that is added while others are known starts from nothing:
    // it is let in once it reports.
    Member member{.node = node, .since = now_};
    if (view_ != View::kRestoring) member.state = State::kSilent;
    next.push_back(std::move(member));
  }
  members_ = std::move(next);
  places_.clear();
  places_by_address_.clear();
  for (std::size_t place = 0; place < members_.size(); ++place) {
    places_.emplace(members_[place].node.name, static_cast<int>(place));
    places_by_address_.emplace(members_[place].node.address(), static_cast<int>(place));
  }
  ++layout_;
}

int Members::place_of(const std::string& name) const {
  auto found = places_.find(name);
  return found == places_.end() ? -1 : found->second;
}

const Member* Members::member_at(const std::string& address) const {
  auto found = places_by_address_.find(address);
  return found == places_by_address_.end() ? nullptr : &members_[static_cast<std::size_t>(found->second)];
}

Member* Members::find(const std::string& name) {
  int place = place_of(name);
  return place < 0 ? nullptr : &members_[static_cast<std::size_t>(place)];
}

// A node names the same groups in each report: they are looked up only where a name is another than before.
void Members::note_groups(Member& member, const report::NodeReport& report) const {
  double all = 0;
  for (const report::GroupCounts& counts : report.groups) all += static_cast<double>(counts.read);
  const std::vector<report::GroupCounts>& before = member.report.groups;
  std::size_t known = std::min(member.group_shares.size(), before.size());
  member.group_shares.resize(report.groups.size());
  for (std::size_t at = 0; at < report.groups.size(); ++at) {
    const report::GroupCounts& counts = report.groups[at];
    GroupShare& to = member.group_shares[at];
    if (at >= known || before[at].group != counts.group) {
      auto found = groups_.find(counts.group);
      to.group = found == groups_.end() ? -1 : found->second;
    }
    to.share = all > 0 ? static_cast<double>(counts.read) / all : 0;
  }
}

// ---- Inputs

Members::Verdict Members::reported(const report::NodeReport& report, Nanos now, std::int64_t unix_now) {
  now_ = std::max(now_, now);
  Member* member = find(report.node);
  if (!member) return Verdict::kUnknownNode;
  if (report.address != member->node.address()) return Verdict::kOtherAddress;
  if (report.sent_unix > unix_now + bounds_.clock_skew) return Verdict::kFuture;
  bool same_life = report.life == member->life;
  if (report.life < member->life || (same_life && report.sequence <= member->report.sequence)) {
    return Verdict::kStale;
  }
  Totals before = same_life ? totals_of(member->report) : Totals{};
  Totals totals = totals_of(report);
  if (!same_life) {
    if (member->life != 0) {
      member->lost_keys_at = now_;
      log_("node " + report.node + " is another life: it has lost its keys");
    }
    member->life = report.life;
    member->moved_at = now_;
  } else if (totals.read >= before.read && totals.denied >= before.denied) {
    member->read.add(static_cast<double>(totals.read - before.read), now_);
    member->denied.add(static_cast<double>(totals.denied - before.denied), now_);
    if (totals.in_time >= before.in_time)
      member->in_time.add(static_cast<double>(totals.in_time - before.in_time), now_);
    if (totals.answered - totals.denied >= before.answered - before.denied)
      member->ran.add(static_cast<double>(totals.answered - totals.denied - before.answered + before.denied),
                      now_);
  }
  member->version = report.version;
  member->asked.add(report.running + report.held, now_);
  member->reports.add(1, now_);
  if (totals.answered > before.answered || totals.answered >= totals.read) member->moved_at = now_;
  note_groups(*member, report);
  member->report = report;
  member->heard_at = now_;
  return Verdict::kTaken;
}

void Members::report_link(const std::string& node, bool up, Nanos now) {
  now_ = std::max(now_, now);
  if (Member* member = find(node)) member->connected = up;
}

void Members::proxies_say(const ProxyCounts& counts, Nanos now) {
  now_ = std::max(now_, now);
  Member* member = find(counts.node);
  if (!member) return;
  member->issued.add(static_cast<double>(counts.issued), now_);
  member->succeeded.add(static_cast<double>(counts.succeeded), now_);
  member->failed.add(static_cast<double>(counts.failed), now_);
  if (counts.succeeded > 0 || member->proxies_content_at == 0) member->proxies_content_at = now_;
}

void Members::restore(const std::string& node, State state, std::uint64_t life, double weight, int flaps,
                      std::uint32_t version) {
  Member* member = find(node);
  if (!member) return;
  member->version = version;
  member->life = life;
  member->weight = std::clamp(weight, bounds_.least_weight, 1.0);
  member->flaps = std::clamp(flaps, 0, kMostFlaps);
  bool was_in = state == State::kPresumed || state == State::kRamping || state == State::kServing;
  member->state = was_in ? State::kPresumed : state;
}

// ---- What is seen of one node

// Before a node was heard of, its time runs from when this control service could hear.
bool Members::silent(const Member& member) const {
  Nanos limit =
      member.connected || member.heard_at == 0 ? bounds_.silent_after : bounds_.silent_after / kLostLinkShare;
  return now_ - std::max(member.heard_at, view_since_) > limit;
}

bool Members::sick(const Member& member) const {
  return member.heard_at > 0 && (!member.report.engine_up || member.report.mode == Mode::kStalled);
}

// The node hangs in a way that it does not see itself: it goes on to report, and to read.
bool Members::mute_to_itself(const Member& member) const {
  Nanos limit =
      std::max(bounds_.mute_after, static_cast<Nanos>(kMuteOfSlo * static_cast<double>(longest_slo_)));
  return unanswered(member.report) >= kMuteLeast && member.heard_at - member.moved_at > limit;
}

// What it reports looks well, but nothing of it reaches the proxies. Harm: a node that denies almost all for
// a good reason looks the same to proxies that count denials as errors; its own count of denials tells.
bool Members::mute_to_proxies(const Member& member) const {
  double issued = member.issued.read(now_);
  Nanos limit =
      std::max(bounds_.mute_after, static_cast<Nanos>(kMuteOfSlo * static_cast<double>(longest_slo_)));
  return issued >= kMuteIssued && member.succeeded.read(now_) < kMuteAnswered * issued &&
         now_ - member.proxies_content_at > limit &&
         member.denied.read(now_) <= kOwnDenials * member.read.read(now_);
}

// A node that flaps stays out for longer each time.
Nanos Members::dwell(const Member& member) const {
  return bounds_.dwell << std::min(member.flaps, kMostFlaps);
}

// ---- What is seen of the fleet

double Members::share_heard_within(Nanos time) const {
  double all = 0;
  double heard = 0;
  for (const Member& member : members_) {
    if (!member.in_service()) continue;
    all += member.node.capacity;
    if (member.heard_at > 0 && now_ - member.heard_at <= time) heard += member.node.capacity;
  }
  return all > 0 ? heard / all : 1;
}

bool Members::heard_enough() const {
  return share_heard_within(bounds_.silent_after) >= bounds_.isolated_at &&
         std::any_of(members_.begin(), members_.end(), [](const Member& one) { return one.heard_at > 0; });
}

// Looked for at half the time to silence, so that none is taken for silent before it is seen that most are.
// Harm: a fleet that loses most of its nodes at once keeps its old picture; what is sent to the dead is
// refused there and repeated elsewhere.
bool Members::many_silent() const {
  return 1 - share_heard_within(bounds_.silent_after / kSuspectShare) > bounds_.isolated_at;
}

void Members::change_view(View next, const char* why) {
  char line[160];
  std::snprintf(line, sizeof line, "view %s -> %s: %s; heard of %.2f of the capacity in service",
                name_of(view_), name_of(next), why, share_heard_within(bounds_.silent_after / kSuspectShare));
  log_(line);
  view_ = next;
  view_since_ = now_;
  changed_ = true;
}

// While this control service stood still itself, reports waited unread: that time is nobody's silence.
// Without it, one publication that took longer than half the time to silence had all of the fleet taken for
// silent. Harm: a node that falls silent in such a time is out later by as much.
void Members::excuse_own_pause() {
  const Nanos before = std::exchange(stepped_at_, now_);
  const Nanos pause = now_ - before;
  if (before == 0 || pause <= kOwnPause) return;
  view_since_ = std::min(now_, view_since_ + pause);
  for (Member& member : members_) {
    for (Nanos* at : {&member.heard_at, &member.moved_at, &member.proxies_content_at}) {
      if (*at > 0) *at = std::min(now_, *at + pause);
    }
  }
}

bool Members::step(Nanos now) {
  now_ = std::max(now_, now);
  excuse_own_pause();
  changed_ = false;
  for (const ViewStep& row : kViews) {
    if (row.view != view_ || !(this->*row.when)()) continue;
    change_view(row.next, row.why);
    break;
  }
  if (view_ != View::kRestoring) {
    count_out();
    for (Member& member : members_) step(member);
    keep_floor();
  }
  follow_weights();
  return changed_;
}

// Cut off from most nodes, only the word of those that are heard counts: nobody is out for silence.
void Members::step(Member& member) {
  for (const Step& row : kSteps) {
    if (row.state != member.state || !(this->*row.when)(member)) continue;
    if (view_ == View::kIsolated && row.next == State::kSilent) continue;
    return enter(member, row.next, row.why);
  }
}

void Members::enter(Member& member, State next, const char* why) {
  const bool was_in = member.in_service();
  char line[256];
  std::snprintf(
      line, sizeof line,
      "node %s %s -> %s: %s; window %u, limit %.1f, held %u, unanswered %llu, weight %.2f, flaps %d",
      member.node.name.c_str(), name_of(member.state), name_of(next), why, member.report.window,
      member.report.limit, member.report.held, static_cast<unsigned long long>(unanswered(member.report)),
      member.weight, member.flaps);
  log_(line);
  out_ -= out_of(member);
  member.state = next;
  member.since = member.calm_since = now_;
  member.kept_in = was_in && has_failed(next) && !may_be_out(member);
  out_ += out_of(member);
  if (member.kept_in) log_("node " + member.node.name + " is kept in: too much of the fleet would be out");
  changed_ = true;
  switch (next) {
    case State::kRamping:
      member.ramp = bounds_.ramp_from;
      break;
    case State::kServing:
      member.ramp = 1;
      break;
    case State::kSick:
    case State::kMute:
    case State::kSilent:
      if (was_in && member.returned_at > 0 && now_ - member.returned_at < kFlapDwells * bounds_.dwell) {
        member.flaps = std::min(kMostFlaps, member.flaps + 1);
      }
      break;
    default:
      break;
  }
  if (!was_in && member.in_service()) came_back(member);
}

// What was seen before a return tells nothing of what comes after it.
void Members::came_back(Member& member) {
  member.returned_at = member.moved_at = member.proxies_content_at = now_;
  member.issued = member.succeeded = member.failed = DecayingSum(Member::kWindow);
  member.weight = std::max(member.weight, bounds_.least_weight);
}

void Members::call_out(const std::set<std::string>& nodes) {
  for (Member& member : members_) {
    bool out = nodes.contains(member.node.name);
    if (out == member.called_out) continue;
    bool was_in = member.in_service();
    member.called_out = out;
    if (!was_in && member.in_service()) came_back(member);
  }
}

// Counted anew in each step, so that no rounding adds up.
void Members::count_out() {
  capacity_ = 0;
  out_ = 0;
  for (const Member& one : members_) {
    capacity_ += one.node.capacity;
    out_ += out_of(one);
  }
}

// By what else is out: `out_` is without this member.
bool Members::may_be_out(const Member& member) const {
  return out_ + member.node.capacity <= bounds_.most_out * capacity_ + 1e-9;
}

// However bad the evidence, no more than a stated share of the fleet is out by our choice: evidence can be
// wrong, and the rest would fall over. Harm: what is kept in for dead costs each exchange sent there a try.
void Members::keep_floor() {
  for (Member& member : members_) {
    if (!member.kept_in) continue;
    out_ -= out_of(member);
    bool stays = !may_be_out(member);
    if (!stays) member.kept_in = false;
    out_ += out_of(member);
    if (stays) continue;
    changed_ = true;
    log_("node " + member.node.name + " is out now: the rest of the fleet is back");
  }
}

// ---- Shares

// How hard a node is pressed: by what it denies, and by how full its hold is.
double Members::pressure(const Member& member) const {
  double read = member.read.read(now_);
  double denied = read < kFewReads ? 0 : std::min(1.0, member.denied.read(now_) / read);
  double window = std::max(1.0, static_cast<double>(member.report.window));
  return denied + kHeldWeighs * std::min(1.0, static_cast<double>(member.report.held) / window);
}

// Weight moves from nodes that are pressed more than the others to those that are pressed less, at a bounded
// speed. What a node admits stays its own decision: this only evens out what reaches it.
void Members::follow_weights() {
  double passed = std::min(1.0, seconds(now_ - followed_at_));
  followed_at_ = now_;
  double total = 0;
  double shares = 0;
  for (const Member& member : members_) {
    if (!member.in_service() || !heard(member)) continue;
    total += pressure(member) * member.share();
    shares += member.share();
  }
  double mean = shares > 0 ? total / shares : 0;
  for (Member& member : members_) {
    if (view_ != View::kClear) continue;
    if (member.state == State::kRamping) {
      double part = bounds_.ramp > 0 ? passed / seconds(bounds_.ramp) : 1;
      member.ramp = std::min(1.0, member.ramp + (1 - bounds_.ramp_from) * part);
    }
    if (member.flaps > 0 && member.in_service() &&
        now_ - member.calm_since > 2 * kFlapDwells * bounds_.dwell) {
      --member.flaps;
      member.calm_since = now_;
    }
    if (!member.in_service() || !heard(member)) continue;
    double apart = mean - pressure(member);
    double speed = std::abs(apart) < kAlike ? kRecoverShare : std::clamp(kSteep * apart, -1.0, 1.0);
    member.weight =
        std::clamp(member.weight + speed * bounds_.weight_step * passed, bounds_.least_weight, 1.0);
  }
}

}  // namespace myrtlecroft::routing
