// Enforces a pause between publications. Used by Publisher. No I/O, no clock.
#pragma once

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::control {

// A publication to thousands of callers takes as long as handling hundreds of reports. Without a pause, a
// large burst of changes causes one publication after another, and reports wait so long that their servers
// count as lost.
class PublicationPacer {
 public:
  // Records a publication that took `duration` and ended at `now`.
  void record_publication(Nanos duration, Nanos now) { pause_until_ = now + kPauseFactor * duration; }
  // False during the pause after a publication.
  bool may_publish(Nanos now) const { return now >= pause_until_; }

 private:
  // The pause is this many times the duration of the last publication.
  static constexpr Nanos kPauseFactor = 2;
  Nanos pause_until_ = 0;
};

}  // namespace myrtlecroft::control
