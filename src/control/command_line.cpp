#include "control/command_line.h"

#include <utility>

namespace myrtlecroft::control {
namespace {

constexpr unsigned kMinSnapshotThreshold = 8;  // log entries
constexpr unsigned kMaxSnapshotThreshold = 100'000;

}  // namespace

std::string RowOptions::query_suffix() const {
  std::string out;
  if (!zone.empty()) out += " zone=" + zone;
  if (!state.empty()) out += " state=" + state;
  if (!name.empty()) out += " name=" + name;
  if (page != 1) out += " page=" + std::to_string(page);
  return out;
}

CommandLine::CommandLine()
    : app_(
          "Control service: decides how a fleet's requests are routed and serves the routes to proxies over "
          "xDS") {
  app_.require_subcommand(1);
  add_serve_command();
  add_offline_commands();
  add_member_commands();
  add_drain_commands();
  add_release_commands();
  add_queries();
}

CommandLine::Command CommandLine::command() const {
  if (check_command_->parsed()) return Command::kCheckFleet;
  if (new_cluster_command_->parsed()) return Command::kNewCluster;
  if (serve_command_->parsed()) return Command::kServe;
  if (release_check_->parsed()) return Command::kCheckPlan;
  if (client_.watch) return Command::kWatchRelease;
  return release_start_->parsed() ? Command::kStartRelease : Command::kCall;
}

std::string CommandLine::name() const {
  std::string name = app_.get_subcommands().front()->get_name();
  if (release_command_->parsed()) name += " " + release_command_->get_subcommands().front()->get_name();
  return name;
}

void CommandLine::add_serve_command() {
  CLI::App& serve = *app_.add_subcommand("serve", "Run the control service");
  serve_command_ = &serve;
  serve.add_option("--fleet", serve_.fleet_path, "The fleet file")->required();
  serve.add_option("--state", serve_.state_folder,
                   "Folder for the saved state; without it no state is saved");
  serve.add_option("--xds", serve_.discovery, "Listen address for proxies")->capture_default_str();
  serve.add_option("--reports", serve_.reports, "Listen address for servers' load reports")
      ->capture_default_str();
  serve.add_option("--admin", serve_.admin, "Listen address for admin commands and queries")
      ->capture_default_str();
  serve.add_flag("--first-start", serve_.first_start,
                 "No proxy was ever served for this fleet, so no request can have run");
  add_replication_options(serve);
}

void CommandLine::add_replication_options(CLI::App& serve) {
  AgreementOptions& agreement = serve_.agreement;
  serve.add_option("--instance", agreement.id, "Id of this replica in the cluster; above 0, never reused");
  serve.add_option("--peer", agreement.address, "Address where other instances reach this one");
  serve.add_option("--log", agreement.folder, "Folder of the replicated log");
  serve.add_option("--begin", serve_.bootstrap,
                   "First start of a new cluster: all its members, as 1=127.0.0.1:7401,2=...");
  serve.add_option(
      "--reach", serve_.address_overrides,
      "Address overrides: members that this instance reaches at another address than the cluster knows");
  serve.add_flag("--join", agreement.join,
                 "First start of an instance that 'let-in' will add to a running cluster");
  serve
      .add_option("--hold-format", agreement.max_entry_format,
                  "Newest format of log entries to accept and write, for an upgrade that may be rolled back")
      ->check(CLI::Range(1u, agreement::kEntryFormat));
  serve.add_option("--snapshot-after", agreement.snapshot_threshold, "Log entries between two snapshots")
      ->check(CLI::Range(kMinSnapshotThreshold, kMaxSnapshotThreshold))
      ->capture_default_str();
}

void CommandLine::add_offline_commands() {
  new_cluster_command_ = app_.add_subcommand(
      "begin-again",
      "After the permanent loss of a majority: force a new cluster with the state of this folder");
  new_cluster_command_
      ->add_option("--log", new_cluster_.folder, "Folder of the instance with the highest epoch")
      ->required();
  new_cluster_command_
      ->add_option("--instances", new_cluster_.instances, "Members of the new cluster, as 1=127.0.0.1:7401")
      ->required();
  check_command_ = app_.add_subcommand("check", "Validate a fleet file");
  check_command_->add_option("file", checked_fleet_path_, "The fleet file")->required();
}

void CommandLine::add_member_commands() {
  const std::vector<std::pair<const char*, const char*>> commands = {
      {"let-in", "Add a member (ask the leader)"},
      {"let-out", "Remove a member (ask the leader)"},
      {"hand-on", "Transfer leadership to another member (ask the leader)"}};
  for (const auto& [name, description] : commands) {
    CLI::App* command = app_.add_subcommand(name, description);
    command->add_option("--admin", client_.admin, "Admin address of the leader")->capture_default_str();
    command->add_option("words", client_.operands, "Id of the member; for let-in also its address");
  }
}

void CommandLine::add_drain_commands() {
  const std::vector<std::pair<const char*, const char*>> commands = {
      {"drain", "Drain a server, a zone or the servers that use a service, within the disruption budgets"},
      {"undrain", "End a drain"}};
  for (const auto& [name, description] : commands) {
    CLI::App* command = app_.add_subcommand(name, description);
    command->add_option("--admin", client_.admin, "Admin address of any instance")->capture_default_str();
    command->add_option("name", client_.operands, "Server, zone or service")->required()->expected(1);
  }
}

void CommandLine::add_release_commands() {
  release_command_ = app_.add_subcommand("release", "Roll the fleet out to another version, wave by wave");
  release_command_->require_subcommand(1);
  release_start_ = release_command_->add_subcommand("start", "Start a release");
  release_start_->add_option("plan", plan_path_, "The plan's file")->required();
  release_check_ = release_command_->add_subcommand("check", "Validate a plan");
  release_check_->add_option("plan", plan_path_, "The plan's file")->required();
  CLI::App* status =
      release_command_->add_subcommand("status", "Show the release's progress and what it waits for");
  status->add_flag("--watch", client_.watch, "Refresh on the terminal until the release ends");
  status->add_flag("--json", client_.as_json, "Print JSON");
  add_row_options(*status, "release status");
  const std::vector<std::pair<const char*, const char*>> commands = {
      {"halt", "Stop taking servers out of rotation, effective immediately"},
      {"resume", "Resume after a halt"},
      {"back", "Roll back to the previous version, starting with the servers updated last"},
      {"end", "End a halted release without a rollback"}};
  for (const auto& [name, description] : commands) {
    release_command_->add_subcommand(name, description)
        ->add_option("reason", client_.operands, "Reason to log");
  }
  for (CLI::App* command : release_command_->get_subcommands({})) {
    if (command == release_check_) continue;
    command->add_option("--admin", client_.admin, "Admin address of any instance")->capture_default_str();
  }
}

void CommandLine::add_queries() {
  for (const char* topic : {"snapshot", "proxies", "nodes", "instances", "outings"}) {
    CLI::App* query = app_.add_subcommand(topic, "Query a running control service");
    query->add_option("--admin", client_.admin, "Admin address of the control service")
        ->capture_default_str();
    query->add_flag("--json", client_.as_json, "Print JSON");
    add_row_options(*query, topic);
  }
}

void CommandLine::add_row_options(CLI::App& query, const std::string& topic) {
  if (topic == "instances") return;
  query.add_option("--page", client_.rows.page, "Page of a long answer, counted from 1");
  if (topic == "release status") return;
  query.add_option("--name", client_.rows.name, "Only rows whose name begins with this");
  if (topic == "outings") return;
  query.add_option("--zone", client_.rows.zone, "Only rows of this zone");
  if (topic == "proxies") return;
  query.add_option("--state", client_.rows.state,
                   topic == "nodes" ? "Only servers in this state" : "Only servers with this health");
}

}  // namespace myrtlecroft::control
