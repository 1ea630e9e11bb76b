// Bounds how soon a publication may follow the one before. Used by Publisher. No I/O, no clock.
#pragma once

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::control {

// A publication to thousands of callers takes as long as hundreds of reports. Without a pause the changes of
// a large burst are published one after another, and reports wait until their servers count as lost.
class PublicationPacer {
 public:
  // A publication that took `duration` has ended at `now`.
  void published(Nanos duration, Nanos now) { pause_until_ = now + kPauseFactor * duration; }
  bool may_publish(Nanos now) const { return now >= pause_until_; }

 private:
  static constexpr Nanos kPauseFactor = 2;  // times the duration of the last publication
  Nanos pause_until_ = 0;
};

}  // namespace myrtlecroft::control
