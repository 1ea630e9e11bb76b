// A log that keeps nothing, for stand-ins.
#pragma once

#include "service/ports.h"

namespace myrtlecroft::standin {

class NoLog final : public service::Logger {
 public:
  void line(const std::string&) override {}
  void frequent(const std::string&) override {}
  void routine(const std::string&) override {}
};

}  // namespace myrtlecroft::standin
