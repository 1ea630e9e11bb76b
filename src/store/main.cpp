// myrtlecroft-store, a command-line tool for operators: inspects, verifies, compacts and dumps a store's
// folder.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <exception>

#include "store/file_disk.h"
#include "store/hdf5_export.h"
#include "store/inspection_output.h"
#include "store/store.h"
#include "store/store_inspector.h"

namespace {

using namespace myrtlecroft;
using namespace myrtlecroft::store;

// Exit codes.
constexpr int kExitDamaged = 1;  // the store is damaged, or the folder can't be used
constexpr int kExitUsageError = 2;

// The `compact` command rewrites and merges more segments than a running store does.
constexpr StoreOptions kCompactionOptions{.dead_share = 0.1, .max_small_segments = 1};

struct Arguments {
  std::string folder;
  std::string hdf5;  // path of the HDF5 file to write; empty: print JSON to standard output
  bool as_json = false;
};

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch().count(); }

const char* const kCompactText = "segments %zu -> %zu, %zu keys\n";
const char* const kCompactJson = "{\"segments_before\":%zu,\"segments\":%zu,\"keys\":%zu}\n";

// Compacts the store until no segment is left to compact, then prints a summary.
void compact(FileDisk& disk, bool as_json) {
  Store store(disk, kCompactionOptions, steady_now, static_cast<std::uint32_t>(steady_now()));
  RecoveryStats before = store.open();
  while (store.compact_slice()) store.commit();
  store.commit();
  std::printf(as_json ? kCompactJson : kCompactText, before.segments, store.segments(), store.size());
}

// Prints the live records as JSON, or exports them if an HDF5 path is given.
void dump(FileDisk& disk, const std::string& hdf5) {
  StoreInspector inspector(disk);
  if (hdf5.empty()) {
    inspector.for_each_live_record([](const Record& record, std::uint64_t) { print_record_as_json(record); });
    return;
  }
  Hdf5Export hdf5_export;
  inspector.for_each_live_record(
      [&](const Record& record, std::uint64_t segment) { hdf5_export.add(record, segment); });
  hdf5_export.write(hdf5);
  std::printf("%zu records to %s\n", hdf5_export.records(), hdf5.c_str());
}

// Prints an inspection of the store. Returns whether the store is damaged.
bool inspect(FileDisk& disk, bool as_json) {
  const StoreInspector inspector(disk);
  if (as_json) {
    print_inspection_as_json(inspector.inspection());
  } else {
    print_inspection_as_text(inspector.inspection());
  }
  return inspector.inspection().damaged();
}

CLI::App* add_command(CLI::App& app, Arguments& arguments, const char* name, const char* description) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("folder", arguments.folder, "The store's folder")
      ->required()
      ->check(CLI::ExistingDirectory);
  return command;
}

int run(int argc, char** argv) {
  CLI::App app("Inspects and compacts a store's folder");
  app.require_subcommand(1);
  Arguments arguments;
  add_command(app, arguments, "inspect", "List the segments and count their records")
      ->add_flag("--json", arguments.as_json, "Print JSON");
  CLI::App* verify_command =
      add_command(app, arguments, "verify", "Check every record; exits with 1 if the store is damaged");
  verify_command->add_flag("--json", arguments.as_json, "Print JSON");
  CLI::App* compact_command =
      add_command(app, arguments, "compact", "Merge segments; no other process may have the store open");
  compact_command->add_flag("--json", arguments.as_json, "Print JSON");
  CLI::App* dump_command =
      add_command(app, arguments, "dump", "Print every live record, one JSON object per line");
  dump_command->add_option("--hdf5", arguments.hdf5, "Write columns to this HDF5 file instead");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsageError;
  }
  FileDisk disk(arguments.folder);
  if (compact_command->parsed()) {
    compact(disk, arguments.as_json);
    return 0;
  }
  if (dump_command->parsed()) {
    dump(disk, arguments.hdf5);
    return 0;
  }
  bool damaged = inspect(disk, arguments.as_json);
  return verify_command->parsed() && damaged ? kExitDamaged : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft-store: %s\n", error.what());
    return kExitDamaged;
  }
}
