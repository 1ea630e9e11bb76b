// The servers of the fleet as this control service knows them: who may be sent what share of the requests.
//
// A server's own word counts (docs/design/control-xds.md): its mode and its window are taken as told. What a
// server can't tell is found here: that it is silent, that it takes requests and answers none, that it came
// back as another incarnation. No I/O; the time comes with each input.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"
#include "myrtlecroft/decaying_sum.h"
#include "report/load_report.h"

namespace myrtlecroft::routing {

enum class ServerState {
  kAssumedHealthy,  // not heard of since we started; it has the place it had before
  kSlowStart,       // let in by degrees
  kServing,
  kDraining,      // by its own word
  kUnhealthy,     // by its own word: rejects all, or its engine is not up
  kUnresponsive,  // takes requests and answers none
  kLost           // has not reported
};
constexpr int kStates = 7;
const char* name_of(ServerState state);
// Out by what is seen of it, and not by its own leave or by agreement.
inline bool has_failed(ServerState state) {
  return state == ServerState::kUnhealthy || state == ServerState::kUnresponsive ||
         state == ServerState::kLost;
}

// What is seen of this control service's own place in the network.
enum class View {
  kRestoring,  // started, too few servers have reported: what was served before is served on
  kClear,
  kPartitioned  // too many servers fell silent at once: it is we who are cut off, and nothing is changed
};
const char* name_of(View view);

// What proxies say of one server since they last said it.
struct ProxyCounts {
  std::string node;
  std::uint64_t issued = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

// One request class of a report: its place among the fleet's groups, and its share of what the server read.
struct RequestClassShare {
  int request_class = -1;  // -1: the fleet file names no such group
  double share = 0;
};

struct ServerStatus {
  fleet::Node node;
  ServerState state = ServerState::kAssumedHealthy;
  Nanos since = 0;                // in this state
  bool kept_in_rotation = false;  // should be out, but too much of the fleet would be
  bool called_out = false;        // by agreement: it gets nothing new
  bool connected = false;
  Nanos heard_at = 0;             // 0 = not since we started
  std::uint64_t incarnation = 0;  // 0 = not known
  Nanos lost_keys_at = 0;         // when another incarnation was first seen; 0 = never
  std::uint32_t version = 0;      // that it runs, as it said last
  report::LoadReport report{};
  std::vector<RequestClassShare> request_class_shares{};  // of the report's groups, in their order
  // From its reports.
  DecayingSum read{kWindow};
  DecayingSum rejected{kWindow};
  DecayingSum ran{kWindow};      // answers of what was not rejected
  DecayingSum in_time{kWindow};  // of these, within the latency objective
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
    return !called_out && (kept_in_rotation || state == ServerState::kAssumedHealthy ||
                           state == ServerState::kSlowStart || state == ServerState::kServing);
  }
  // Requests that run or are held there, over the last reports.
  double asked_of(Nanos now) const {
    double count = reports.read(now);
    return count > 0 ? asked.read(now) / count : 0;
  }
  // As it is at its best: what stays of the fleet is counted in such.
  bool whole() const { return !called_out && state == ServerState::kServing && !report.warming_up; }
  double share() const { return node.capacity * weight * ramp; }
};

class ServerRegistry {
 public:
  // Each line tells of one change, with its figures.
  using Log = std::function<void(const std::string&)>;
  ServerRegistry(const fleet::Fleet& fleet, Nanos now, Log log);

  // A new fleet file: members that stay keep all that is known of them.
  void fleet_changed(const fleet::Fleet& fleet, Nanos now);

  enum class Verdict {
    kTaken,
    kUnknownNode,
    kOtherAddress,  // the fleet file's word stands: somebody else goes by this name
    kFuture,        // due times hang on the server's clock: with a wrong one it must not be taken for well
    kStale          // an earlier incarnation, or older than one that came
  };
  // `unix_now` is our wall clock in nanoseconds.
  Verdict reported(const report::LoadReport& report, Nanos now, std::int64_t unix_now);
  void report_link(const std::string& node, bool up, Nanos now);
  void proxies_say(const ProxyCounts& counts, Nanos now);
  // What was known before a restart. Only before the first step.
  void restore(const std::string& node, ServerState state, std::uint64_t incarnation, double weight,
               int flaps, std::uint32_t version);
  // Those that are to get nothing; the others of them that had nothing get their part again.
  void call_out(const std::set<std::string>& nodes);

