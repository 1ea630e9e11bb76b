// The program's subcommands and options. Used only by main.cpp. Arguments are parsed, but not validated
// beyond what the option parser checks.
#pragma once

#include <CLI/CLI.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "control/replicated_control.h"

namespace myrtlecroft::control {

// Arguments of "serve". Addresses and lists of instances are not parsed yet.
struct ServeArguments {
  std::string fleet_path;
  std::string state_folder;
  std::string discovery = "127.0.0.1:18000";
  std::string reports = "127.0.0.1:7300";
  std::string admin = "127.0.0.1:7301";
  bool first_start = false;
  std::string bootstrap;
  std::string address_overrides;
  AgreementOptions agreement;
};

// Arguments of "begin-again".
struct NewClusterArguments {
  std::string folder;
  std::string instances;
};

// The rows of an answer that are requested. An empty filter matches every row.
struct RowOptions {
  std::string zone;
  std::string state;
  std::string name;
  std::size_t page = 1;  // counted from 1

  // The options as they end a query line: " zone=a page=2".
  std::string query_suffix() const;
};

// Arguments of the subcommands that call a running control service.
struct ClientArguments {
  std::string admin = "127.0.0.1:7301";
  std::vector<std::string> operands;  // the words after the command's name
  RowOptions rows;
  bool as_json = false;
  bool watch = false;
};

// Defines all subcommands. parse() fills in the arguments of the one on the command line.
class CommandLine {
 public:
  enum class Command { kServe, kNewCluster, kCheckFleet, kCheckPlan, kStartRelease, kWatchRelease, kCall };

  CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  // Throws CLI::ParseError, which print_error() prints.
  void parse(int argc, char** argv) { app_.parse(argc, argv); }
  // Prints the error or the requested help. Returns 0 for help, else the parser's exit code.
  int print_error(const CLI::ParseError& error) const { return app_.exit(error); }

  // The subcommand on the command line. Valid after parse().
  Command command() const;
  // Its name, including the nested subcommand of "release", as in "release status".
  std::string name() const;
  const ServeArguments& serve() const { return serve_; }
  const NewClusterArguments& new_cluster() const { return new_cluster_; }
  const ClientArguments& client() const { return client_; }
  const std::string& checked_fleet_path() const { return checked_fleet_path_; }  // of "check"
  const std::string& plan_path() const { return plan_path_; }  // of "release start" and "release check"

 private:
  void add_serve_command();
  void add_replication_options(CLI::App& serve);
  void add_offline_commands();
  void add_member_commands();
  void add_drain_commands();
  void add_release_commands();
  void add_queries();
  void add_row_options(CLI::App& query, const std::string& topic);

  CLI::App app_;
  ServeArguments serve_;
  NewClusterArguments new_cluster_;
  ClientArguments client_;
  std::string checked_fleet_path_;
  std::string plan_path_;
  CLI::App* serve_command_ = nullptr;
  CLI::App* new_cluster_command_ = nullptr;
  CLI::App* check_command_ = nullptr;
  CLI::App* release_command_ = nullptr;
  CLI::App* release_start_ = nullptr;
  CLI::App* release_check_ = nullptr;
};

}  // namespace myrtlecroft::control
