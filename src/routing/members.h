// The nodes of the fleet as this control service knows them: who may be sent what share of the exchanges.
//
// A node's own word counts (docs/design/control-xds.md): its mode and its window are taken as told. What a
// node can't tell is found here: that it is silent, that it takes exchanges and answers none, that it came
// back as another life. No I/O; the time comes with each input.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"
#include "myrtlecroft/decaying_sum.h"
#include "report/frames.h"

namespace myrtlecroft::routing {

enum class State {
  kPresumed,  // not heard of since we started; it has the place it had before
  kRamping,   // let in by degrees
  kServing,
  kLeaving,  // by its own word
  kSick,     // by its own word: denies all, or its engine is not up
  kMute,     // takes exchanges and answers none
  kSilent    // has not reported
};
constexpr int kStates = 7;
const char* name_of(State state);
// Out by what is seen of it, and not by its own leave or by agreement.
inline bool has_failed(State state) {
  return state == State::kSick || state == State::kMute || state == State::kSilent;
}

// What is seen of this control service's own place in the network.
enum class View {
  kRestoring,  // started, too few nodes have reported: what was served before is served on
  kClear,
  kIsolated  // too many nodes fell silent at once: it is we who are cut off, and nothing is changed
};
const char* name_of(View view);

// What proxies say of one node since they last said it.
struct ProxyCounts {
  std::string node;
  std::uint64_t issued = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

// One endpoint group of a report: its place among the fleet's groups, and its share of what the node read.
struct GroupShare {
  int group = -1;  // -1: the fleet file names no such group
  double share = 0;
};

struct Member {
  fleet::Node node;
  State state = State::kPresumed;
  Nanos since = 0;          // in this state
  bool kept_in = false;     // should be out, but too much of the fleet would be
  bool called_out = false;  // by agreement: it gets nothing new
  bool connected = false;
  Nanos heard_at = 0;         // 0 = not since we started
  std::uint64_t life = 0;     // 0 = not known
  Nanos lost_keys_at = 0;     // when another life was first seen; 0 = never
  std::uint32_t version = 0;  // that it runs, as it said last
  report::NodeReport report{};
  std::vector<GroupShare> group_shares{};  // of the report's groups, in their order
  // From its reports.
  DecayingSum read{kWindow};
  DecayingSum denied{kWindow};
  DecayingSum ran{kWindow};      // answers of what was not denied
  DecayingSum in_time{kWindow};  // of these, within the SLO time
  DecayingSum asked{kWindow};    // running and held, in each report
  DecayingSum reports{kWindow};  // how many
  Nanos moved_at = 0;            // an answer was last seen, or nothing was unanswered
  // From proxies.
  DecayingSum issued{kWindow};
  DecayingSum succeeded{kWindow};
  DecayingSum failed{kWindow};
  Nanos proxies_content_at = 0;  // one of them last had an answer from it
  // Its share.
  double weight = 1;      // of its capacity: lower while it is pressed harder than the others
  double ramp = 1;        // of that
  Nanos returned_at = 0;  // let in again; 0 = was never out
  int flaps = 0;          // times it went out again soon after it was let in
  Nanos calm_since = 0;   // a flap is forgiven after some time in service

  static constexpr Nanos kWindow = 2 * kSecond;

  bool in_service() const {  // as far as this control service has a say in it
    return !called_out &&
           (kept_in || state == State::kPresumed || state == State::kRamping || state == State::kServing);
  }
  // Exchanges that run or are held there, over the last reports.
  double asked_of(Nanos now) const {
    double count = reports.read(now);
    return count > 0 ? asked.read(now) / count : 0;
  }
  // As it is at its best: what stays of the fleet is counted in such.
  bool whole() const { return !called_out && state == State::kServing && !report.cold; }
  double share() const { return node.capacity * weight * ramp; }
};

class Members {
 public:
  // Each line tells of one change, with its figures.
  using Log = std::function<void(const std::string&)>;
  Members(const fleet::Fleet& fleet, Nanos now, Log log);

  // A new fleet file: members that stay keep all that is known of them.
  void fleet_changed(const fleet::Fleet& fleet, Nanos now);

