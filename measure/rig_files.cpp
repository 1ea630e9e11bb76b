#include "rig_files.h"

#include <fstream>
#include <iomanip>

#include "../standin/node_config.h"
#include "../standin/port_reservations.h"

namespace myrtlecroft::rehearsal {
namespace {

using standin::loopback_address;

constexpr Nanos kReadObjective = 500 * kMs;

void write_servers(std::ostream& out, const Incident& incident, const std::vector<ServerPorts>& servers) {
  out << "nodes = (";
  for (int i = 0; i < incident.nodes; ++i) {
    out << (i ? ", " : "") << "{ name = \"" << RigContext::server_name(i) << "\"; zone = \"z"
        << i % incident.zones << "\"; capacity = 2; address = \""
        << loopback_address(servers[static_cast<std::size_t>(i)].server) << "\"; }";
  }
  out << ");\n";
}

void write_request_classes(std::ostream& out, const Incident& incident) {
  out << "groups = ({ name = \"" << kKeyedClass
      << "\"; repeats = \"deduplicated\"; slo_ms = 400; timeout_ms = " << kKeyedTimeout / kMs
      << "; window_ms = " << kKeyWindow / kMs << "; }";
  if (incident.reads_per_s > 0) {
    for (const char* read : kReadClasses) {
      out << ", { name = \"" << read << "\"; repeats = \"repeatable\"; slo_ms = " << kReadObjective / kMs
          << "; timeout_ms = " << kReadTimeout / kMs << "; }";
    }
  }
  out << ");\n";
}

void write_services(std::ostream& out, const Incident& incident) {
  out << "services = (";
  for (int service = 0; service < incident.services; ++service) {
    out << (service ? ", " : "") << "{ name = \"below" << service
        << "\"; most_out = " << incident.service_max_unavailable << "; used_by = (";
    for (int i = service; i < incident.nodes; i += incident.services)
      out << (i > service ? ", " : "") << '"' << RigContext::server_name(i) << '"';
    out << "); }";
  }
  out << ");\n";
}

std::string read_classes_json(const Incident& incident) {
  std::string out;
  if (incident.reads_per_s <= 0) return out;
  for (const char* read : kReadClasses) {
    out += std::string(R"(,{"name":")") + read + R"(","effect":"idempotent","gain":1,"goalTimeNs":)" +
           std::to_string(kReadObjective) + R"(,"hardLimitNs":)" + std::to_string(kReadTimeout) + "}";
  }
  return out;
}

}  // namespace

void write_fleet_file(const RigContext& context, const std::vector<ServerPorts>& servers) {
  const Incident& incident = context.incident();
  std::ofstream out(context.file("fleet.conf"));
  out << std::fixed << std::setprecision(3);
  out << "version = 1; listener = \"fleet\"; proxies = " << incident.proxies << "; ";
  write_servers(out, incident, servers);
  write_request_classes(out, incident);
  write_services(out, incident);
  out << "outings = { most_out = " << incident.max_unavailable << "; reserve = 0.05; };\n"
      << "bounds = { silent_ms = 700; mute_ms = 700; dwell_ms = 500; ramp_ms = 500; shard_digits = 1; "
         "settle_ms = 50; };\n";
}

void write_server_files(const RigContext& context, int server, const ServerPorts& ports, int database_port) {
  const std::string name = RigContext::server_name(server);
  std::ofstream settings(context.file(name + ".conf"));
  settings << "version = 1; reports = { to = (";
  for (std::size_t i = 0; i < ports.reports.size(); ++i)
    settings << (i ? ", " : "") << '"' << loopback_address(ports.reports[i]) << '"';
  settings << "); every_ms = 100; obey = " << (context.options().replicated ? "true" : "false") << "; };\n";
  standin::write_server_config(
      context.file(name + ".json"),
      {.name = name,
       .port = ports.server,
       .engine = ports.engine,
       .database = database_port,
       .servers = context.incident().nodes,
       .request_classes = std::string(R"({"name":")") + kKeyedClass +
                          R"(","effect":"deduplicated","gain":1,"goalTimeNs":400000000,"hardLimitNs":)" +
                          std::to_string(kKeyedTimeout) + R"(,"dedupWindowNs":)" +
                          std::to_string(kKeyWindow) + "}" + read_classes_json(context.incident()),
       .family = R"("nCores":2,"ramKb":60000,"blowup":8,"keyKb":4,"idleNs":30000000000)"});
}

}  // namespace myrtlecroft::rehearsal
