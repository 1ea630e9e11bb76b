// A server's settings beside those that the platform gives it, from a file of its own in which every field is
// optional. Called by the server program at start and at a reload, on its loop's thread.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"
#include "peers/slow_client_policy.h"

namespace myrtlecroft::settings {

struct ReportSettings {
  std::vector<sockaddr_in> to;        // control services; none: no load reports
  Nanos report_interval = 250 * kMs;  // between two load reports
  // Run only keys of shards that the control services have assigned to this server, and follow their orders.
  bool follows_control_service = false;
};

struct StoreSettings {
  // On a persistent disk; empty: idempotency records last as long as the process.
  std::string folder;
};

struct NodeSettings {
  ReportSettings reports;
  peers::SlowClientOptions slow_clients;
  StoreSettings store;
};

// No path or an empty one gives the defaults. Throws std::runtime_error with a message for the operators,
// also for any path in a build without libconfig.
NodeSettings read_node_settings(const char* path);

}  // namespace myrtlecroft::settings
