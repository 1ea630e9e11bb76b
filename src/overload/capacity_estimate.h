// What the server can do, as measured: service times by request class, throughput, how many queued requests
// can still be answered within their latency objective, and how that is shared by priority and tenant quota.
#pragma once

#include <vector>

#include "myrtlecroft/request.h"
#include "overload/concurrency_limit.h"
#include "overload/decaying_mean.h"

namespace myrtlecroft::overload {

class CapacityEstimate {
 public:
  // Both must outlive it.
  CapacityEstimate(const ServiceConfig& config, const ConcurrencyLimit& concurrency);

  void request_received(const Request& request, Nanos now);
  void request_rejected(Nanos now) { rejected_.add(1, now); }
  // A run ended, or was stopped while it ran.
  void run_measured(const Request& request, Nanos now);

  // Seconds on a core for one request, over all classes.
  double core_time(Nanos now) const;
  // The same of the request's class.
  double core_time_of(const Request& request, Nanos now) const { return core_time(class_of(request), now); }
  // Seconds from start to end.
  double run_time_of(const Request& request, Nanos now) const { return run_time(class_of(request), now); }
  // Dependency calls for each run.
  double calls_of(const Request& request, Nanos now) const;
  // Requests per second.
  double throughput(Nanos now) const;

  // The position up to which the request may be queued: from there an answer can still come within the
  // latency objective. Requests of less value stay below what any of more value may use, and below a share of
  // it. `call_wait`: seconds that its dependency calls will wait.
  double max_position(const Request& request, int window, double call_wait, Nanos now) const;
  // The largest queue that any class may use.
  double max_queue(int window, Nanos now) const;

  bool rejects_more_than(double share, Nanos now) const;
  // While runs take no longer than usual, many rejections mean that the whole fleet is short of capacity.
  bool runs_at_usual_speed(Nanos now) const;
  double received_recently(Nanos now) const { return received_.read(now); }

 private:
  // Of one request class.
  struct ClassEstimate {
    DecayingMean core_time;  // seconds, without dependency calls
    DecayingMean run_time;   // seconds from start to end
    DecayingMean calls;
  };

  std::size_t class_of(const Request& request) const;
  std::size_t tenant_of(const Request& request) const;
  double core_time(std::size_t request_class, Nanos now) const;
  double run_time(std::size_t request_class, Nanos now) const;
  double core_time_guess(std::size_t request_class, Nanos now) const;
  double value(std::size_t request_class, Nanos now) const;
  double tenant_factor(const Request& request, Nanos now) const;
  double time_to_queue(std::size_t request_class, Nanos time, Nanos now) const;

  const ServiceConfig& config_;
  const ConcurrencyLimit& concurrency_;
  std::vector<ClassEstimate> classes_;
  std::vector<DecayingSum> tenant_rates_;
  DecayingMean core_time_;
  DecayingMean current_speed_;  // core time as if nothing but runs shared the cores
  DecayingMean usual_speed_;    // the same, over a longer time
  DecayingSum received_{kRecent};
  DecayingSum rejected_{kRecent};
};

}  // namespace myrtlecroft::overload
