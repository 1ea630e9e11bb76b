// The limit on requests that run at once. It grows while cores are idle and work is queued, and falls under
// CPU contention: while more threads want a core than there are cores. It stays below the concurrency that
// the server survives, which is lower while the server warms up.
#pragma once

#include "myrtlecroft/controller.h"
#include "overload/decaying_mean.h"

namespace myrtlecroft::overload {

// Core utilization from which the cores count as busy.
constexpr double kBusyCoreUtilization = 0.95;

// Counts the running requests and adapts their limit. One thread.
class ConcurrencyLimit {
 public:
  // `config` must outlive the limit.
  explicit ConcurrencyLimit(const ServiceConfig& config);

  void start(Nanos now) { started_ = now; }

  // In requests; the fraction accumulates between adjustments.
  double limit() const { return limit_; }
  int running() const { return running_; }
  void begin_running(Request& request, Nanos now);
  // Does nothing if the request does not occupy a core.
  void end_running(Request& request, Nanos now);

  // The share of its full speed that the server has reached; 1 once it has warmed up.
  double warm_up_progress(Nanos now) const;
  // The recent mean number of threads that run or wait for a core.
  double contention(Nanos now) const;
  // The number of running requests that the server survives, with a margin. Requests in dependency calls
  // count, since all calls may return at once.
  double max_concurrency(Nanos now) const;

  // Adapts the limit to the gauges, each time the timer expires.
  void adjust(const Gauges& gauges, bool work_is_queued, Nanos now);

 private:
  const ServiceConfig& config_;
  Nanos started_ = 0;
  double limit_;
  int running_ = 0;
  DecayingMean contention_;
};

}  // namespace myrtlecroft::overload
