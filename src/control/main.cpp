// myrtlecroft-control: runs the subcommand on the command line. Handles signals and sets the exit code.
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/util/json_util.h>
#include <malloc.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>

#include "control/admin_client.h"
#include "control/admin_commands.h"
#include "control/command_line.h"
#include "control/control.h"
#include "control/release_watch.h"
#include "control/tables.h"
#include "fleet/fleet_file.h"
#include "net/descriptors.h"
#include "releases/rollout_plan.h"
#include "settings/document.h"

namespace myrtlecroft::control {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;                         // invalid command line, fleet file or plan
constexpr Nanos kMaxLeadershipTransfer = 1500 * kMs;  // the service stops then in any case
// For proxies and servers; lower if the process's hard limit is.
constexpr std::size_t kMaxDescriptors = 65'536;
constexpr int kMaxMallocArenas = 2;  // with more, each thread's arena would retain freed memory

// An argument that should be an address is not one.
class AddressError final : public std::runtime_error {
 public:
  explicit AddressError(const std::string& text) : std::runtime_error("invalid address: '" + text + "'") {}
};

// Options of "serve" that exclude or require each other.
class OptionsError final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The control service answered with an error.
class AnswerError final : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

sockaddr_in parse_address(const std::string& text) {
  std::optional<settings::HostAndPort> address = settings::parse_address(text);
  if (!address) throw AddressError(text);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address->port);
  inet_pton(AF_INET, address->host.c_str(), &out.sin_addr);
  return out;
}

void check_fleet(const std::string& path) {
  fleet::Fleet fleet = fleet::read_fleet(path);
  std::printf("%s: valid: %zu nodes, %zu endpoint groups, %zu shards\n", path.c_str(), fleet.nodes.size(),
              fleet.request_classes.size(), fleet.shards());
}

void check_plan(const std::string& path) {
  agreement::Plan plan = releases::read_plan(path);
  std::printf("%s: valid: '%s' to version %u in %u waves\n", path.c_str(), plan.name().c_str(),
              plan.version(), releases::wave_count(plan));
}

ControlOptions control_options(const ServeArguments& arguments) {
  AgreementOptions agreement = arguments.agreement;
  bool any_option_given = agreement.id != 0 || !agreement.address.empty() || !agreement.folder.empty();
  bool all_options_given = agreement.id != 0 && !agreement.address.empty() && !agreement.folder.empty();
  if (any_option_given && (!all_options_given || !arguments.state_folder.empty())) {
    throw OptionsError("--instance, --peer and --log must be given together and exclude --state");
  }
  agreement.bootstrap = parse_instances(arguments.bootstrap);
  agreement.address_overrides = parse_instances(arguments.address_overrides);
  return {.fleet_path = arguments.fleet_path,
          .state_folder = arguments.state_folder,
          .first_start = arguments.first_start,
          .addresses = {.discovery = arguments.discovery,
                        .reports = parse_address(arguments.reports),
                        .admin = parse_address(arguments.admin)},
          .agreement = std::move(agreement)};
}

// Runs the control service until SIGTERM or SIGINT. A leader transfers leadership before it stops, so that
// the cluster need not wait for an election. SIGHUP reloads the fleet file.
void serve(ControlOptions options) {
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_ARENA_MAX, kMaxMallocArenas);
  google::protobuf::SetLogHandler(nullptr);   // the program logs malformed input itself
  net::reserve_descriptors(kMaxDescriptors);  // must precede the first thread
  net::Loop loop;
  net::Log log(loop);
  ControlService control(loop, log, std::move(options));
  net::Timer stop(loop.base(), [&] { loop.stop(); });
  auto shut_down = [&] {
    stop.set(kMaxLeadershipTransfer);
    control.transfer_leadership([&] { stop.set(0); });
  };
  net::Timer terminated(loop.base(), SIGTERM, shut_down);
  net::Timer interrupted(loop.base(), SIGINT, shut_down);
  net::Timer reload(loop.base(), SIGHUP, [&] { control.reload(); });
  log.line("started: proxies at port " + std::to_string(control.discovery_port()) + ", reports at port " +
           std::to_string(control.reports_port()) + ", admin at port " +
           std::to_string(control.admin_port()));
  loop.run();
  log.line("stopped");
}

// Works on the log folder of an instance that is not running.
void force_new_cluster(const NewClusterArguments& arguments) {
  consensus::StoreRaftStorage storage(
      arguments.folder, [] { return net::Loop::unix_now(); }, [] {});
  consensus::RaftNode::force_new_cluster(storage, parse_instances(arguments.instances));
  std::printf(
      "%s is the log of a new cluster: %s\nDecisions that only the lost instances had committed are lost. "
      "Start it "
      "without "
      "--begin.\n",
      arguments.folder.c_str(), arguments.instances.c_str());
}

int print_json(const AdminAnswer& answer) {
  std::string out;
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(answer, &out, options).ok()) return kExitFailed;
  std::fputs(out.c_str(), stdout);
  return kExitOk;
}

// Sends a query or a command and prints the answer. Throws AnswerError and AdminClientError.
int call_and_print(const ClientArguments& arguments, const std::string& line) {
  AdminAnswer answer = AdminClient(parse_address(arguments.admin)).call(line + arguments.rows.query_suffix());
  if (!answer.error().empty()) throw AnswerError(answer.error());
  if (arguments.as_json) return print_json(answer);
  if (!answer.done().empty()) std::puts(answer.done().c_str());
  if (!AdminCommands::is_maintenance_command(line))
    print_table(answer, answer.done().empty() ? line : "instances");
  return kExitOk;
}

// The query or command to send.
std::string admin_line(const CommandLine& command_line) {
  std::string line = command_line.name();
  for (const std::string& operand : command_line.client().operands) line += " " + operand;
  return line;
}

int run(const CommandLine& command_line) {
  using Command = CommandLine::Command;
  const ClientArguments& client = command_line.client();
  switch (command_line.command()) {
    case Command::kServe:
      serve(control_options(command_line.serve()));
      return kExitOk;
    case Command::kNewCluster:
      force_new_cluster(command_line.new_cluster());
      return kExitOk;
    case Command::kCheckFleet:
      check_fleet(command_line.checked_fleet_path());
      return kExitOk;
    case Command::kCheckPlan:
      check_plan(command_line.plan_path());
      return kExitOk;
    case Command::kWatchRelease:
      watch_release([&] { return AdminClient(parse_address(client.admin)).call("release status"); });
      return kExitOk;
    case Command::kStartRelease:
      return call_and_print(client,
                            releases::release_start_command(releases::read_plan(command_line.plan_path())));
    case Command::kCall:
      return call_and_print(client, admin_line(command_line));
  }
  return kExitFailed;
}

}  // namespace
}  // namespace myrtlecroft::control

int main(int argc, char** argv) {
  using namespace myrtlecroft;
  // Debian builds gRPC with deadlock detection enabled, so each lock taken costs a search in a graph of all
  // locks: a sixth of the CPU time while thousands of callers connect.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  control::CommandLine command_line;
  try {
    command_line.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return command_line.print_error(error) == 0 ? control::kExitOk : control::kExitUsage;
  }
  try {
    return control::run(command_line);
  } catch (const settings::DocumentError& error) {
    std::fprintf(stderr, "myrtlecroft-control: %s\n", error.what());
    return control::kExitUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft-control: %s\n", error.what());
    return control::kExitFailed;
  }
}
