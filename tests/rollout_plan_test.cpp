// Tests the defaults of a release plan's file, and that an error names its line and field.
#include "releases/rollout_plan.h"

#include <gtest/gtest.h>

#include <fstream>

#include "settings/document.h"

namespace myrtlecroft::releases {
namespace {

struct RolloutPlanTest : testing::Test {
  std::string path = testing::TempDir() + "plan.conf";
  void write(const std::string& text) const { std::ofstream(path) << text; }
  std::string read_error() const {
    try {
      read_plan(path);
      return "";
    } catch (const settings::DocumentError& error) {
      return error.what();
    }
  }
};

TEST_F(RolloutPlanTest, MissingFieldsHaveDefaults) {
  write("version = 1; name = \"winter\"; wanted = 7;");
  agreement::Plan plan = read_plan(path);
  EXPECT_EQ(plan.version(), 7u);
  EXPECT_EQ(wave_count(plan), 5u);
  EXPECT_EQ(plan.longest_soak_ns(), 10 * plan.soak_ns());
}

TEST_F(RolloutPlanTest, ErrorsNameLineAndField) {
  write("version = 1;\nname = \"winter\";\nwanted = 100;");
  EXPECT_NE(read_error().find(":3: wanted"), std::string::npos) << read_error();
  write("version = 1; name = \"w\"; wanted = 2; waves = ({ share = 0.5; }, { share = 0.4; });");
  EXPECT_NE(read_error().find("not above"), std::string::npos) << read_error();
  write("version = 1; name = \"w\"; wanted = 2; waves = ({ share = 0.5; });");
  EXPECT_NE(read_error().find("end with a share of 1"), std::string::npos) << read_error();
}

}  // namespace
}  // namespace myrtlecroft::releases
