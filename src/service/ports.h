// The interfaces of the service to the clock, sockets, log and disk. src/net and src/recovery implement them,
// and tests use fakes. All calls are on the loop's thread; no implementation calls the service back from
// within a call, or keeps a reference to a request: it names the request by its id.
#pragma once

#include <string>
#include <string_view>

#include "service/server_request.h"

namespace myrtlecroft::service {

// The monotonic clock and the one timer of the service.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Nanos now() const = 0;  // never goes backwards
  // Calls Service::timer_expired() at `when`, which replaces an earlier time.
  virtual void wake_at(Nanos when) = 0;
};

// Accepts callers' connections.
class Listener {
 public:
  virtual ~Listener() = default;
  virtual void close_idle(Nanos after) = 0;  // closes connections without a request for `after`
  virtual void
  stop_accepting() = 0;  // stops accepting connections, and closes each one when it has no request
};

// Sends commands to the engine over the link. EngineSession decides when.
class Engine {
 public:
  virtual ~Engine() = default;
  // Whether the link is up. Commands are lost on a link that is known to be broken, even if its end was not
  // reported to the session yet.
  virtual bool is_open() const = 0;
  // Asks for the notices that follow `last_notice`.
  virtual void attach(std::uint64_t last_notice) = 0;
  virtual void run(std::string_view id, std::string_view request_class, std::string_view body) = 0;
  virtual void deliver_reply(std::string_view id, std::string_view reply) = 0;
  // Lets the run continue without the call that it asked for with `notice`.
  virtual void skip(std::string_view id, std::uint64_t notice) = 0;
  virtual void query_gauges(std::uint64_t token) = 0;
  virtual void test(std::uint64_t token) = 0;
};

// The client of the dependency. A request is named by its id: it may end while its call is in flight.
class Dependency {
 public:
  virtual ~Dependency() = default;
  virtual void call(const std::string& request_id, std::string_view body, Nanos max_duration) = 0;
  virtual void abandon_call(const std::string& request_id) = 0;  // the reply is discarded
};

// Reports health to the membership service.
class HealthReporter {
 public:
  virtual ~HealthReporter() = default;
  virtual void report(bool healthy) = 0;  // the last value is repeated without further calls
};

// Writes log lines.
class Logger {
 public:
  virtual ~Logger() = default;
  virtual void line(const std::string& text) = 0;
  // For lines that may come in bursts. They have their own rate limit.
  virtual void write_rate_limited(const std::string& text) = 0;
  // For connections that ended normally. They have their own rate limit too.
  virtual void write_routine(const std::string& text) = 0;
};

// Records durably which keyed requests ran. Without the log, a service knows only the requests of its own
// incarnation.
class IdempotencyLog {
 public:
  virtual ~IdempotencyLog() = default;
  virtual bool accepts_writes() const = 0;  // false: the disk has failed
  // Service::intent_recorded() is called later. `window`: how long the record must be retained.
  virtual void record_intent(const ServerRequest& request, Nanos window) = 0;
  virtual void record_outcome(const ServerRequest& request, bool completed, std::string_view result) = 0;
  virtual void erase_intent(const ServerRequest& request) = 0;
};

// Tells which keyed requests this server may run, if shards are assigned to servers.
class ShardOwnership {
 public:
  virtual ~ShardOwnership() = default;
  virtual bool admits(std::string_view key) const = 0;
};

// The ports of one service. All must outlive it.
struct Ports {
  Clock& clock;
  Listener& listener;
  Engine& engine;
  Dependency& dependency;
  HealthReporter& health;
  Logger& logger;
  IdempotencyLog* idempotency_log = nullptr;  // null: keyed requests are not recorded
  const ShardOwnership* ownership = nullptr;  // null: this server owns all keys
};

}  // namespace myrtlecroft::service
