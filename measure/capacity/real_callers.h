// Hollow callers: each speaks aggregated xDS on a connection of its own, applies what it is told and sends
// nothing.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ads_link.h"
#include "capacity/change_watch.h"
#include "capacity/real_fleet.h"
#include "hollow.pb.h"

namespace myrtlecroft::capacity {

class HollowCallers {
 public:
  HollowCallers(std::string target, const FleetPlan& plan)
      : target_(std::move(target)), plan_(plan), choices_(plan) {}

  void add(const hollow::Command::AddCallers& command);
  void expect(const hollow::Command::Expect& command);
  void fill(hollow::Answer& answer, bool whole) const;
  void list_owners(hollow::Answer& answer) const;

 private:
  void add_one(int number);

  std::string target_;
  FleetPlan plan_;
  FleetChoices choices_;
  ChangeTracker watch_;
  std::shared_ptr<standin::ParsedResourceCache> bodies_ = std::make_shared<standin::ParsedResourceCache>();
  std::vector<std::unique_ptr<standin::AdsLink>> links_;  // last: its callbacks use all of the above
};

// By the machine's steady clock, which all processes share.
std::int64_t steady_ns();

}  // namespace myrtlecroft::capacity
