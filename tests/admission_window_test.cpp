// The admission window: which arrivals it rejects, how it grows and how it is cut.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(AdmissionWindowTest, RejectsBeyondFourTimesTheCoresAndStartsInArrivalOrder) {
  ControllerHarness server(config_limited_by_the_window_alone());
  server.receive_many(2 + 8);
  EXPECT_EQ(server.count("run"), 2);
  EXPECT_EQ(server.count("reject"), 0);
  EXPECT_EQ(server.last_action(server.receive()), "reject");
  server.complete(server.requests[0]);
  EXPECT_EQ(server.last_action(server.requests[2]), "run");
  EXPECT_EQ(server.last_action(server.requests[3]), "");
}

TEST(AdmissionWindowTest, GrowsByOneEachTenthTimelyAnswer) {
  ControllerHarness server(config_limited_by_the_window_alone());
  server.serve(10);
  server.receive_many(2 + 9);
  EXPECT_EQ(server.count("reject"), 0);
  EXPECT_EQ(server.last_action(server.receive()), "reject");
}

TEST(AdmissionWindowTest, FailedAndLateAnswersAreNotCountedAsTimely) {
  ControllerHarness server(config_limited_by_the_window_alone());
  server.serve(9);
  Request& failed = server.receive();
  server.advance(100 * kMs);
  server.complete(failed, Outcome::kFailed);
  Request& abandoned = server.receive(
      kReadClass, [&](Request& request) { request.client_deadline = server.now + 5 * kSecond; });
  server.advance(5 * kSecond);
  EXPECT_EQ(server.last_action(abandoned), "fail");
  server.complete(abandoned);
  server.serve(9);
  server.receive_many(2 + 2);  // the late answer had position 1, so the window is at its minimum
  EXPECT_EQ(server.count("reject"), 0);
  EXPECT_EQ(server.last_action(server.receive()), "reject");
}

TEST(AdmissionWindowTest, RequestAtTheFrontIsRejectedOnceItIsFarBeyondACutWindow) {
  ServiceConfig config = config_limited_by_the_window_alone();
  config.cores = 4;
  ControllerHarness server(config);
  server.receive_many(20);
  server.requests[4].deadline = server.now + kSecond;
  Request& last = server.requests.back();
  EXPECT_EQ(last.position, 16);
  server.complete(server.requests[0]);
  server.advance(kSecond);
  EXPECT_EQ(server.last_action(server.requests[4]), "fail");  // the window is cut to its minimum of 4
  for (Request& request : server.requests) server.complete(request);
  EXPECT_EQ(server.last_action(last), "reject");
  EXPECT_EQ(server.last_action(server.requests[12]), "run");
}

}  // namespace
}  // namespace myrtlecroft
