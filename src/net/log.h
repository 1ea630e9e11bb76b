// The log: lines on standard output, written by a thread of spdlog's, so that a full pipe blocks nothing.
#pragma once

#include <memory>
#include <string>

#include "service/ports.h"

namespace spdlog {
class logger;
}

namespace myrtlecroft::net {

// At most so many lines a second on average, with some saved up; what is left out is counted and told. What
// may come in storms, and what ended as it should, have allowances of their own and crowd out nothing else.
class Log final : public service::Logger {
 public:
  explicit Log(const service::Clock& clock);
  ~Log() override;
  void line(const std::string& text) override { write(text, events_); }
  void write_rate_limited(const std::string& text) override { write(text, frequent_); }
  void write_routine(const std::string& text) override { write(text, routine_); }

 private:
  struct Allowance {
    double per_second = 0;
    double saved = 0;
    Nanos at = 0;
    std::uint64_t left_out = 0;
  };
  void write(const std::string& text, Allowance& allowance);

  const service::Clock& clock_;
  std::shared_ptr<spdlog::logger> out_;
  Allowance events_;
  Allowance frequent_;
  Allowance routine_;
};

}  // namespace myrtlecroft::net
