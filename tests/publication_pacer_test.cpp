// How soon a publication may follow the one before.
#include "control/publication_pacer.h"

#include <gtest/gtest.h>

namespace myrtlecroft::control {
namespace {

TEST(PublicationPacerTest, NextPublicationIsDelayedByTwiceTheDurationOfTheLast) {
  PublicationPacer pacer;
  EXPECT_TRUE(pacer.may_publish(0));
  pacer.published(400 * kMs, kSecond);
  EXPECT_FALSE(pacer.may_publish(kSecond + 799 * kMs));
  EXPECT_TRUE(pacer.may_publish(kSecond + 800 * kMs));
  pacer.published(0, 2 * kSecond);
  EXPECT_TRUE(pacer.may_publish(2 * kSecond));
}

}  // namespace
}  // namespace myrtlecroft::control
