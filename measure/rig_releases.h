// Plays an incident's releases one after the other, as operators would: starts each, resumes a good one that
// halted, rolls back a bad one. Owned by Rig; used on the loop's thread.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "operator.h"
#include "releases/rollout_plan.h"
#include "rig_context.h"
#include "rig_servers.h"

namespace myrtlecroft::rehearsal {

class RigReleases {
 public:
  // `admin_ports`: of the instances. Both references outlive this.
  RigReleases(RigContext& context, RigServers& servers, std::vector<int> admin_ports)
      : context_(context), servers_(servers), operator_(std::move(admin_ports)) {}

  void step();
  // A release was started and is not over.
  bool has_current() const { return current_.has_value(); }
  // Servers may restart as told: false too for some time after a halt.
  bool under_way() const;
  // Servers with a maintenance lease.
  std::set<std::string> leased() const;
  void send_command(int instance, const std::string& command) { operator_.send(instance, command); }

 private:
  struct CurrentRelease {
    ReleaseOutcome outcome;
    std::uint64_t id = 0;
    Nanos started_at = 0;
    Nanos stopped_at = 0;  // 0: it runs
    int resumes = 0;
    bool commanded = false;  // after its halt
  };

  void start_next();
  agreement::Plan plan_of(const PlannedRelease& planned) const;
  void follow(const control::ReleaseRow& row);
  void handle_halt(const control::ReleaseRow& row);
  bool is_over(const control::ReleaseRow& row) const;
  void finish();

  RigContext& context_;
  RigServers& servers_;
  Operator operator_;
  std::optional<CurrentRelease> current_;
};

}  // namespace myrtlecroft::rehearsal