  enum class Verdict {
    kTaken,
    kUnknownNode,
    kOtherAddress,  // the fleet file's word stands: somebody else goes by this name
    kFuture,        // due times hang on the node's clock: with a wrong one it must not be taken for well
    kStale          // an earlier life, or older than one that came
  };
  // `unix_now` is our wall clock in nanoseconds.
  Verdict reported(const report::NodeReport& report, Nanos now, std::int64_t unix_now);
  void report_link(const std::string& node, bool up, Nanos now);
  void proxies_say(const ProxyCounts& counts, Nanos now);
  // What was known before a restart. Only before the first step.
  void restore(const std::string& node, State state, std::uint64_t life, double weight, int flaps,
               std::uint32_t version);
  // Those that are to get nothing; the others of them that had nothing get their part again.
  void call_out(const std::set<std::string>& nodes);

  // Looks at all of them. True where the view or a state changed.
  bool step(Nanos now);

  const std::vector<Member>& all() const { return members_; }
  const Member* member(const std::string& name) const { return const_cast<Members*>(this)->find(name); }
  // Its place in all(), or -1. Places stand until the layout changes.
  int place_of(const std::string& name) const;
  // The member that listens there, or nullptr.
  const Member* member_at(const std::string& address) const;
  // Grows with each fleet file that is taken; above 0.
  std::uint64_t layout() const { return layout_; }
  View view() const { return view_; }

 private:
  struct Step {
    State state;
    bool (Members::*when)(const Member&) const;
    State next;
    const char* why;
  };
  static const std::vector<Step> kSteps;
  struct ViewStep {
    View view;
    bool (Members::*when)() const;
    View next;
    const char* why;
  };
  static const std::vector<ViewStep> kViews;

  bool heard_enough() const;
  bool many_silent() const;
  bool few_silent() const { return !many_silent() && now_ - view_since_ >= bounds_.silent_after; }
  double share_heard_within(Nanos time) const;  // of the capacity that is in service

  bool silent(const Member& member) const;
  bool leaving(const Member& member) const { return member.report.leaving; }
  bool heard_leaving(const Member& member) const { return heard(member) && leaving(member); }
  bool sick(const Member& member) const;
  bool mute(const Member& member) const { return mute_to_itself(member) || mute_to_proxies(member); }
  bool mute_to_itself(const Member& member) const;
  bool mute_to_proxies(const Member& member) const;
  bool heard(const Member& member) const { return member.heard_at > 0 && !silent(member); }
  bool well(const Member& member) const { return heard(member) && !leaving(member) && !sick(member); }
  bool well_and_cold(const Member& member) const { return well(member) && member.report.cold; }
  bool cold_anew(const Member& member) const { return member.report.cold && member.ramp >= 1; }
  bool ramped(const Member& member) const { return member.ramp >= 1 && !member.report.cold; }
  bool rested(const Member& member) const { return now_ - member.since >= dwell(member); }
  bool may_return(const Member& member) const { return well(member) && rested(member); }
  bool may_return_cold(const Member& member) const { return well_and_cold(member) && rested(member); }
  Nanos dwell(const Member& member) const;
  bool may_be_out(const Member& member) const;
  void count_out();
  // Of its capacity, what counts as out by our choice or by agreement.
  static double out_of(const Member& member) {
    bool out = member.called_out || (has_failed(member.state) && !member.kept_in);
    return out ? member.node.capacity : 0;
  }

  void excuse_own_pause();
  void step(Member& member);
  void enter(Member& member, State next, const char* why);
  void came_back(Member& member);
  void keep_floor();
  void follow_weights();
  void change_view(View next, const char* why);
  double pressure(const Member& member) const;
  Member* find(const std::string& name);
  void note_groups(Member& member, const report::NodeReport& report) const;

  fleet::Bounds bounds_;
  Nanos longest_slo_ = 0;
  std::vector<Member> members_;
  std::unordered_map<std::string, int> places_;             // only looked up: its order says nothing
  std::unordered_map<std::string, int> places_by_address_;  // the same
  std::unordered_map<std::string, int> groups_;             // the same, of the fleet's groups
  std::uint64_t layout_ = 0;
  double capacity_ = 0;  // of all, and of those that are out; kept up within a step
  double out_ = 0;
  View view_ = View::kRestoring;
  Nanos view_since_;
  Nanos now_;
  Nanos followed_at_;
  Nanos stepped_at_ = 0;  // 0 = not yet
  bool changed_ = false;
  Log log_;
};

}  // namespace myrtlecroft::routing
