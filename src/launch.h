// What one real server is told when it starts.
#pragma once

#include <netinet/in.h>

#include <string>

#include "service/service.h"

namespace myrtlecroft {

struct Launch {
  std::string name;
  sockaddr_in listen{};
  sockaddr_in engine{};
  sockaddr_in members{};
  sockaddr_in database{};
  std::size_t descriptors = 0;
  service::Service::Start start;
};

// From the file that LB_CONFIG names. Throws std::runtime_error with a message for the operators.
Launch read_launch(const char* path);

}  // namespace myrtlecroft
