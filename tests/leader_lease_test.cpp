// LeaderLease: when a replica holds its lease, and when it expires.
#include "agreement/leader_lease.h"

#include <gtest/gtest.h>

namespace myrtlecroft::agreement {
namespace {

struct LeaderLeaseTest : testing::Test {
  consensus::Heartbeat heartbeat_of(const LeaderLease& from, consensus::ReplicaId to,
                                    consensus::ReplicaId leader, Nanos now, bool confirmed = false) {
    consensus::Heartbeat out;
    from.fill_heartbeat(to, 3, leader, now, out);
    out.set_confirmed(confirmed);
    return out;
  }
  LeaderLease leader{1, 1000 * kMs};
  LeaderLease follower{2, 1000 * kMs};
};

TEST_F(LeaderLeaseTest, LeaseHoldsWhileAMajorityAnswers) {
  follower.receive(1, heartbeat_of(leader, 2, 1, 100 * kMs), 3, 1);
  leader.receive(2, heartbeat_of(follower, 1, 1, 7 * kMs), 3, 1);
  EXPECT_TRUE(leader.has_quorum(3, 1, 3, 200 * kMs));
  EXPECT_FALSE(leader.has_quorum(3, 1, 5, 200 * kMs)) << "two of five replicas are no majority";
  EXPECT_FALSE(leader.has_quorum(4, 1, 3, 200 * kMs)) << "a heartbeat of another term does not count";
  EXPECT_FALSE(leader.has_quorum(3, 1, 3, 1200 * kMs));
}

TEST_F(LeaderLeaseTest, HeartbeatsReadAfterAPauseDoNotRenewTheLease) {
  leader.receive(2, heartbeat_of(follower, 1, 1, 5 * kMs), 3, 1);
  follower.receive(1, heartbeat_of(leader, 2, 1, 10 * kMs, true), 3, 1);
  leader.receive(2, heartbeat_of(follower, 1, 1, 50 * kMs), 3, 1);
  consensus::Heartbeat waiting = heartbeat_of(leader, 2, 1, 60 * kMs, true);
  // The follower is paused for a minute and only then reads the heartbeat, which was sent before the pause.
  follower.receive(1, waiting, 3, 1);
  EXPECT_TRUE(follower.has_quorum(3, 1, 3, 100 * kMs));
  EXPECT_FALSE(follower.has_quorum(3, 1, 3, 60 * kSecond));
}

}  // namespace
}  // namespace myrtlecroft::agreement
