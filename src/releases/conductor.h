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

#include "agreement/instance.h"
#include "releases/judge.h"
#include "releases/room.h"

namespace myrtlecroft::releases {

// What the result of a command that came to nothing begins with.
const std::string kRefused = "refused: ";

class Conductor final : public agreement::Chapter {
 public:
  using Log = std::function<void(const std::string&)>;
  explicit Conductor(Log log) : log_(std::move(log)) {}

  void watch(const View& view) override;
  void draft(const View& view, agreement::Decision& out) override;

  // What a release waits for, or how its wave looks, as this instance sees it; one line.
  const std::string& outlook() const { return outlook_; }

 private:
  // One look at all of it, from which a decision is drawn.
  struct Sight;
  struct TripRow {
    agreement::TripPlace place;
    bool (Conductor::*when)(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
    agreement::TripInput input;
    const char* reason;
  };
  static const std::vector<TripRow> kTrips;
  struct ReleaseRow {
    agreement::Phase phase;
    std::optional<std::string> (Conductor::*when)(const Sight&);
    agreement::ReleaseInput input;
  };
  static const std::vector<ReleaseRow> kReleases;

  bool emptied(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool other_life(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool empty_late(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool to_be_ordered(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool back_as_wanted(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool back_late_but_there(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool back_late(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool serving(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool stayed(const Sight&, const std::string&, const agreement::AgreedTrip&) const;
  bool warm_late(const Sight&, const std::string&, const agreement::AgreedTrip&) const;

  // Each says why, where it applies.
  std::optional<std::string> no_majority_for_long(const Sight&);
  std::optional<std::string> alarm_below(const Sight&);
  std::optional<std::string> failed_goes_back(const Sight&);
  std::optional<std::string> failed_halts(const Sight&);
  std::optional<std::string> bad_goes_back(const Sight&);
  std::optional<std::string> bad_halts(const Sight&);
  std::optional<std::string> starved(const Sight&);
  std::optional<std::string> wave_is_back(const Sight&);
  std::optional<std::string> good_and_last(const Sight&);
  std::optional<std::string> good(const Sight&);
  std::optional<std::string> not_known_for_long(const Sight&);
  std::optional<std::string> all_went_back(const Sight&);

  void follow(const View& view);
  void measure_alarms(const Sight& sight);
  void draft_command(const Sight& sight, agreement::Decision& out);
  std::string drain(const Sight& sight, const std::string& name, bool wanted, agreement::Decision& out);
  std::string release(const Sight& sight, const std::string& word, const std::string& rest,
                      agreement::Decision& out);
  void draft_trips(const Sight& sight, agreement::Decision& out);
  void draft_release(const Sight& sight, agreement::Decision& out);
  void draft_grants(const Sight& sight, agreement::Decision& out);
  std::vector<std::string> waiting(const Sight& sight) const;
  const Finding& finding(const Sight& sight);
  std::optional<std::string> failures(const Sight& sight) const;

  Log log_;
  Judge judge_;
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
  Finding finding_;
  Nanos found_at_ = 0;
  Nanos last_grant_ = 0;
  std::string refusal_;  // of whoever would go next
  std::string outlook_;
};

}  // namespace myrtlecroft::releases
