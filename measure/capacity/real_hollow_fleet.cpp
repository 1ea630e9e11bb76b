// A process that runs a part of the hollow servers, or of the hollow callers, of one capacity measurement,
// and executes commands from the socket that it inherits.
#include <google/protobuf/stubs/logging.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <optional>

#include "capacity/real_callers.h"
#include "capacity/real_commands.h"
#include "capacity/real_servers.h"
#include "net/address.h"
#include "net/descriptors.h"

namespace {

using namespace myrtlecroft;

constexpr std::size_t kMaxDescriptors = 20'000;

hollow::Answer execute(const hollow::Command& command, capacity::HollowServers* servers,
                       capacity::HollowCallers* callers) {
  hollow::Answer answer;
  answer.set_at_ns(capacity::steady_ns());
  if (servers) {
    if (command.has_say()) servers->set_draining(command.say());
    if (command.has_reach()) servers->set_reachable(command.reach());
    servers->fill_answer(answer);
  }
  if (callers) {
    if (command.has_add_callers()) callers->add(command.add_callers());
    if (command.has_expect()) callers->expect(command.expect());
    if (command.has_list_owners()) callers->list_owners(answer);
    callers->fill_answer(answer, command.look().whole());
  }
  return answer;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Runs hollow servers or hollow callers");
  app.require_subcommand(1);
  int socket = -1;
  capacity::FleetPlan plan;
  capacity::HollowServersOptions options;
  std::uint16_t reports = 0;
  std::int64_t report_interval_ms = 250;
  std::string discovery;
  CLI::App* servers_command = app.add_subcommand("servers", "Servers that report");
  servers_command->add_option("--reports", reports, "Port of the control instance for load reports")
      ->required();
  servers_command->add_option("--first", options.first)->required();
  servers_command->add_option("--count", options.count)->required();
  servers_command->add_option("--every-ms", report_interval_ms);
  servers_command->add_option("--groups", options.request_classes);
  CLI::App* callers_command = app.add_subcommand("callers", "Callers that apply xDS resources");
  callers_command->add_option("--discovery", discovery, "xDS target of the control instance")->required();
  callers_command->add_option("--servers", plan.servers);
  callers_command->add_option("--services", plan.services);
  callers_command->add_option("--subsetting", plan.subset_size);
  for (CLI::App* one : {servers_command, callers_command})
    one->add_option("--commands", socket, "Descriptor of the socket that commands arrive on")->required();
  CLI11_PARSE(app, argc, argv);

  std::signal(SIGPIPE, SIG_IGN);
  google::protobuf::SetLogHandler(nullptr);
  net::reserve_descriptors(kMaxDescriptors);  // must precede the start of any thread
  net::Loop loop;
  std::optional<capacity::HollowServers> servers;
  std::optional<capacity::HollowCallers> callers;
  if (servers_command->parsed()) {
    options.control_address = net::loopback(reports);
    options.report_interval = report_interval_ms * kMs;
    servers.emplace(loop, options);
  }
  if (callers_command->parsed()) callers.emplace(discovery, plan);
  capacity::CommandServer commands(loop, socket, [&](const hollow::Command& command) {
    return execute(command, servers ? &*servers : nullptr, callers ? &*callers : nullptr);
  });
  loop.run();
  std::_Exit(0);  // skips the orderly shutdown of thousands of gRPC channels
}
