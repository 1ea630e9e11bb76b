// Requests that are rejected, and keys that are not retained, for lack of memory.
#include <gtest/gtest.h>

#include "controller_harness.h"

namespace myrtlecroft {
namespace {

TEST(MemoryBudgetTest, KeyedRequestWithoutMemoryForItsKeyIsRejectedBeforeItRuns) {
  ServiceConfig config = two_core_config();
  config.key_kb = 60'000;
  ControllerHarness server(config);
  EXPECT_EQ(server.last_action(server.receive(kWriteClass)), "run");
  EXPECT_EQ(server.last_action(server.receive(kWriteClass)), "reject");
}

TEST(MemoryBudgetTest, RequestIsRejectedWhenTheMemoryIsFull) {
  ServiceConfig config = two_core_config();
  config.memory_kb = 100;
  ControllerHarness server(config);
  server.receive_many(2);
  EXPECT_EQ(server.count("run"), 2);
  EXPECT_EQ(server.last_action(server.receive()), "reject");
}

TEST(MemoryBudgetTest, ReadsThatShareAnswersRetainKeysOnlyWhileMemoryIsAvailable) {
  ServiceConfig config = two_core_config();
  config.answer_sharing_window = 2 * kSecond;
  config.key_kb = 30'000;
  ControllerHarness server(config);
  for (int i = 0; i < 4; ++i)
    server.receive(kReadClass, [](Request& request) { request.has_lookup_key = true; });
  EXPECT_EQ(server.count("retain key"), 2);
  EXPECT_EQ(server.count("reject"), 0);
}

}  // namespace
}  // namespace myrtlecroft
