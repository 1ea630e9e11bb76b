#include "rig_servers.h"

#include <algorithm>
#include <csignal>
#include <regex>

#include "../standin/port_reservations.h"
#include "rig_files.h"

namespace myrtlecroft::rehearsal {
namespace {

using standin::loopback_address;

constexpr int kEngineCores = 2;
constexpr Nanos kWarmUp = 200 * kMs;             // warm-up time of an engine that started
constexpr Nanos kFailureDetection = 1500 * kMs;  // time until a failed server is known to have failed
constexpr Nanos kMaxAnswerDelay = 2 * kReadTimeout;
constexpr int kRestartExitCode = 100;  // plus the version to start
constexpr Nanos kBatchInterval = 4 * kSecond;
// Patterns of lines in a server's log.
constexpr const char* kDrainsLine = "drains to be started as";
constexpr const char* kStartedLine = "started as";
constexpr const char* kAssignmentPattern = R"(shard assignment in force: epoch (\d+) of term (\d+))";

}  // namespace

RigServers::RigServers(RigContext& context, const RigProxies& proxies, const std::vector<int>& report_ports,
                       Handlers handlers)
    : context_(context),
      proxies_(proxies),
      handlers_(std::move(handlers)),
      database_(context.loop(), context.log()) {
  for (int i = 0; i < context.incident().nodes; ++i) add(i, report_ports);
}

void RigServers::add(int index, const std::vector<int>& report_ports) {
  const std::string name = RigContext::server_name(index);
  Server& server = servers_.emplace_back();
  server.port = context_.ports().reserve();
  server.faults = std::make_unique<standin::FaultFile>(context_.file("faults-" + name));
  server.engine = std::make_unique<standin::Engine>(
      context_.loop(), context_.log(), name, kEngineCores,
      [this](const standin::ObservedRun& run) { handlers_.run_started(run); });
  if (context_.incident().reads_per_s > 0) server.engine->queue_for_cores();
  for (int port : report_ports) {
    server.reports.push_back(
        std::make_unique<standin::Relay>(context_.loop(), static_cast<std::uint16_t>(port)));
  }
  server.log = std::make_unique<LogTail>(context_.file(name + ".log"));
}

void RigServers::write_files() const {
  std::vector<ServerPorts> all;
  for (const Server& server : servers_) {
    ServerPorts& ports = all.emplace_back();
    ports.server = server.port;
    ports.engine = server.engine->port();
    for (const auto& relay : server.reports) ports.reports.push_back(relay->port());
  }
  write_fleet_file(context_, all);
  for (std::size_t i = 0; i < all.size(); ++i)
    write_server_files(context_, static_cast<int>(i), all[i], database_.port());
}

void RigServers::start_all() {
  for (int i = 0; i < count(); ++i) start(i);
}

void RigServers::start(int index) {
  Server& server = servers_[static_cast<std::size_t>(index)];
  const std::string name = RigContext::server_name(index);
  server.engine->restart(context_.has_begun() ? kWarmUp : 0);
  auto behaviour = behaviours_.find(server.version);
  server.engine->apply_behaviour(behaviour == behaviours_.end() ? standin::Behaviour{} : behaviour->second);
  auto variables = server.faults->variables(MYRTLECROFT_FAULTY);
  variables.emplace_back("LB_CONFIG", context_.file(name + ".json"));
  variables.emplace_back("MYRTLECROFT_SETTINGS", context_.file(name + ".conf"));
  variables.emplace_back("MYRTLECROFT_RELEASE", std::to_string(server.version));
  server.process = standin::ChildProcess({MYRTLECROFT_PROGRAM}, context_.file(name + ".log"), variables);
  server.alive = true;
  server.restart_ordered = false;
  server.epoch = {};
}

int RigServers::running_version(int version) const {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(), [&](const Server& server) {
    return server.alive && server.version == version;
  }));
}

// ---- Faults

void RigServers::kill(int index, Nanos length) {
  Server& server = servers_[static_cast<std::size_t>(index)];
  if (!server.alive) return;
  server.alive = false;
  server.restart_ordered = false;
  server.killed_at = context_.now();
  server.process.end(SIGKILL);
  context_.schedule(length, [this, index] { start(index); });
}

void RigServers::pause(int index, Nanos length) {
  Server& server = servers_[static_cast<std::size_t>(index)];
  if (!server.alive) return;
  server.process.signal(SIGSTOP);
  context_.schedule(length, [&server] { server.process.signal(SIGCONT); });
  server.killed_at = context_.now() + length;  // requests not answered during the pause are no violation
}

void RigServers::slow_engine(int index, double times, Nanos length) {
  standin::Engine& engine = *servers_[static_cast<std::size_t>(index)].engine;
  engine.slow(times);
  context_.schedule(length, [&engine] { engine.slow(1); });
}

void RigServers::step_clock(int index, Nanos by, Nanos length) {
  const standin::FaultFile& faults = *servers_[static_cast<std::size_t>(index)].faults;
  faults->wall_clock_offset_ns = by;
  context_.schedule(length, [&faults] { faults->wall_clock_offset_ns = 0; });
}

void RigServers::heal_links() {
  for (Server& server : servers_) {
    for (auto& relay : server.reports) relay->clear_faults();
  }
}

// ---- Checks