  // Looks at all of them. True where the view or a state changed.
  bool step(Nanos now);

  const std::vector<ServerStatus>& all() const { return servers_; }
  const ServerStatus* server(const std::string& name) const {
    return const_cast<ServerRegistry*>(this)->find(name);
  }
  // Its place in all(), or -1. Places stand until the layout changes.
  int place_of(const std::string& name) const;
  // The member that listens there, or nullptr.
  const ServerStatus* server_at(const std::string& address) const;
  // Grows with each fleet file that is taken; above 0.
  std::uint64_t layout() const { return layout_; }
  View view() const { return view_; }

 private:
  struct Step {
    ServerState state;
    bool (ServerRegistry::*when)(const ServerStatus&) const;
    ServerState next;
    const char* why;
  };
  static const std::vector<Step> kSteps;
  struct ViewStep {
    View view;
    bool (ServerRegistry::*when)() const;
    View next;
    const char* why;
  };
  static const std::vector<ViewStep> kViews;

  bool heard_enough() const;
  bool many_silent() const;
  bool few_silent() const { return !many_silent() && now_ - view_since_ >= bounds_.lost_after; }
  double share_heard_within(Nanos time) const;  // of the capacity that is in service

  bool silent(const ServerStatus& server) const;
  bool draining(const ServerStatus& server) const { return server.report.draining; }
  bool heard_leaving(const ServerStatus& server) const { return heard(server) && draining(server); }
  bool sick(const ServerStatus& server) const;
  bool mute(const ServerStatus& server) const { return mute_to_itself(server) || mute_to_proxies(server); }
  bool mute_to_itself(const ServerStatus& server) const;
  bool mute_to_proxies(const ServerStatus& server) const;
  bool heard(const ServerStatus& server) const { return server.heard_at > 0 && !silent(server); }
  bool well(const ServerStatus& server) const { return heard(server) && !draining(server) && !sick(server); }
  bool well_and_cold(const ServerStatus& server) const { return well(server) && server.report.warming_up; }
  bool cold_anew(const ServerStatus& server) const { return server.report.warming_up && server.ramp >= 1; }
  bool ramped(const ServerStatus& server) const { return server.ramp >= 1 && !server.report.warming_up; }
  bool rested(const ServerStatus& server) const { return now_ - server.since >= dwell(server); }
  bool may_return(const ServerStatus& server) const { return well(server) && rested(server); }
  bool may_return_cold(const ServerStatus& server) const { return well_and_cold(server) && rested(server); }
  Nanos dwell(const ServerStatus& server) const;
  bool may_be_out(const ServerStatus& server) const;
  void count_out();
  // Of its capacity, what counts as out by our choice or by agreement.
  static double out_of(const ServerStatus& server) {
    bool out = server.called_out || (has_failed(server.state) && !server.kept_in_rotation);
    return out ? server.node.capacity : 0;
  }

  void excuse_own_pause();
  void step(ServerStatus& server);
  void enter(ServerStatus& server, ServerState next, const char* why);
  void came_back(ServerStatus& server);
  void keep_floor();
  void follow_weights();
  void change_view(View next, const char* why);
  double pressure(const ServerStatus& server) const;
  ServerStatus* find(const std::string& name);
  void note_request_classes(ServerStatus& server, const report::LoadReport& report) const;

  fleet::Bounds bounds_;
  Nanos longest_slo_ = 0;
  std::vector<ServerStatus> servers_;
  std::unordered_map<std::string, int> places_;             // only looked up: its order says nothing
  std::unordered_map<std::string, int> places_by_address_;  // the same
  std::unordered_map<std::string, int> request_classes_;    // the same, of the fleet's groups
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
