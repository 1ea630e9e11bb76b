#include "routing/server_registry.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace myrtlecroft::routing {
namespace {

constexpr Nanos kLostLinkShare = 4;     // silent after this part of the usual time, where its link broke
constexpr Nanos kOwnPause = 300 * kMs;  // between two steps: three beats of whoever calls us
constexpr Nanos kSuspectShare = 2;      // heard of within this part of the time to silence, or it may be us
constexpr std::uint64_t kUnresponsiveMin = 3;  // unanswered requests, as the server counts them
constexpr double kMuteIssued = 8;              // requests lately, as proxies count them
constexpr double kMuteAnswered = 0.02;         // of these
constexpr double kMuteOfSlo = 0.5;  // quiet for less than this part of the latency objective tells nothing
constexpr double kOwnRejections = 0.5;  // of what it read; where more, proxies see no answers but rejections
constexpr double kHeldWeighs = 0.5;     // of a full hold, beside the share rejected
constexpr double kAlike = 0.08;         // apart in pressure by less than this: no reason to move weight
constexpr double kSteep = 4;            // pressure apart by one over this: weight moves at full speed
constexpr double kRecoverShare = 0.25;  // of that speed, back to even while all is alike
constexpr double kFewReads = 5;         // lately; with fewer, the share rejected says little
constexpr Nanos kFlapDwells = 5;        // out again within so many dwells of being let in: it flaps
constexpr int kMaxFlaps = 4;            // each doubles the dwell

double seconds(Nanos t) { return static_cast<double>(t) / static_cast<double>(kSecond); }

struct Totals {
  std::uint64_t read = 0;
  std::uint64_t rejected = 0;
  std::uint64_t answered = 0;
  std::uint64_t in_time = 0;
};

Totals totals_of(const report::LoadReport& report) {
  Totals out;
  for (const report::RequestClassCounts& counts : report.request_classes) {
    out.read += counts.read;
    out.rejected += counts.rejected;
    out.answered += counts.rejected + counts.completed + counts.terminated;
    out.in_time += counts.in_time;
  }
  return out;
}

std::uint64_t unanswered(const report::LoadReport& report) {
  Totals totals = totals_of(report);
  return totals.read - std::min(totals.read, totals.answered);
}

}  // namespace

const char* name_of(ServerState state) {
  constexpr const char* names[kStates] = {"presumed", "ramping", "serving", "leaving",
                                          "sick",     "mute",    "silent"};
  return names[static_cast<std::size_t>(state)];
}

const char* name_of(View view) {
  constexpr const char* names[] = {"restoring", "clear", "isolated"};
  return names[static_cast<std::size_t>(view)];
}

// The first row that applies is taken. A server's own word stands first, then what it can't tell of itself.
const std::vector<ServerRegistry::Step> ServerRegistry::kSteps = {
    {ServerState::kAssumedHealthy, &ServerRegistry::draining, ServerState::kDraining, "it leaves"},
    {ServerState::kAssumedHealthy, &ServerRegistry::silent, ServerState::kLost, "no report"},
    {ServerState::kAssumedHealthy, &ServerRegistry::sick, ServerState::kUnhealthy, "by its own word"},
    {ServerState::kAssumedHealthy, &ServerRegistry::well_and_cold, ServerState::kSlowStart, "it is cold"},
    {ServerState::kAssumedHealthy, &ServerRegistry::well, ServerState::kServing, "it reports"},

    {ServerState::kSlowStart, &ServerRegistry::draining, ServerState::kDraining, "it leaves"},
    {ServerState::kSlowStart, &ServerRegistry::silent, ServerState::kLost, "no report"},
    {ServerState::kSlowStart, &ServerRegistry::sick, ServerState::kUnhealthy, "by its own word"},
    {ServerState::kSlowStart, &ServerRegistry::mute, ServerState::kUnresponsive,
     "takes exchanges and answers none"},
    {ServerState::kSlowStart, &ServerRegistry::ramped, ServerState::kServing, "ramped and warm"},

    {ServerState::kServing, &ServerRegistry::draining, ServerState::kDraining, "it leaves"},
    {ServerState::kServing, &ServerRegistry::silent, ServerState::kLost, "no report"},
    {ServerState::kServing, &ServerRegistry::sick, ServerState::kUnhealthy, "by its own word"},
    {ServerState::kServing, &ServerRegistry::mute, ServerState::kUnresponsive,
     "takes exchanges and answers none"},
    {ServerState::kServing, &ServerRegistry::cold_anew, ServerState::kSlowStart, "it came back cold"},

    {ServerState::kDraining, &ServerRegistry::silent, ServerState::kLost, "it has left"},
    {ServerState::kDraining, &ServerRegistry::may_return, ServerState::kSlowStart,
     "it stays, or is another life"},

    {ServerState::kUnhealthy, &ServerRegistry::draining, ServerState::kDraining, "it leaves"},
    {ServerState::kUnhealthy, &ServerRegistry::silent, ServerState::kLost, "no report"},
    {ServerState::kUnhealthy, &ServerRegistry::may_return, ServerState::kSlowStart, "well by its own word"},

    {ServerState::kUnresponsive, &ServerRegistry::draining, ServerState::kDraining, "it leaves"},
    {ServerState::kUnresponsive, &ServerRegistry::silent, ServerState::kLost, "no report"},
    {ServerState::kUnresponsive, &ServerRegistry::sick, ServerState::kUnhealthy, "by its own word"},
    {ServerState::kUnresponsive, &ServerRegistry::may_return, ServerState::kSlowStart, "to be tried again"},

    {ServerState::kLost, &ServerRegistry::heard_leaving, ServerState::kDraining,
     "it reports again, and leaves"},
    {ServerState::kLost, &ServerRegistry::may_return_cold, ServerState::kSlowStart, "it reports again, cold"},
    {ServerState::kLost, &ServerRegistry::may_return, ServerState::kServing, "it reports again"},
};

