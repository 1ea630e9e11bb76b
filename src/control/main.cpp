// myrtlecroft-control: wiring, arguments, signals and exit codes.
#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/util/json_util.h>
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include "control/admin_client.h"
#include "control/control.h"
#include "control/release_watch.h"
#include "control/tables.h"
#include "fleet/fleet_file.h"
#include "net/descriptors.h"
#include "releases/rollout_plan.h"
#include "settings/document.h"

namespace {

using namespace myrtlecroft;

constexpr int kUsage = 2;
constexpr Nanos kLongestHandOn = 1500 * kMs;
constexpr std::size_t kMaxDescriptors =
    65'536;  // for proxies and servers; fewer where the process may have fewer

sockaddr_in address_of(const std::string& given) {
  std::optional<settings::HostAndPort> address = settings::parse_address(given);
  if (!address) throw std::runtime_error("not an address: '" + given + "'");
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address->port);
  inet_pton(AF_INET, address->host.c_str(), &out.sin_addr);
  return out;
}

int check(const std::string& path) {
  try {
    fleet::Fleet fleet = fleet::read_fleet(path);
    std::printf("%s: good: %zu nodes, %zu endpoint groups, %zu shards\n", path.c_str(), fleet.nodes.size(),
                fleet.request_classes.size(), fleet.shards());
    return 0;
  } catch (const settings::DocumentError& error) {
    std::fprintf(stderr, "myrtlecroft-control: %s\n", error.what());
    return kUsage;
  }
}

void serve(control::ControlOptions options) {
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_ARENA_MAX, 2);                    // threads that each keep memory of their own keep it for good
  google::protobuf::SetLogHandler(nullptr);   // what peers send that makes no sense is told in our own log
  net::reserve_descriptors(kMaxDescriptors);  // before any thread
  net::Loop loop;
  net::Log log(loop);
  control::Control control(loop, log, std::move(options));
  // Whoever leads hands on first, so that nobody waits for an election; but not for long.
  net::Timer last_moment(loop.base(), [&] { loop.stop(); });
  auto leave = [&] {
    last_moment.set(kLongestHandOn);
    control.transfer_leadership([&] { last_moment.set(0); });
  };
  net::Timer terminated(loop.base(), SIGTERM, leave);
  net::Timer interrupted(loop.base(), SIGINT, leave);
  net::Timer reload(loop.base(), SIGHUP, [&] { control.reload(); });
  log.line("started; proxies at port " + std::to_string(control.discovery_port()) + ", reports at " +
           std::to_string(control.reports_port()) + ", admin at " + std::to_string(control.admin_port()));
  loop.run();
  log.line("stopped");
}

// Offline, on the folder of an instance that does not run.
int reset(const std::string& folder, const std::string& list) {
  consensus::StoreRaftStorage storage(
      folder, [] { return net::Loop::unix_now(); }, [] {});
  consensus::RaftNode::force_new_cluster(storage, control::parse_instances(list));
  std::printf(
      "%s goes on with: %s\nWhat only those who are gone had agreed on is lost. Start it without --begin.\n",
      folder.c_str(), list.c_str());
  return 0;
}

// Which rows of an answer, as the service reads it: " zone=a page=2".
struct RowOptions {
  std::string zone;
  std::string state;
  std::string name;
  std::size_t page = 1;

  std::string text() const {
    std::string out;
    if (!zone.empty()) out += " zone=" + zone;
    if (!state.empty()) out += " state=" + state;
    if (!name.empty()) out += " name=" + name;
    if (page != 1) out += " page=" + std::to_string(page);
    return out;
  }
};

void add_row_options(CLI::App& asking, const std::string& topic, RowOptions& rows) {
  if (topic == "instances") return;
  asking.add_option("--page", rows.page, "Page of a long answer, from 1");
  if (topic == "release status") return;
  asking.add_option("--name", rows.name, "Only rows whose name begins so");
  if (topic == "outings") return;
  asking.add_option("--zone", rows.zone, "Only rows of this zone");
  if (topic == "proxies") return;
  asking.add_option("--state", rows.state,
                    topic == "nodes" ? "Only nodes in this state" : "Only nodes of this health");
}

