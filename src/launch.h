// What one real server is told when it starts.
#pragma once

#include <netinet/in.h>

#include <cstdint>
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
  std::size_t memory = 0;  // bytes
  service::Service::Options start;
  // Digests, to see whether they differ in a file read again. The settings of a large deployment are as long
  // as all that is read from them.
  std::uint64_t limits = 0;
  std::uint64_t settings = 0;
};

// What a running server can't take from a file it reads again, named; empty when nothing of it differs.
std::string fixed_differences(const Launch& running, const Launch& read);

// From the file that LB_CONFIG names. Throws std::runtime_error with a message for the operators.
Launch read_launch(const char* path);

}  // namespace myrtlecroft
