// Tests the pause between publications.
#include "control/publication_pacer.h"

#include <gtest/gtest.h>

namespace myrtlecroft::control {
namespace {

TEST(PublicationPacerTest, NextPublicationWaitsTwiceTheDurationOfTheLast) {
  PublicationPacer pacer;
  EXPECT_TRUE(pacer.may_publish(0));
  pacer.record_publication(400 * kMs, kSecond);
  EXPECT_FALSE(pacer.may_publish(kSecond + 799 * kMs));
  EXPECT_TRUE(pacer.may_publish(kSecond + 800 * kMs));
  pacer.record_publication(0, 2 * kSecond);
  EXPECT_TRUE(pacer.may_publish(2 * kSecond));
}

}  // namespace
}  // namespace myrtlecroft::control
