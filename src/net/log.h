// The log: lines on standard output, written by a thread of spdlog's, so that a full pipe blocks nothing.
#pragma once

#include <memory>
#include <string>

#include "service/ports.h"

namespace spdlog {
class logger;
}

namespace myrtlecroft::net {

// At most so many lines a second on average, with some saved up; what is left out is counted and told.
class Log final : public service::LogPort {
 public:
  explicit Log(const service::Clock& clock);
  ~Log() override;
  void line(const std::string& text) override;

 private:
  const service::Clock& clock_;
  std::shared_ptr<spdlog::logger> out_;
  double saved_;
  Nanos at_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace myrtlecroft::net
