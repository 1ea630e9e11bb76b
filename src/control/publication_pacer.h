// How soon a publication may follow the one before. No I/O.
#pragma once

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::control {

// A publication to thousands of callers takes as long as hundreds of reports. Without a rest the changes of a
// large burst are published one after another, and reports wait until their servers are taken for silent.
class PublicationPacer {
 public:
  void published(Nanos took, Nanos now) { rest_until_ = now + kRestShare * took; }
  bool may_publish(Nanos now) const { return now >= rest_until_; }

 private:
  static constexpr Nanos kRestShare = 2;  // of the time that the last one took
  Nanos rest_until_ = 0;
};

}  // namespace myrtlecroft::control
