// Decides when callers' idle connections are closed.
//
// A full connection table refuses new callers, unnoticed, while cores are idle, and each open connection
// costs core time. So the more connections are open and the more rarely callers return, the sooner idle
// connections are closed. While handshakes already occupy the cores, a fuller table keeps a storm of
// reconnects out, so the time limit grows.
#pragma once

#include <optional>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::overload {

// Adapts the time limit of idle connections. One thread.
class IdleConnections {
 public:
  // `config` must outlive the object.
  explicit IdleConnections(const ServiceConfig& config) : config_(config), limit_(config.max_idle_time) {}

  // The server's present load.
  struct Load {
    std::size_t open_requests = 0;
    double received_recently = 0;  // requests, over kEstimateTimeConstant
    double other_threads = 0;      // runnable threads, without those of running requests
  };
  // The idle time after which connections are closed from now on; nullopt if it does not change.
  std::optional<Nanos> next_limit(const Gauges& gauges, const Load& load);

 private:
  const ServiceConfig& config_;
  Nanos limit_;
};

}  // namespace myrtlecroft::overload