void RigServers::handle_connection_lost(const std::string& address) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const Server& server = servers_[i];
    if (loopback_address(server.port) != address) continue;
    if (context_.now() - server.killed_at <= kMaxAnswerDelay) continue;
    context_.record_violation(
        server.restart_ordered ? &RigViolations::drain_violations : &RigViolations::lost_requests,
        "no answer from " + address);
    context_.record_event("no answer from " + RigContext::server_name(static_cast<int>(i)));
  }
}

void RigServers::check_logs() {
  for (Server& server : servers_)
    server.log->for_each_new_line([&](const std::string& line) { check_line(server, line); });
}

void RigServers::check_line(Server& server, const std::string& line) {
  static const std::regex assignment_pattern(kAssignmentPattern);
  if (line.find(kDrainsLine) != std::string::npos) begin_ordered_restart(server);
  if (line.find(kStartedLine) != std::string::npos) server.epoch = {};
  std::smatch match;
  if (!std::regex_search(line, match, assignment_pattern)) return;
  std::pair<std::uint64_t, std::uint64_t> epoch{std::stoull(match[2]), std::stoull(match[1])};
  if (epoch < server.epoch)
    context_.record_violation(&RigViolations::stale_epochs, "a server acted on an older assignment: " + line);
  server.epoch = epoch;
}

void RigServers::begin_ordered_restart(Server& server) {
  server.restart_ordered = true;
  mark_out_by_choice(server);
  if (!handlers_.release_under_way())
    context_.record_violation(&RigViolations::unpermitted_exits,
                              "a server left though no release was under way");
}

void RigServers::restart_exited() {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    Server& server = servers_[i];
    if (!server.alive || !server.process.has_exited()) continue;
    server.alive = false;
    int code = server.process.code();
    bool batch_restart = context_.options().fixed_batch_restarts && code == 0;
    if (code < kRestartExitCode && !batch_restart) {
      context_.record_violation(&RigViolations::crashes, RigContext::server_name(static_cast<int>(i)) +
                                                             " exited by itself with code " +
                                                             std::to_string(code));
    }
    server.restart_ordered = true;
    if (code >= kRestartExitCode) server.version = code - kRestartExitCode;
    context_.schedule(context_.incident().restart, [this, i] {
      if (!servers_[i].alive) start(static_cast<int>(i));
    });
  }
}

int RigServers::out_by_choice() const {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(),
                                        [](const Server& server) { return server.out_by_choice; }));
}

// Counts servers that failed long enough ago to be known as failed.
int RigServers::failed() const {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(), [&](const Server& server) {
    return !server.alive && !server.restart_ordered && !server.out_by_choice &&
           context_.now() - server.killed_at > kFailureDetection;
  }));
}

// Failed servers count against the budget too.
void RigServers::mark_out_by_choice(Server& server) {
  if (server.out_by_choice) return;
  server.out_by_choice = true;
  if (context_.options().fixed_batch_restarts) return;
  if (out_by_choice() + failed() <= context_.result().unavailable.allowed) return;
  context_.record_violation(
      &RigViolations::over_budget,
      std::to_string(out_by_choice()) + " are out by choice and " + std::to_string(failed()) + " failed");
}

void RigServers::check_budgets(const std::set<std::string>& leased) {
  if (context_.incident().reads_per_s <= 0) return;
  std::map<int, int> out_by_service = update_out_by_choice(leased);
  RigUnavailable& unavailable = context_.result().unavailable;
  unavailable.max = std::max(unavailable.max, out_by_choice());
  for (const auto& [service, out] : out_by_service) {
    unavailable.service_max = std::max(unavailable.service_max, out);
    if (out > unavailable.service_allowed && !context_.options().fixed_batch_restarts)
      context_.record_violation(&RigViolations::over_budget,
                                std::to_string(out) + " servers of a service are out by choice");
  }
}

// The agreed state shows that a server is out by choice and not for its health; the proxies' sets show that
// it gets no requests. Returns the number of servers out by choice for each service.
std::map<int, int> RigServers::update_out_by_choice(const std::set<std::string>& leased) {
  std::map<int, int> out_by_service;
  const int services = context_.incident().services;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    Server& server = servers_[i];
    const std::string name = RigContext::server_name(static_cast<int>(i));
    bool routed_to = proxies_.any_routes_to(name);
    if (!routed_to && leased.contains(name)) mark_out_by_choice(server);
    if (routed_to && server.alive && !server.restart_ordered && !server.engine->warming_up())
      server.out_by_choice = false;
    if (services > 0 && server.out_by_choice) ++out_by_service[static_cast<int>(i) % services];
  }
  return out_by_service;
}

void RigServers::restart_next_batch() {
  auto due = static_cast<std::size_t>((context_.now() - context_.begin_time()) / kBatchInterval);
  auto size = static_cast<std::size_t>(std::max(1, context_.result().unavailable.allowed));
  for (; batches_ <= due && batches_ * size < servers_.size(); ++batches_) {
    std::size_t end = std::min(servers_.size(), (batches_ + 1) * size);
    for (std::size_t i = batches_ * size; i < end; ++i) {
      Server& server = servers_[i];
      if (!server.alive) continue;
      server.restart_ordered = true;
      mark_out_by_choice(server);
      server.process.signal(SIGTERM);
    }
  }
}

}  // namespace myrtlecroft::rehearsal
