// When callers' idle connections are closed.
//
// A table of connections that is full rejects new callers unseen while cores idle, and an open connection
// costs core time. So idle connections are closed the sooner the more are open and the more rarely callers
// return. While handshakes already occupy the cores, a fuller table keeps a storm of reconnects out, and the
// limit grows again.
#pragma once

#include <optional>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::overload {

class IdleConnections {
 public:
  // `config` must outlive it.
  explicit IdleConnections(const ServiceConfig& config) : config_(config), limit_(config.max_idle_time) {}

  struct Load {
    std::size_t open_requests = 0;
    double received_recently = 0;  // requests, over kRecent
    double other_threads = 0;      // that want a core, without those of running requests
  };
  // The idle time after which connections are to be closed from now on, where it changes.
  std::optional<Nanos> next_limit(const Gauges& gauges, const Load& load);

 private:
  const ServiceConfig& config_;
  Nanos limit_;
};

}  // namespace myrtlecroft::overload
