// The interfaces of the service to clock, sockets, log and disk. src/net and src/recovery implement them,
// tests by fakes. All on the loop's thread; none of them calls back while it is called.
#pragma once

#include <string>
#include <string_view>

#include "service/server_request.h"

namespace myrtlecroft::service {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Nanos now() const = 0;         // never goes backwards
  virtual void wake_at(Nanos when) = 0;  // calls Service::timer_expired() then; replaces an earlier time
};

class Listener {
 public:
  virtual ~Listener() = default;
  virtual void close_idle(Nanos after) = 0;  // connections without a request for this long
  virtual void finish() = 0;  // accepts no connection any more, and closes each once it has no request
};

class Engine {
 public:
  virtual ~Engine() = default;
  virtual void attach(std::uint64_t last_notice) = 0;
  virtual void run(std::string_view id, std::string_view request_class, std::string_view body) = 0;
  virtual void deliver_reply(std::string_view id, std::string_view reply) = 0;
  virtual void skip(std::string_view id, std::uint64_t notice) = 0;
  virtual void query_gauges(std::uint64_t token) = 0;
  virtual void test(std::uint64_t token) = 0;
};

class Dependency {
 public:
  virtual ~Dependency() = default;
  virtual void call(ServerRequest& request, std::string_view body, Nanos longest) = 0;
  virtual void abandon_call(ServerRequest& request) = 0;  // discards its reply
};

class HealthReporter {
 public:
  virtual ~HealthReporter() = default;
  virtual void report(bool good) = 0;  // repeated by itself from the first report on
};

class Logger {
 public:
  virtual ~Logger() = default;
  virtual void line(const std::string& text) = 0;
  virtual void write_rate_limited(
      const std::string& text) = 0;                         // rate limited separately: may come in storms
  virtual void write_routine(const std::string& text) = 0;  // the same, for ordinary ends
};

// Records which keyed requests ran, over a crash. Without one a service knows only those of its own
// incarnation.
class IdempotencyLog {
 public:
  virtual ~IdempotencyLog() = default;
  virtual bool accepts_writes() const = 0;  // false: the disk has failed
  virtual void record_intent(const ServerRequest& request,
                             Nanos window) = 0;  // calls Service::intent_recorded() later
  virtual void record_outcome(const ServerRequest& request, bool good, std::string_view result) = 0;
  virtual void erase_intent(const ServerRequest& request) = 0;
};

// Which keyed requests are this server's to run, where shards are assigned to servers.
class ShardOwnership {
 public:
  virtual ~ShardOwnership() = default;
  virtual bool admits(std::string_view key) const = 0;
};

struct Ports {
  Clock& clock;
  Listener& listener;
  Engine& engine;
  Dependency& dependency;
  HealthReporter& health;
  Logger& logger;
  IdempotencyLog* idempotency_log = nullptr;  // null: none
  const ShardOwnership* ownership = nullptr;  // null: this server owns all keys
};

}  // namespace myrtlecroft::service
