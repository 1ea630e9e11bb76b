// A logger for stand-ins that discards all lines.
#pragma once

#include "service/ports.h"

namespace myrtlecroft::standin {

class NullLogger final : public service::Logger {
 public:
  void line(const std::string&) override {}
  void write_rate_limited(const std::string&) override {}
  void write_routine(const std::string&) override {}
};

}  // namespace myrtlecroft::standin
