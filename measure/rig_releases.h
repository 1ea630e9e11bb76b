// Plays an incident's releases one after the other as operators would: starts each release, resumes one
// without a defect that halted, and rolls back a defective one. Owned by Rig; used on the loop's thread.
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
  // `admin_ports`: admin ports of the instances. The references must outlive this object.
  RigReleases(RigContext& context, RigServers& servers, std::vector<int> admin_ports)
      : context_(context), servers_(servers), operator_(std::move(admin_ports)) {}

  void step();
  // Whether a release was started and is not over.
  bool has_current() const { return current_.has_value(); }
  // Whether servers may restart by order. Stays true after a halt until every server must know of it.
  bool under_way() const;
  // The servers that hold a maintenance lease.
  std::set<std::string> leased_servers() const;
  void send_command(int instance, const std::string& command) { operator_.send(instance, command); }

 private:
  struct CurrentRelease {
    ReleaseOutcome outcome;
    std::uint64_t id = 0;
    Nanos started_at = 0;
    Nanos stopped_at = 0;  // 0: not halted or rolled back
    int resumes = 0;
    bool command_sent = false;  // the operator has reacted to the halt
  };

  void start_next();
  agreement::Plan plan_of(const PlannedRelease& planned) const;
  void update_outcome(const control::ReleaseRow& row);
  void handle_halt(const control::ReleaseRow& row);
  bool is_over(const control::ReleaseRow& row) const;
  void finish();

  RigContext& context_;
  RigServers& servers_;
  Operator operator_;
  std::optional<CurrentRelease> current_;
};

}  // namespace myrtlecroft::rehearsal