const std::vector<ServerRegistry::ViewStep> ServerRegistry::kViews = {
    {View::kRestoring, &ServerRegistry::heard_enough, View::kClear, "enough nodes have reported"},
    {View::kClear, &ServerRegistry::many_silent, View::kPartitioned, "too many nodes fell silent at once"},
    {View::kPartitioned, &ServerRegistry::few_silent, View::kClear, "nodes are heard again"},
};

ServerRegistry::ServerRegistry(const fleet::Fleet& fleet, Nanos now, Log log)
    : view_since_(now), now_(now), followed_at_(now), log_(std::move(log)) {
  fleet_changed(fleet, now);
}

void ServerRegistry::fleet_changed(const fleet::Fleet& fleet, Nanos now) {
  now_ = std::max(now_, now);
  bounds_ = fleet.bounds;
  longest_slo_ = 0;
  request_classes_.clear();
  for (std::size_t at = 0; at < fleet.request_classes.size(); ++at) {
    longest_slo_ = std::max(longest_slo_, fleet.request_classes[at].latency_objective);
    request_classes_.emplace(fleet.request_classes[at].name, static_cast<int>(at));
  }
  std::vector<ServerStatus> next;
  next.reserve(fleet.nodes.size());
  for (const fleet::Node& node : fleet.nodes) {
    ServerStatus* old = find(node.name);
    if (old && old->node.address() == node.address()) {
      next.push_back(std::move(*old));
      next.back().node = node;
      next.back().request_class_shares.clear();
      note_request_classes(next.back(), next.back().report);
      continue;
    }
    // At another address it is another server. One that is added while others are known starts from nothing:
    // it is let in once it reports.
    ServerStatus server{.node = node, .since = now_};
    if (view_ != View::kRestoring) server.state = ServerState::kLost;
    next.push_back(std::move(server));
  }
  servers_ = std::move(next);
  places_.clear();
  places_by_address_.clear();
  for (std::size_t place = 0; place < servers_.size(); ++place) {
    places_.emplace(servers_[place].node.name, static_cast<int>(place));
    places_by_address_.emplace(servers_[place].node.address(), static_cast<int>(place));
  }
  ++layout_;
}

int ServerRegistry::place_of(const std::string& name) const {
  auto found = places_.find(name);
  return found == places_.end() ? -1 : found->second;
}

const ServerStatus* ServerRegistry::server_at(const std::string& address) const {
  auto found = places_by_address_.find(address);
  return found == places_by_address_.end() ? nullptr : &servers_[static_cast<std::size_t>(found->second)];
}

ServerStatus* ServerRegistry::find(const std::string& name) {
  int place = place_of(name);
  return place < 0 ? nullptr : &servers_[static_cast<std::size_t>(place)];
}

