#include "control/admin_names.h"

#include <array>
#include <cstddef>

namespace myrtlecroft::control {

const char* name_of(Mode mode) {
  constexpr std::array kNames = {"serving", "stalled", "trial", "leaving"};
  return kNames.at(static_cast<std::size_t>(mode));
}

const char* name_of(agreement::MaintenanceReason reason) {
  if (reason == agreement::REASON_DRAIN) return "drain";
  return reason == agreement::REASON_RELEASE ? "release" : "way back";
}

const char* membership_name(const consensus::Server& server) {
  if (server.role() == RAFT_VOTER) return "votes";
  return server.role() == RAFT_STANDBY ? "hears" : "named only";
}

}  // namespace myrtlecroft::control
