// The saved state of a control service that decides alone: packed and unpacked, and where there is none.
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
  routing::FleetWorld world;
  world.run(3 * kSecond);
  return {world.router.persisted_state(), {"p1", "p2"}};
}

TEST(SavedStateTest, IsUnpackedAsItWasPacked) {
  SavedState state = make_state();
  auto back = routing_state::parse_saved_state(routing_state::serialize(state));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->routing, state.routing);
  EXPECT_EQ(back->proxies, state.proxies);
}

TEST(SavedStateTest, ControlDoesNotStartWhereTheStateFolderIsAFile) {
  Site site;
  std::ofstream(site.folder.file("state")) << "MYRTCTRL";
  net::Loop loop;
  RecordingLogger log;
  EXPECT_THROW(ControlService(loop, log, site.options()), StateFolderError);
}

}  // namespace
}  // namespace myrtlecroft::control
