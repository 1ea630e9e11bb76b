// The configuration file of a real server whose engine, database and membership service are stand-ins.
#pragma once

#include <fstream>
#include <string>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::standin {

struct ServerConfig {
  std::string name = "n1";
  int port = 0;
  int engine = 0;
  int database = 0;
  int members = 9;  // a port on which nothing listens, by default
  int memory_mb = 192;
  int descriptors = 1024;
  int servers = 1;
  Nanos grace = 500 * kMs;      // drain grace
  std::string request_classes;  // JSON objects of the settings' classes, separated by commas
  std::string tenants = {};     // the same for the tenants; empty: no "tenants" field
  std::string family;           // JSON fields of the settings' familyInfo, without the meters
};

// Writes the configuration as JSON to `path`; all ports are on loopback.
inline void write_server_config(const std::string& path, const ServerConfig& config) {
  auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::ofstream(path)
      << R"({"name":")" << config.name << R"(","listen":)" << at(config.port) << R"(,"engine":)"
      << at(config.engine) << R"(,"members":)" << at(config.members) << R"(,"db":)" << at(config.database)
      << R"(,"seed":"1f","stop_ms":2500,"limits":{"cores":1.0,"memory_mb":)" << config.memory_mb
      << R"(,"sockets":)" << config.descriptors << R"(},"settings":{"classes":[)" << config.request_classes
      << R"(],)" << (config.tenants.empty() ? "" : R"("tenants":[)" + config.tenants + "],")
      << R"("familyInfo":{)" << config.family
      << R"(,"meters":["core_use","on_cores","heap_share","links"]},"limits":{"retryAfter":true,)"
      << R"("maxRetryAfterNs":1000000000},"rules":{"answerSlackNs":100000000,"drainGraceNs":)" << config.grace
      << R"(,"overloadFactor":6,"overloadForNs":1500000000},"servers":)" << config.servers
      << R"(,"tickNs":2000000}})";
}

}  // namespace myrtlecroft::standin
