// Incidents with real instances, servers and proxies under load and faults, some seconds each.
#include <gtest/gtest.h>

#include "../measure/agreement_rig.h"

namespace myrtlecroft {
namespace {

// A short version of what `make measure-agreement` plays for minutes: under load, leaders are killed, paused
// and cut off in one direction, links are reset, also in the middle of a frame, and delayed, and servers are
// killed and cut off.
TEST(AgreementProcessesTest, NoKeyRunsTwiceAndNoAgreedEntryIsLostUnderFaults) {
  rehearsal::RigOptions options;
  options.incident = {.instances = 3,
                      .nodes = 3,
                      .proxies = 2,
                      .keys_per_s = 100,
                      .length = 9 * kSecond,
                      .faults_per_s = 0.8,
                      .steps = {}};
  options.seed = 3;
  rehearsal::RigResult result = rehearsal::play(options);
  EXPECT_EQ(result.violations.total(), 0) << result.first_violation << ", logs in " << result.folder;
  EXPECT_GE(result.faults, 4);
  EXPECT_GT(result.load.completed, 0);
}

// A server's shards change owner while the current leader is killed at one sync after another.
TEST(AgreementProcessesTest, NoKeyRunsTwiceWhenTheLeaderIsKilledAtAnySyncOfAnOwnerChange) {
  rehearsal::RigOptions options;
  options.incident = rehearsal::read_incident(MYRTLECROFT_INCIDENTS "/owner-moves.conf");
  options.seed = 4;
  rehearsal::RigResult result = rehearsal::play(options);
  EXPECT_EQ(result.violations.total(), 0) << result.first_violation << ", logs in " << result.folder;
  EXPECT_GT(result.load.completed, result.load.offered / 3);
}

// A release updates all servers while leaders are killed. No server restarts without a maintenance lease,
// never more are out than the budgets allow, and each request that a server received is answered.
TEST(AgreementProcessesTest, ReleaseCompletesWhileLeadersAreKilled) {
  rehearsal::RigOptions options;
  options.incident.nodes = 6;
  options.incident.keys_per_s = 10;
  options.incident.reads_per_s = 60;
  options.incident.length = 22 * kSecond;
  options.incident.max_unavailable = 0.34;
  options.incident.first_nodes = 2;
  options.incident.soak = 1500 * kMs;
  options.incident.releases = {
      {.at = kSecond, .version = 2, .defect = rehearsal::Defect::kNone, .instance = 0}};
  for (Nanos at : {2 * kSecond, 7 * kSecond, 12 * kSecond})
    options.incident.steps.push_back(
        {.at = at, .length = kSecond, .fault = rehearsal::Fault::kKill, .target = {}});
  options.seed = 2;
  rehearsal::RigResult result = rehearsal::play(options);
  EXPECT_EQ(result.violations.total(), 0) << result.first_violation << ", logs in " << result.folder;
  ASSERT_EQ(result.releases.size(), 1u);
  EXPECT_GT(result.releases[0].max_updated_share, 0.3) << result.releases[0].reason;
  EXPECT_LE(result.unavailable.max, 2);
  EXPECT_GT(result.load.completed, result.load.offered * 9 / 10);
}

}  // namespace
}  // namespace myrtlecroft
