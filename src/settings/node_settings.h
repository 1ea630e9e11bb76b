// A server's settings beside what the platform tells it, from a file of our own. All of it may be left out.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"
#include "peers/slow_client_policy.h"

namespace myrtlecroft::settings {

struct ReportSettings {
  std::vector<sockaddr_in> to;  // control services; none: no reports
  Nanos every = 250 * kMs;
  bool obey =
      false;  // of the keys, only those are run that control services, agreed among them, say are ours
};

struct StoreSettings {
  std::string folder;  // on a disk that lasts; empty: what ran is remembered for the life of the process
};

struct NodeSettings {
  ReportSettings reports;
  peers::SlowClientOptions slow_peers;
  StoreSettings store;
};

// No path or an empty one gives the defaults. Throws std::runtime_error with a message for the operators; so
// does any path in a build that has no reader for it.
NodeSettings read_node_settings(const char* path);

}  // namespace myrtlecroft::settings
