// The log: lines on standard output, written by a thread of spdlog, so that a full pipe never blocks the
// caller.
#pragma once

#include <memory>
#include <string>

#include "service/ports.h"

namespace spdlog {
class logger;
}

namespace myrtlecroft::net {

// Limits the rate of lines by token buckets; the next line after a gap logs how many were dropped. Lines that
// can come in bursts and routine lines have buckets of their own, so that they never displace other lines.
// Not thread-safe: call it from one thread.
class Log final : public service::Logger {
 public:
  explicit Log(const service::Clock& clock);
  ~Log() override;
  void line(const std::string& text) override { write(text, event_bucket_); }
  void write_rate_limited(const std::string& text) override { write(text, rate_limited_bucket_); }
  void write_routine(const std::string& text) override { write(text, routine_bucket_); }

 private:
  struct TokenBucket {
    double per_second = 0;
    double tokens = 0;
    Nanos refilled_at = 0;
    std::uint64_t dropped_lines = 0;
  };
  void write(const std::string& text, TokenBucket& bucket);

  const service::Clock& clock_;
  std::shared_ptr<spdlog::logger> out_;
  TokenBucket event_bucket_;
  TokenBucket rate_limited_bucket_;
  TokenBucket routine_bucket_;
};

}  // namespace myrtlecroft::net
