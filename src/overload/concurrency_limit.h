// How many requests run at once: a limit that grows while cores idle and work is queued, and falls while more
// threads want a core than there are cores (CPU contention). It stays below what the server survives, which
// is less while it warms up.
#pragma once

#include "myrtlecroft/controller.h"
#include "overload/decaying_mean.h"

namespace myrtlecroft::overload {

// Of the cores' time in use: from here on they count as busy.
constexpr double kBusyCores = 0.95;

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const ServiceConfig& config);

  void start(Nanos now) { started_ = now; }

  double limit() const { return limit_; }
  int running() const { return running_; }
  void begin_running(Request& request, Nanos now);
  // Nothing where the request is not running.
  void end_running(Request& request, Nanos now);

  // Share of its full speed that the server has reached; 1 once it has warmed up.
  double warm_up_progress(Nanos now) const;
  // Threads that want a core.
  double contention(Nanos now) const;
  // Requests, with calls that may all come back at once, that the server survives; with a margin.
  double max_concurrency(Nanos now) const;

  void follow(const Gauges& gauges, bool work_is_queued, Nanos now);

 private:
  const ServiceConfig& config_;
  Nanos started_ = 0;
  double limit_;
  int running_ = 0;
  DecayingMean contention_;
};

}  // namespace myrtlecroft::overload
