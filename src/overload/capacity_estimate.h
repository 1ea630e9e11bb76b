// Measures the server's capacity: service times by request class, throughput, and how many queued requests
// can still be answered within their latency objective. Priority and tenant quota share out that number.
#pragma once

#include <vector>

#include "myrtlecroft/request.h"
#include "overload/concurrency_limit.h"
#include "overload/decaying_mean.h"

namespace myrtlecroft::overload {

// One thread. `now` must not go backwards.
class CapacityEstimate {
 public:
  // Both arguments must outlive the estimate.
  CapacityEstimate(const ServiceConfig& config, const ConcurrencyLimit& concurrency);

  void request_received(const Request& request, Nanos now);
  void request_rejected(Nanos now) { rejected_.add(1, now); }
  // Records the times of a run that ended or was stopped.
  void record_run(const Request& request, Nanos now);

  // Mean seconds on a core for one request, over all classes.
  double core_time(Nanos now) const;
  // The same for the request's class.
  double core_time_of(const Request& request, Nanos now) const { return core_time(class_of(request), now); }
  // Mean seconds from the start to the end of a run of the request's class.
  double run_time_of(const Request& request, Nanos now) const { return run_time(class_of(request), now); }
  // Mean number of dependency calls for each run of the request's class.
  double calls_of(const Request& request, Nanos now) const;
  // Requests per second.
  double throughput(Nanos now) const;

  // The last queue position from which the request can still be answered within the latency objective. A
  // request of less value is limited to a share of the positions that requests of more value may use.
  // `call_wait`: seconds that its dependency calls are expected to wait.
  double max_position(const Request& request, int window, double call_wait, Nanos now) const;
  // The largest queue, in positions, that any class may use.
  double max_queue(int window, Nanos now) const;

  // Whether more than this share of recent requests was rejected.
  bool rejects_more_than(double share, Nanos now) const;
  // Whether runs take no longer than usual. Many rejections then mean that the whole fleet lacks capacity.
  bool runs_at_usual_speed(Nanos now) const;
  // The decayed number of requests received, over kEstimateTimeConstant.
  double received_recently(Nanos now) const { return received_.read(now); }

 private:
  // The estimates for one request class.
  struct ClassEstimate {
    DecayingMean core_time;  // seconds, without dependency calls
    DecayingMean run_time;   // seconds from start to end
    DecayingMean calls;
  };

  std::size_t class_of(const Request& request) const;
  std::size_t tenant_of(const Request& request) const;
  double core_time(std::size_t request_class, Nanos now) const;
  double run_time(std::size_t request_class, Nanos now) const;
  double initial_core_time(std::size_t request_class, Nanos now) const;
  double value(std::size_t request_class, Nanos now) const;
  double tenant_factor(const Request& request, Nanos now) const;
  double max_queue_wait(std::size_t request_class, Nanos time, Nanos now) const;

  const ServiceConfig& config_;
  const ConcurrencyLimit& concurrency_;
  std::vector<ClassEstimate> classes_;
  std::vector<DecayingSum> tenant_rates_;  // requests over kTenantRateTimeConstant
  DecayingMean core_time_;
  DecayingMean recent_uncontended_time_;  // seconds of core time, corrected for CPU contention
  DecayingMean usual_uncontended_time_;   // the same, over a longer time
  DecayingSum received_{kEstimateTimeConstant};
  DecayingSum rejected_{kEstimateTimeConstant};
};

}  // namespace myrtlecroft::overload
