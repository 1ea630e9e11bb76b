// What the core of a server sees of the world. src/net implements these on sockets, tests by fakes. None of
// them calls back while it is called.
#pragma once

#include <string>
#include <string_view>

#include "service/server_request.h"

namespace myrtlecroft::service {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Nanos now() const = 0;  // never goes backwards
  virtual void wake_at(
      Nanos when) = 0;  // Service::timer_expired() then; a later word replaces an earlier one
};

class Listener {
 public:
  virtual ~Listener() = default;
  virtual void close_idle(Nanos after) = 0;  // connections with nothing open for this long
  virtual void finish() = 0;  // take no connection any more, close each as soon as nothing is open on it
};

class Engine {
 public:
  virtual ~Engine() = default;
  virtual void attach(std::uint64_t last_notice) = 0;
  virtual void run(std::string_view id, std::string_view request_class, std::string_view body) = 0;
  virtual void feed(std::string_view id, std::string_view reply) = 0;
  virtual void skip(std::string_view id, std::uint64_t notice) = 0;
  virtual void stat(std::uint64_t token) = 0;
  virtual void test(std::uint64_t token) = 0;
};

class Dependency {
 public:
  virtual ~Dependency() = default;
  virtual void call(ServerRequest& request, std::string_view body, Nanos longest) = 0;
  virtual void abandon_call(ServerRequest& request) = 0;  // its reply is not wanted any more
};

class HealthReporter {
 public:
  virtual ~HealthReporter() = default;
  virtual void report(bool good) = 0;  // from the first report on it is repeated
};

class Logger {
 public:
  virtual ~Logger() = default;
  virtual void line(const std::string& text) = 0;
  virtual void frequent(const std::string& text) = 0;  // may come in storms, and is then left out first
  virtual void routine(const std::string& text) = 0;   // the same for what ended as it should
};

// Where it is written down what must not run twice over a crash. A service without one remembers for its
// life.
class IdempotencyLog {
 public:
  virtual ~IdempotencyLog() = default;
  virtual bool accepts_writes() const = 0;  // false: the disk is sick, nothing can be written down now
  virtual void record_intent(const ServerRequest& request,
                             Nanos window) = 0;  // Service::intent_recorded() follows
  virtual void record_outcome(const ServerRequest& request, bool good, std::string_view result) = 0;
  virtual void erase_intent(const ServerRequest& request) = 0;
};

// Which deduplicated requests are this server's to run, where a fleet has agreed on that.
class ShardOwnership {
 public:
  virtual ~ShardOwnership() = default;
  virtual bool admits(std::string_view key) const = 0;
};

struct Ports {
  Clock& clock;
  Listener& front;
  Engine& engine;
  Dependency& dependency;
  HealthReporter& membership;
  Logger& log;
  IdempotencyLog* records = nullptr;
  const ShardOwnership* gate = nullptr;  // none: all are
};

}  // namespace myrtlecroft::service
