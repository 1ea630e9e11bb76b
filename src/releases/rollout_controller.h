// Concludes, where this instance decides, who goes out next, who is back, and whether a release goes on:
// steps of the next decision, which the rules of what is agreed take or refuse (agreement/outings). No I/O.
//
// What is agreed is gone on from, whoever decided it. What is measured (health of a wave, load, alarms) every
// instance measures for itself all the time, so that a new leader need not begin anew.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreement/control_replica.h"
#include "releases/canary_analysis.h"
#include "releases/disruption_budget.h"

namespace myrtlecroft::releases {

// What the result of a command that came to nothing begins with.
const std::string kCommandRejected = "refused: ";

class RolloutController final : public agreement::DecisionSection {
 public:
  using Log = std::function<void(const std::string&)>;
  explicit RolloutController(Log log) : log_(std::move(log)) {}

  void watch(const View& view) override;
  void draft(const View& view, agreement::Decision& out) override;

  // What a release waits for, or how its wave looks, as this instance sees it; one line.
  const std::string& status_detail() const { return status_detail_; }

 private:
  // One look at all of it, from which a decision is drawn.
  struct RolloutContext;
  struct TripRow {
    agreement::MaintenancePhase place;
    bool (RolloutController::*when)(const RolloutContext&, const std::string&,
                                    const agreement::MaintenanceLease&) const;
    agreement::MaintenanceInput input;
    const char* reason;
  };
  static const std::vector<TripRow> kTrips;
  struct ReleaseRow {
    agreement::Phase phase;
    std::optional<std::string> (RolloutController::*when)(const RolloutContext&);
    agreement::ReleaseInput input;
  };
  static const std::vector<ReleaseRow> kReleases;

  bool emptied(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool other_incarnation(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool empty_late(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool to_be_ordered(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool back_as_wanted(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool back_late_but_there(const RolloutContext&, const std::string&,
                           const agreement::MaintenanceLease&) const;
  bool back_late(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool serving(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool stayed(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;
  bool warm_late(const RolloutContext&, const std::string&, const agreement::MaintenanceLease&) const;

  // Each says why, where it applies.
  std::optional<std::string> no_majority_for_long(const RolloutContext&);
  std::optional<std::string> alarm_below(const RolloutContext&);
  std::optional<std::string> failed_goes_back(const RolloutContext&);
  std::optional<std::string> failed_halts(const RolloutContext&);
  std::optional<std::string> bad_goes_back(const RolloutContext&);
  std::optional<std::string> bad_halts(const RolloutContext&);
  std::optional<std::string> starved(const RolloutContext&);
  std::optional<std::string> wave_is_back(const RolloutContext&);
  std::optional<std::string> good_and_last(const RolloutContext&);
  std::optional<std::string> good(const RolloutContext&);
  std::optional<std::string> not_known_for_long(const RolloutContext&);
  std::optional<std::string> all_went_back(const RolloutContext&);

  void follow(const View& view);
  void measure_alarms(const RolloutContext& context);
  void draft_command(const RolloutContext& context, agreement::Decision& out);
  std::string drain(const RolloutContext& context, const std::string& name, bool wanted,
                    agreement::Decision& out);
  std::string release(const RolloutContext& context, const std::string& word, const std::string& rest,
                      agreement::Decision& out);
  void draft_trips(const RolloutContext& context, agreement::Decision& out);
  void draft_release(const RolloutContext& context, agreement::Decision& out);
  void draft_grants(const RolloutContext& context, agreement::Decision& out);
  std::vector<std::string> waiting(const RolloutContext& context) const;
  const AnalysisResult& finding(const RolloutContext& context);
  std::optional<std::string> failures(const RolloutContext& context) const;

  Log log_;
  CanaryAnalysis judge_;
  // What is followed: the phase that the judge measures, and how long nothing was agreed.
  std::uint64_t followed_id_ = 0;
  agreement::Phase followed_phase_ = agreement::PHASE_NONE;
  std::uint32_t followed_wave_ = 0;
  std::uint64_t epoch_ = 0;
  Nanos epoch_at_ = 0;
  Nanos gap_ = 0;  // the longest time without a decision since the phase began
  // Share not served in time at what uses a service, then and now; since when it is above what is allowed.
  struct Below {
    double at_start = 0;
    double now = 0;
    Nanos above_since = 0;
  };
  std::map<std::string, Below> below_;
  AnalysisResult finding_;
  Nanos found_at_ = 0;
  Nanos last_grant_ = 0;
  std::string refusal_;  // of whoever would go next
  std::string status_detail_;
};

}  // namespace myrtlecroft::releases