// A server names the same groups in each report: they are looked up only where a name is another than before.
void ServerRegistry::note_request_classes(ServerStatus& server, const report::LoadReport& report) const {
  double all = 0;
  for (const report::RequestClassCounts& counts : report.request_classes)
    all += static_cast<double>(counts.read);
  const std::vector<report::RequestClassCounts>& before = server.report.request_classes;
  std::size_t known = std::min(server.request_class_shares.size(), before.size());
  server.request_class_shares.resize(report.request_classes.size());
  for (std::size_t at = 0; at < report.request_classes.size(); ++at) {
    const report::RequestClassCounts& counts = report.request_classes[at];
    RequestClassShare& to = server.request_class_shares[at];
    if (at >= known || before[at].request_class != counts.request_class) {
      auto found = request_classes_.find(counts.request_class);
      to.request_class = found == request_classes_.end() ? -1 : found->second;
    }
    to.share = all > 0 ? static_cast<double>(counts.read) / all : 0;
  }
}

// ---- Inputs

ServerRegistry::Verdict ServerRegistry::reported(const report::LoadReport& report, Nanos now,
                                                 std::int64_t unix_now) {
  now_ = std::max(now_, now);
  ServerStatus* server = find(report.node);
  if (!server) return Verdict::kUnknownNode;
  if (report.address != server->node.address()) return Verdict::kOtherAddress;
  if (report.sent_unix > unix_now + bounds_.clock_skew) return Verdict::kFuture;
  bool same_incarnation = report.incarnation == server->incarnation;
  if (report.incarnation < server->incarnation ||
      (same_incarnation && report.sequence <= server->report.sequence)) {
    return Verdict::kStale;
  }
  Totals before = same_incarnation ? totals_of(server->report) : Totals{};
  Totals totals = totals_of(report);
  if (!same_incarnation) {
    if (server->incarnation != 0) {
      server->lost_keys_at = now_;
      log_("node " + report.node + " is another life: it has lost its keys");
    }
    server->incarnation = report.incarnation;
    server->moved_at = now_;
  } else if (totals.read >= before.read && totals.rejected >= before.rejected) {
    server->read.add(static_cast<double>(totals.read - before.read), now_);
    server->rejected.add(static_cast<double>(totals.rejected - before.rejected), now_);
    if (totals.in_time >= before.in_time)
      server->in_time.add(static_cast<double>(totals.in_time - before.in_time), now_);
    if (totals.answered - totals.rejected >= before.answered - before.rejected)
      server->ran.add(
          static_cast<double>(totals.answered - totals.rejected - before.answered + before.rejected), now_);
  }
  server->version = report.version;
  server->asked.add(report.running + report.held, now_);
  server->reports.add(1, now_);
  if (totals.answered > before.answered || totals.answered >= totals.read) server->moved_at = now_;
  note_request_classes(*server, report);
  server->report = report;
  server->heard_at = now_;
  return Verdict::kTaken;
}

void ServerRegistry::report_link(const std::string& node, bool up, Nanos now) {
  now_ = std::max(now_, now);
  if (ServerStatus* server = find(node)) server->connected = up;
}

void ServerRegistry::proxies_say(const ProxyCounts& counts, Nanos now) {
  now_ = std::max(now_, now);
  ServerStatus* server = find(counts.node);
  if (!server) return;
  server->issued.add(static_cast<double>(counts.issued), now_);
  server->succeeded.add(static_cast<double>(counts.succeeded), now_);
  server->failed.add(static_cast<double>(counts.failed), now_);
  if (counts.succeeded > 0 || server->proxies_content_at == 0) server->proxies_content_at = now_;
}

void ServerRegistry::restore(const std::string& node, ServerState state, std::uint64_t incarnation,
                             double weight, int flaps, std::uint32_t version) {
  ServerStatus* server = find(node);
  if (!server) return;
  server->version = version;
  server->incarnation = incarnation;
  server->weight = std::clamp(weight, bounds_.min_weight, 1.0);
  server->flaps = std::clamp(flaps, 0, kMaxFlaps);
  bool was_in = state == ServerState::kAssumedHealthy || state == ServerState::kSlowStart ||
                state == ServerState::kServing;
  server->state = was_in ? ServerState::kAssumedHealthy : state;
}

// ---- What is seen of one server

// Before a server was heard of, its time runs from when this control service could hear.
bool ServerRegistry::silent(const ServerStatus& server) const {
  Nanos limit =
      server.connected || server.heard_at == 0 ? bounds_.lost_after : bounds_.lost_after / kLostLinkShare;
  return now_ - std::max(server.heard_at, view_since_) > limit;
}

bool ServerRegistry::sick(const ServerStatus& server) const {
  return server.heard_at > 0 && (!server.report.engine_up || server.report.mode == Mode::kStalled);
}

