// myrtlecroft-store, the operators' tool for a store's folder: inspects, verifies, compacts and dumps it.
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
constexpr int kDamaged = 1;  // also where the folder can't be used
constexpr int kUsage = 2;

// `compact` rewrites and merges more than a running store does.
constexpr StoreOptions kCompactAll{.dead_share = 0.1, .max_small_segments = 1};

struct Arguments {
  std::string folder;
  std::string hdf5;  // the file to write; empty: JSON to standard output
  bool as_json = false;
};

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch().count(); }

const char* const kCompactText = "segments %zu -> %zu, %zu keys\n";
const char* const kCompactJson = "{\"segments_before\":%zu,\"segments\":%zu,\"keys\":%zu}\n";

void compact(FileDisk& disk, bool as_json) {
  Store store(disk, kCompactAll, steady_now, static_cast<std::uint32_t>(steady_now()));
  RecoveryStats before = store.open();
  while (store.compact_slice()) store.commit();
  store.commit();
  std::printf(as_json ? kCompactJson : kCompactText, before.segments, store.segments(), store.size());
}

void dump(FileDisk& disk, const std::string& hdf5) {
  StoreInspector inspector(disk);
  if (hdf5.empty()) {
    inspector.for_each_live_record([](const Record& record, std::uint64_t) { print_record_as_json(record); });
    return;
  }
  Hdf5Export columns;
  inspector.for_each_live_record(
      [&](const Record& record, std::uint64_t segment) { columns.add(record, segment); });
  columns.write(hdf5);
  std::printf("%zu records to %s\n", columns.records(), hdf5.c_str());
}

// Whether the folder is damaged.
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
  add_command(app, arguments, "inspect", "List the segments and what is in them")
      ->add_flag("--json", arguments.as_json, "Print JSON");
  CLI::App* verify =
      add_command(app, arguments, "verify", "Read everything; exits with 1 where it is damaged");
  verify->add_flag("--json", arguments.as_json, "Print JSON");
  CLI::App* compacting =
      add_command(app, arguments, "compact", "Merge segments; no other process may have the store open");
  compacting->add_flag("--json", arguments.as_json, "Print JSON");
  CLI::App* dumping = add_command(app, arguments, "dump", "Print every live record, a JSON object a line");
  dumping->add_option("--hdf5", arguments.hdf5, "Write columns to this HDF5 file instead");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsage;
  }
  FileDisk disk(arguments.folder);
  if (compacting->parsed()) {
    compact(disk, arguments.as_json);
    return 0;
  }
  if (dumping->parsed()) {
    dump(disk, arguments.hdf5);
    return 0;
  }
  bool damaged = inspect(disk, arguments.as_json);
  return verify->parsed() && damaged ? kDamaged : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft-store: %s\n", error.what());
    return kDamaged;
  }
}
