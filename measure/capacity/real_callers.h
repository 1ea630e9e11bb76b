// Hollow callers: each runs aggregated xDS on its own connection and applies the resources that it receives,
// but sends no requests to servers.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ads_link.h"
#include "capacity/change_watch.h"
#include "capacity/real_fleet.h"
#include "hollow.pb.h"

namespace myrtlecroft::capacity {

// All callers of one process. Commands come from one thread; the xDS connections have threads of their own.
class HollowCallers {
 public:
  HollowCallers(std::string target, const FleetPlan& plan)
      : target_(std::move(target)), plan_(plan), choices_(plan) {}

  // Connects the callers of the command; returns before they have resources.
  void add(const hollow::Command::AddCallers& command);
  // Announces the next change of the fleet (see ChangeTracker::expect).
  void expect(const hollow::Command::Expect& command);
  // Adds the counts of all callers to the answer; `complete` adds the figures that take longer to collect.
  void fill_answer(hollow::Answer& answer, bool complete) const;
  // Adds each distinct shard owner in the routes that the callers applied.
  void list_owners(hollow::Answer& answer) const;

 private:
  void add_caller(int number);

  std::string target_;
  FleetPlan plan_;
  FleetChoices choices_;
  ChangeTracker change_tracker_;
  std::shared_ptr<standin::ParsedResourceCache> parsed_resources_ =
      std::make_shared<standin::ParsedResourceCache>();
  std::vector<std::unique_ptr<standin::AdsLink>> links_;  // last, because its callbacks use the members above
};

// Time of the steady clock in nanoseconds; all processes of the machine share this clock.
std::int64_t steady_ns();

}  // namespace myrtlecroft::capacity