// The server hangs in a way that it does not see itself: it goes on to report, and to read.
bool ServerRegistry::mute_to_itself(const ServerStatus& server) const {
  Nanos limit = std::max(bounds_.unresponsive_after,
                         static_cast<Nanos>(kMuteOfSlo * static_cast<double>(longest_slo_)));
  return unanswered(server.report) >= kUnresponsiveMin && server.heard_at - server.moved_at > limit;
}

// What it reports looks well, but nothing of it reaches the proxies. Harm: a server that rejects almost all
// for a good reason looks the same to proxies that count rejections as errors; its own count of rejections
// tells.
bool ServerRegistry::mute_to_proxies(const ServerStatus& server) const {
  double issued = server.issued.read(now_);
  Nanos limit = std::max(bounds_.unresponsive_after,
                         static_cast<Nanos>(kMuteOfSlo * static_cast<double>(longest_slo_)));
  return issued >= kMuteIssued && server.succeeded.read(now_) < kMuteAnswered * issued &&
         now_ - server.proxies_content_at > limit &&
         server.rejected.read(now_) <= kOwnRejections * server.read.read(now_);
}

// A server that flaps stays out for longer each time.
Nanos ServerRegistry::dwell(const ServerStatus& server) const {
  return bounds_.dwell << std::min(server.flaps, kMaxFlaps);
}

// ---- What is seen of the fleet

double ServerRegistry::share_heard_within(Nanos time) const {
  double all = 0;
  double heard = 0;
  for (const ServerStatus& server : servers_) {
    if (!server.in_service()) continue;
    all += server.node.capacity;
    if (server.heard_at > 0 && now_ - server.heard_at <= time) heard += server.node.capacity;
  }
  return all > 0 ? heard / all : 1;
}

bool ServerRegistry::heard_enough() const {
  return share_heard_within(bounds_.lost_after) >= bounds_.partitioned_at &&
         std::any_of(servers_.begin(), servers_.end(),
                     [](const ServerStatus& one) { return one.heard_at > 0; });
}

// Looked for at half the time to silence, so that none is taken for silent before it is seen that most are.
// Harm: a fleet that loses most of its servers at once keeps its old snapshot; what is sent to the dead is
// refused there and repeated elsewhere.
bool ServerRegistry::many_silent() const {
  return 1 - share_heard_within(bounds_.lost_after / kSuspectShare) > bounds_.partitioned_at;
}

void ServerRegistry::change_view(View next, const char* why) {
  char line[160];
  std::snprintf(line, sizeof line, "view %s -> %s: %s; heard of %.2f of the capacity in service",
                name_of(view_), name_of(next), why, share_heard_within(bounds_.lost_after / kSuspectShare));
  log_(line);
  view_ = next;
  view_since_ = now_;
  changed_ = true;
}

// While this control service stood still itself, reports waited unread: that time is nobody's silence.
// Without it, one publication that took longer than half the time to silence had all of the fleet taken for
// silent. Harm: a server that falls silent in such a time is out later by as much.
void ServerRegistry::excuse_own_pause() {
  const Nanos before = std::exchange(stepped_at_, now_);
  const Nanos pause = now_ - before;
  if (before == 0 || pause <= kOwnPause) return;
  view_since_ = std::min(now_, view_since_ + pause);
  for (ServerStatus& server : servers_) {
    for (Nanos* at : {&server.heard_at, &server.moved_at, &server.proxies_content_at}) {
      if (*at > 0) *at = std::min(now_, *at + pause);
    }
  }
}

bool ServerRegistry::step(Nanos now) {
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
    for (ServerStatus& server : servers_) step(server);
    keep_floor();
  }
  follow_weights();
  return changed_;
}

// Cut off from most servers, only the word of those that are heard counts: nobody is out for silence.
void ServerRegistry::step(ServerStatus& server) {
  for (const Step& row : kSteps) {
    if (row.state != server.state || !(this->*row.when)(server)) continue;
    if (view_ == View::kPartitioned && row.next == ServerState::kLost) continue;
    return enter(server, row.next, row.why);
  }
}

