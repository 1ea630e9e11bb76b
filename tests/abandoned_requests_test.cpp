// Requests whose client takes them back or disconnects, in each state that a request can be in.
#include <string>
#include <tuple>

#include "net_story.h"

namespace myrtlecroft::net {
namespace {

enum class Departure { kAbortsRequests, kResetsConnection, kHalfCloses };

// Whether the client gave a deadline, and how it abandons its requests.
struct AbandonedRequestsTest : FastCgiServerTest, testing::WithParamInterface<std::tuple<bool, Departure>> {
  AbandonedRequestsTest() : wait(std::get<0>(GetParam()) ? "60000" : "") {}

  static constexpr int kAbortRequest = 2;
  static constexpr int kEndRequest = 3;
  enum Id { kRunning = 1, kQueued, kOriginal, kCoalesced, kProbe, kLastQueued, kPartial };

  std::string read_request(int id) {
    return request(id, "/api/v2/read", trace_id(id), 1, {{"HTTP_MAX_WAIT_MS", wait}});
  }
  std::string keyed_request(int id) {
    return request(id, "/api/v2/write", trace_id(id), 1,
                   {{"HTTP_MAX_WAIT_MS", wait}, {"HTTP_REPLAY_KEY", "abcd"}});
  }
  static std::string trace_id(int id) { return std::string(15, '0') + static_cast<char>('0' + id); }
  // Begun, with the parameters still to come.
  static std::string partial_request(int id) { return record(1, id, {0, 1, 1, 0, 0, 0, 0, 0}); }
  static int ends_of(const std::string& bytes, int id) {
    return count_occurrences(bytes, {1, static_cast<char>(kEndRequest), 0, static_cast<char>(id)});
  }

  std::string wait;  // Max-Wait-Ms
};

// The server crashed when a client took back a queued request that named no Max-Wait-Ms: the end that it was
// sent was computed from the request, which had been freed. Each request in the list is in another state.
TEST_P(AbandonedRequestsTest, EachIsEndedAtMostOnceAndOtherClientsAreServed) {
  TestSocket other = connect_client();
  other.write(request(1, "/api/v2/read", first));
  ASSERT_TRUE(eventually([&] { return harness.count("run " + first) == 1; }));
  TestSocket client = connect_client();
  client.write(read_request(kRunning) + read_request(kQueued) + keyed_request(kOriginal) +
               keyed_request(kCoalesced) + request(kProbe, "/-/healthy", "probe=1") +
               read_request(kLastQueued) + partial_request(kPartial));
  ASSERT_TRUE(eventually([&] { return harness.test_token != 0; }));
  ASSERT_EQ(harness.count("run " + trace_id(kRunning)), 1);
  ASSERT_EQ(harness.service.stats()->queued_requests, 3);
  switch (std::get<1>(GetParam())) {
    case Departure::kAbortsRequests: {
      std::string aborts;
      for (int id = kRunning; id <= kPartial; ++id) aborts += record(kAbortRequest, id, "");
      client.write(aborts + aborts);  // the second half is about requests that have ended
      std::string received;
      EXPECT_TRUE(eventually([&] { return ends_of(received += client.read(), kPartial) > 0; }));
      for (int id = kRunning; id <= kPartial; ++id) EXPECT_EQ(ends_of(received, id), 1) << "request " << id;
      break;
    }
    case Departure::kResetsConnection:
      client.reset();
      EXPECT_TRUE(eventually([&] { return harness.service.stats()->queued_requests == 0; }));
      break;
    case Departure::kHalfCloses:  // it may still read, so its complete requests go on
      client.shutdown_write();
      run_loop_for(20 * kMs);
      EXPECT_EQ(harness.service.stats()->queued_requests, 3);
      break;
  }
  harness.service.engine().test_completed(harness.test_token, true);
  harness.done(trace_id(kRunning), Outcome::kOk, "of the running one");
  harness.done(first, Outcome::kOk, "of the other client");
  EXPECT_TRUE(receives(other, "of the other client"));
  if (std::get<1>(GetParam()) == Departure::kHalfCloses) {
    EXPECT_TRUE(receives(client, "of the running one"));
    return;
  }
  // The key of the abandoned original does not bind its next attempt.
  EXPECT_EQ(harness.count("run " + trace_id(kQueued)), 0);
  EXPECT_EQ(harness.count("run " + trace_id(kOriginal)), 0);
  other.write(request(2, "/api/v2/write", second, 1, {{"HTTP_REPLAY_KEY", "abcd"}}));
  ASSERT_TRUE(eventually([&] { return harness.count("run " + second) == 1; }));
  harness.done(second, Outcome::kOk, "of the next attempt");
  EXPECT_TRUE(receives(other, "of the next attempt"));
}

INSTANTIATE_TEST_SUITE_P(FastCgiServer, AbandonedRequestsTest,
                         testing::Combine(testing::Bool(), testing::Values(Departure::kAbortsRequests,
                                                                           Departure::kResetsConnection,
                                                                           Departure::kHalfCloses)));

}  // namespace
}  // namespace myrtlecroft::net