int show(const std::string& admin, const std::string& question, const std::string& rows, bool as_json) {
  control::AdminAnswer answer = control::AdminClient(address_of(admin)).call(question + rows);
  if (!answer.error().empty()) throw std::runtime_error(answer.error());
  if (!as_json) {
    if (!answer.done().empty()) std::puts(answer.done().c_str());
    bool outings = control::AdminCommands::is_command(question);
    if (!outings) control::print_table(answer, answer.done().empty() ? question : "instances");
    return 0;
  }
  std::string out;
  google::protobuf::util::JsonPrintOptions print;
  print.add_whitespace = true;
  print.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(answer, &out, print).ok()) return 1;
  std::fputs(out.c_str(), stdout);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  // Debian's gRPC is built with this on: each lock that is taken then costs a look into a graph of all locks,
  // a sixth of the time while thousands of callers connect.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  CLI::App app("Decides where a fleet's exchanges go, and tells proxies over xDS");
  app.require_subcommand(1);
  std::string fleet;
  std::string state;
  std::string discovery = "127.0.0.1:18000";
  std::string reports = "127.0.0.1:7300";
  std::string admin = "127.0.0.1:7301";
  bool first_start = false;
  bool as_json = false;

  CLI::App* serving = app.add_subcommand("serve", "Run the control service");
  serving->add_option("--fleet", fleet, "The fleet file")->required();
  serving->add_option("--state", state, "Folder where the last good state is kept; without it nothing is");
  serving->add_option("--xds", discovery, "Address for proxies")->capture_default_str();
  serving->add_option("--reports", reports, "Address for nodes' reports")->capture_default_str();
  serving->add_option("--admin", admin, "Address for the commands below")->capture_default_str();
  serving->add_flag("--first-start", first_start,
                    "No proxy was ever served for this fleet: nothing can have run");
  control::AgreementOptions agreement;
  std::string begin;
  serving->add_option("--instance", agreement.id,
                      "Id among several that decide as one; above 0, never used again");
  serving->add_option("--peer", agreement.address, "Address where other instances reach it");
  serving->add_option("--log", agreement.folder, "Folder of its log");
  serving->add_option("--begin", begin, "First start of several: all of them, as 1=127.0.0.1:7401,2=...");
  std::string reach;
  serving->add_option("--reach", reach,
                      "Others, where they are reached from here by another address than all know");
  serving->add_flag("--join", agreement.join, "First start of one that is to be let in by 'let-in'");
  serving
      ->add_option("--hold-format", agreement.max_entry_format,
                   "Take and write no newer form of agreed entries, for an upgrade that may be taken back")
      ->check(CLI::Range(1u, agreement::kFormat));
  serving
      ->add_option("--snapshot-after", agreement.snapshot_after, "Entries of the log between two snapshots")
      ->check(CLI::Range(8u, 100'000u))
      ->capture_default_str();
  CLI::App* again =
      app.add_subcommand("begin-again", "A majority is gone for good: go on with what this folder knows");
  again->add_option("--log", agreement.folder, "Folder of the instance with the highest epoch")->required();
  again->add_option("--instances", begin, "Who goes on, as 1=127.0.0.1:7401")->required();
  CLI::App* checking = app.add_subcommand("check", "Read a fleet file over");
  checking->add_option("file", fleet, "The fleet file")->required();
  std::vector<std::string> words;
  for (const char* command : {"let-in", "let-out", "hand-on"}) {
    CLI::App* telling = app.add_subcommand(command, "Tell the instance that leads");
    telling->add_option("--admin", admin, "Its admin address")->capture_default_str();
    telling->add_option("words", words, "Id, and for let-in the address");
  }
  for (const char* command : {"drain", "undrain"}) {
    CLI::App* telling =
        app.add_subcommand(command, command == std::string("drain")
                                        ? "Take a node, a zone or what uses a service out, within the budgets"
                                        : "Let it back");
    telling->add_option("--admin", admin, "Admin address of any instance")->capture_default_str();
    telling->add_option("name", words, "Node, zone or service")->required()->expected(1);
  }
  CLI::App* releasing = app.add_subcommand("release", "Bring the fleet to another version, wave by wave");
  releasing->require_subcommand(1);
  std::string plan;
  bool watch = false;
  CLI::App* release_start = releasing->add_subcommand("start", "Begin one");
  release_start->add_option("plan", plan, "The plan's file")->required();
  CLI::App* release_check = releasing->add_subcommand("check", "Read a plan over");
  release_check->add_option("plan", plan, "The plan's file")->required();
  CLI::App* release_status = releasing->add_subcommand("status", "How far it is, and what it waits for");
  release_status->add_flag("--watch", watch, "Show it until it is over");
  release_status->add_flag("--json", as_json, "Print JSON");
  RowOptions rows;
  add_row_options(*release_status, "release status", rows);
  for (const auto& [word, what] :
       {std::pair("halt", "Let nobody more go out, at once"), std::pair("resume", "Go on after a halt"),
        std::pair("back", "Back to the version before, the newest first"),
        std::pair("end", "Leave a halted one as it is")}) {
    releasing->add_subcommand(word, what)->add_option("reason", words, "For the log");
  }
  for (CLI::App* one : releasing->get_subcommands({})) {
    if (one != release_check)
      one->add_option("--admin", admin, "Admin address of any instance")->capture_default_str();
  }
  for (const char* question : {"snapshot", "proxies", "nodes", "instances", "outings"}) {
    CLI::App* asking = app.add_subcommand(question, "Ask a running one");
    asking->add_option("--admin", admin, "Its admin address")->capture_default_str();
    asking->add_flag("--json", as_json, "Print JSON");
    add_row_options(*asking, question, rows);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsage;
  }
  try {
    if (checking->parsed()) return check(fleet);
    if (again->parsed()) return reset(agreement.folder, begin);
    if (serving->parsed()) {
      bool several = agreement.id != 0 || !agreement.address.empty() || !agreement.folder.empty();
      if (several &&
          (agreement.id == 0 || agreement.address.empty() || agreement.folder.empty() || !state.empty())) {
        throw std::runtime_error("--instance, --peer and --log go together, and without --state");
      }
      agreement.bootstrap = control::parse_instances(begin);
      agreement.address_overrides = control::parse_instances(reach);
      serve({.fleet_path = fleet,
             .state_folder = state,
             .first_start = first_start,
             .addresses = {discovery, address_of(reports), address_of(admin)},
             .agreement = agreement});
      return 0;
    }
    if (release_check->parsed()) {
      agreement::Plan read = releases::read_plan(plan);
      std::printf("%s: good: '%s' to version %u in %u waves\n", plan.c_str(), read.name().c_str(),
                  read.version(), releases::wave_count(read));
      return 0;
    }
    if (watch) {
      control::watch_release([&] { return control::AdminClient(address_of(admin)).call("release status"); });
      return 0;
    }
    std::string question = app.get_subcommands().front()->get_name();
    if (releasing->parsed()) question += " " + releasing->get_subcommands().front()->get_name();
    if (release_start->parsed()) question = releases::release_start_command(releases::read_plan(plan));
    for (const std::string& word : words) question += " " + word;
    return show(admin, question, rows.text(), as_json);
  } catch (const settings::DocumentError& error) {
    std::fprintf(stderr, "myrtlecroft-control: %s\n", error.what());
    return kUsage;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft-control: %s\n", error.what());
    return 1;
  }
}