void ServerRegistry::enter(ServerStatus& server, ServerState next, const char* why) {
  const bool was_in = server.in_service();
  char line[256];
  std::snprintf(
      line, sizeof line,
      "node %s %s -> %s: %s; window %u, limit %.1f, held %u, unanswered %llu, weight %.2f, flaps %d",
      server.node.name.c_str(), name_of(server.state), name_of(next), why, server.report.window,
      server.report.limit, server.report.held, static_cast<unsigned long long>(unanswered(server.report)),
      server.weight, server.flaps);
  log_(line);
  out_ -= out_of(server);
  server.state = next;
  server.since = server.calm_since = now_;
  server.kept_in_rotation = was_in && has_failed(next) && !may_be_out(server);
  out_ += out_of(server);
  if (server.kept_in_rotation)
    log_("node " + server.node.name + " is kept in: too much of the fleet would be out");
  changed_ = true;
  switch (next) {
    case ServerState::kSlowStart:
      server.ramp = bounds_.ramp_from;
      break;
    case ServerState::kServing:
      server.ramp = 1;
      break;
    case ServerState::kUnhealthy:
    case ServerState::kUnresponsive:
    case ServerState::kLost:
      if (was_in && server.returned_at > 0 && now_ - server.returned_at < kFlapDwells * bounds_.dwell) {
        server.flaps = std::min(kMaxFlaps, server.flaps + 1);
      }
      break;
    default:
      break;
  }
  if (!was_in && server.in_service()) came_back(server);
}

// What was seen before a return tells nothing of what comes after it.
void ServerRegistry::came_back(ServerStatus& server) {
  server.returned_at = server.moved_at = server.proxies_content_at = now_;
  server.issued = server.succeeded = server.failed = DecayingSum(ServerStatus::kWindow);
  server.weight = std::max(server.weight, bounds_.min_weight);
}

void ServerRegistry::call_out(const std::set<std::string>& nodes) {
  for (ServerStatus& server : servers_) {
    bool out = nodes.contains(server.node.name);
    if (out == server.called_out) continue;
    bool was_in = server.in_service();
    server.called_out = out;
    if (!was_in && server.in_service()) came_back(server);
  }
}

// Counted anew in each step, so that no rounding adds up.
void ServerRegistry::count_out() {
  capacity_ = 0;
  out_ = 0;
  for (const ServerStatus& one : servers_) {
    capacity_ += one.node.capacity;
    out_ += out_of(one);
  }
}

// By what else is out: `out_` is without this member.
bool ServerRegistry::may_be_out(const ServerStatus& server) const {
  return out_ + server.node.capacity <= bounds_.max_unavailable * capacity_ + 1e-9;
}

// However bad the evidence, no more than a stated share of the fleet is out by our choice: evidence can be
// wrong, and the rest would fall over. Harm: what is kept in for dead costs each request sent there a try.
void ServerRegistry::keep_floor() {
  for (ServerStatus& server : servers_) {
    if (!server.kept_in_rotation) continue;
    out_ -= out_of(server);
    bool stays = !may_be_out(server);
    if (!stays) server.kept_in_rotation = false;
    out_ += out_of(server);
    if (stays) continue;
    changed_ = true;
    log_("node " + server.node.name + " is out now: the rest of the fleet is back");
  }
}

// ---- Shares

// How hard a server is pressed: by what it rejects, and by how full its hold is.
double ServerRegistry::pressure(const ServerStatus& server) const {
  double read = server.read.read(now_);
  double rejected = read < kFewReads ? 0 : std::min(1.0, server.rejected.read(now_) / read);
  double window = std::max(1.0, static_cast<double>(server.report.window));
  return rejected + kHeldWeighs * std::min(1.0, static_cast<double>(server.report.held) / window);
}

// Weight moves from servers that are pressed more than the others to those that are pressed less, at a
// bounded speed. What a server admits stays its own decision: this only evens out what reaches it.
void ServerRegistry::follow_weights() {
  double passed = std::min(1.0, seconds(now_ - followed_at_));
  followed_at_ = now_;
  double total = 0;
  double shares = 0;
  for (const ServerStatus& server : servers_) {
    if (!server.in_service() || !heard(server)) continue;
    total += pressure(server) * server.share();
    shares += server.share();
  }
  double mean = shares > 0 ? total / shares : 0;
  for (ServerStatus& server : servers_) {
    if (view_ != View::kClear) continue;
    if (server.state == ServerState::kSlowStart) {
      double part = bounds_.ramp > 0 ? passed / seconds(bounds_.ramp) : 1;
      server.ramp = std::min(1.0, server.ramp + (1 - bounds_.ramp_from) * part);
    }
    if (server.flaps > 0 && server.in_service() &&
        now_ - server.calm_since > 2 * kFlapDwells * bounds_.dwell) {
      --server.flaps;
      server.calm_since = now_;
    }
    if (!server.in_service() || !heard(server)) continue;
    double apart = mean - pressure(server);
    double speed = std::abs(apart) < kAlike ? kRecoverShare : std::clamp(kSteep * apart, -1.0, 1.0);
    server.weight = std::clamp(server.weight + speed * bounds_.weight_step * passed, bounds_.min_weight, 1.0);
  }
}

}  // namespace myrtlecroft::routing
