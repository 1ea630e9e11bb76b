// The program's subcommands and options. Used by main.cpp alone. Parses only; nothing is run or checked here
// beyond what the option parser checks.
#pragma once

#include <CLI/CLI.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "control/replicated_control.h"

namespace myrtlecroft::control {

// Of "serve". Addresses and lists of instances as they were given.
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

// Of "begin-again".
struct NewClusterArguments {
  std::string folder;
  std::string instances;
};

// Which rows of an answer.
struct RowOptions {
  std::string zone;
  std::string state;
  std::string name;
  std::size_t page = 1;

  // As the end of a query: " zone=a page=2".
  std::string text() const;
};

// Of the subcommands that call a running control service.
struct ClientArguments {
  std::string admin = "127.0.0.1:7301";
  std::vector<std::string> operands;  // after the command's name
  RowOptions rows;
  bool as_json = false;
  bool watch = false;
};

// Made once; parse() fills the arguments of the subcommand that was given.
class CommandLine {
 public:
  enum class Command { kServe, kNewCluster, kCheckFleet, kCheckPlan, kStartRelease, kWatchRelease, kCall };

  CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  // Throws CLI::ParseError, which print() writes out.
  void parse(int argc, char** argv) { app_.parse(argc, argv); }
  // Returns 0 where help was asked for.
  int print(const CLI::ParseError& error) const { return app_.exit(error); }

  Command command() const;
  // The subcommand's name, for a release with the second one: "release status".
  std::string name() const;
  const ServeArguments& serve() const { return serve_; }
  const NewClusterArguments& new_cluster() const { return new_cluster_; }
  const ClientArguments& client() const { return client_; }
  const std::string& checked_path() const { return checked_path_; }  // of a fleet file
  const std::string& plan_path() const { return plan_path_; }

 private:
  void add_serve();
  void add_agreement(CLI::App& serve);
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
  std::string checked_path_;
  std::string plan_path_;
  CLI::App* serve_command_ = nullptr;
  CLI::App* new_cluster_command_ = nullptr;
  CLI::App* check_command_ = nullptr;
  CLI::App* release_command_ = nullptr;
  CLI::App* release_start_ = nullptr;
  CLI::App* release_check_ = nullptr;
};

}  // namespace myrtlecroft::control
