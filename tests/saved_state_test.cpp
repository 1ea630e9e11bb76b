// Encoding of the saved state of an unreplicated control service, and startup without a usable state folder.
#include "routing_state/saved_state.h"

#include <gtest/gtest.h>

#include <fstream>
#include <stdexcept>

#include "control_site.h"
#include "routing_fakes.h"

namespace myrtlecroft::control {
namespace {

using routing_state::SavedState;
SavedState make_state() {
  routing::FleetSimulation simulation;
  simulation.run(3 * kSecond);
  return {simulation.router.persisted_state(), {"p1", "p2"}};
}

TEST(SavedStateTest, ParsedStateEqualsSerializedState) {
  SavedState state = make_state();
  auto parsed = routing_state::parse_saved_state(routing_state::serialize(state));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->routing, state.routing);
  EXPECT_EQ(parsed->proxies, state.proxies);
}

TEST(SavedStateTest, ControlDoesNotStartWhereTheStateFolderIsAFile) {
  ControlSite site;
  std::ofstream(site.folder.file("state")) << "MYRTCTRL";
  net::Loop loop;
  RecordingLogger log;
  EXPECT_THROW(ControlService(loop, log, site.options()), StateFolderError);
}

}  // namespace
}  // namespace myrtlecroft::control
