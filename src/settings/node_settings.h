// Reads a server's own settings file, which adds to the settings of the deployment. Every field but `version`
// is optional. Called by the server program at start and on the thread that reloads the files.
#pragma once

#include <netinet/in.h>

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"
#include "peers/slow_client_policy.h"

namespace myrtlecroft::settings {

// Load reports to control services.
struct ReportSettings {
  std::vector<sockaddr_in> to;        // control services; empty: no load reports are sent
  Nanos report_interval = 250 * kMs;  // between two load reports
  // If true, the server runs only keyed requests of shards that the control services have assigned to it, and
  // it restarts when they order it to.
  bool follows_control_service = false;
};

// The durable store of idempotency records.
struct StoreSettings {
  // Folder on a persistent disk; empty: idempotency records are lost when the process ends.
  std::string folder;
};

struct NodeSettings {
  ReportSettings reports;
  peers::SlowClientOptions slow_clients;
  StoreSettings store;
};

// Reads the file at `path`; returns the defaults if `path` is null or empty. Throws std::runtime_error with a
// message for the operators, also for any path in a build without libconfig.
NodeSettings read_node_settings(const char* path);

}  // namespace myrtlecroft::settings
