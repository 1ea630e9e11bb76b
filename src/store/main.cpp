// The store's tool: what is in a folder, whether it is whole, and what to take out of it.
#include <hdf5.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <memory>

#include "store/file_disk.h"
#include "store/store_inspector.h"

namespace {

using namespace myrtlecroft;
using namespace myrtlecroft::store;

constexpr int kDamaged = 1;
constexpr int kUsage = 2;

Nanos steady() { return std::chrono::steady_clock::now().time_since_epoch().count(); }

// As a JSON string: what is no printable ASCII as \u00XX, a byte each.
std::string json_text(std::string_view text) {
  std::string out = "\"";
  for (char each : text) {
    auto byte = static_cast<unsigned char>(each);
    if (byte == '"' || byte == '\\') {
      out += '\\';
      out += each;
    } else if (byte < 0x20 || byte >= 0x7f) {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", byte);
      out += code;
    } else {
      out += each;
    }
  }
  return out + '"';
}

void print(const StoreInspector& found, bool as_json) {
  if (as_json) {
    std::printf(
        "{\"manifest\":%s,\"damaged\":%s,\"keys\":%llu,\"bytes\":%llu,\"time_ns\":%lld,\"segments\":[",
        json_text(!found.manifest.there ? "none"
                  : found.manifest.good ? "good"
                                        : "damaged")
            .c_str(),
        found.damaged() ? "true" : "false", static_cast<unsigned long long>(found.keys),
        static_cast<unsigned long long>(found.bytes), static_cast<long long>(found.time));
  } else {
    std::printf("manifest %s, %llu keys, %llu bytes, store time %.3f s%s\n",
                !found.manifest.there ? "none"
                : found.manifest.good ? "good"
                                      : "DAMAGED",
                static_cast<unsigned long long>(found.keys), static_cast<unsigned long long>(found.bytes),
                static_cast<double>(found.time) / 1e9, found.damaged() ? ", DAMAGED" : "");
    std::printf("%-16s %7s %12s %10s %10s %8s %8s %5s  %s\n", "segment", "format", "bytes", "records",
                "current", "dropped", "skipped", "hint", "remark");
  }
  bool first = true;
  for (const SurveyedSegment& each : found.segments) {
    const char* remark = !each.named       ? "left by compaction"
                         : !each.head_good ? "head damaged"
                         : !each.tail_only ? "damaged amid records"
                         : each.skipped    ? "torn tail"
                                           : "";
    if (as_json) {
      std::printf(
          "%s{\"segment\":%llu,\"format\":%u,\"bytes\":%llu,\"records\":%llu,\"current\":%llu,\"dropped\":%"
          "llu,"
          "\"skipped\":%llu,\"hint\":%s,\"remark\":%s}",
          std::exchange(first, false) ? "" : ",", static_cast<unsigned long long>(each.number), each.version,
          static_cast<unsigned long long>(each.bytes), static_cast<unsigned long long>(each.records),
          static_cast<unsigned long long>(each.current), static_cast<unsigned long long>(each.dropped),
          static_cast<unsigned long long>(each.skipped), each.hint ? "true" : "false",
          json_text(remark).c_str());
    } else {
      std::printf("%-16s %7u %12llu %10llu %10llu %8llu %8llu %5s  %s\n", segment_name(each.number).c_str(),
                  each.version, static_cast<unsigned long long>(each.bytes),
                  static_cast<unsigned long long>(each.records),
                  static_cast<unsigned long long>(each.current),
                  static_cast<unsigned long long>(each.dropped),
                  static_cast<unsigned long long>(each.skipped), each.hint ? "yes" : "no", remark);
    }
  }
  if (as_json) std::printf("]}\n");
}

int compact(FileDisk& disk, bool as_json) {
  Store store(disk, {.dead_share = 0.1, .max_small = 1}, steady, static_cast<std::uint32_t>(steady()));
  RecoveryStats before = store.open();
  while (store.compact_slice()) store.commit();
  store.commit();
  std::printf(as_json ? "{\"segments_before\":%zu,\"segments\":%zu,\"keys\":%zu}\n"
                      : "segments %zu -> %zu, %zu keys\n",
              before.segments, store.segments(), store.size());
  return 0;
}

// One column each, in the order of the sequence.
struct Columns {
  std::vector<std::uint64_t> sequence, segment, value_bytes;
  std::vector<std::int64_t> at, window;
  std::vector<std::string> keys, values;
};

void write_columns(const std::string& path, const Columns& columns) {
  hid_t file = H5Fcreate(path.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, H5P_DEFAULT);
  if (file < 0) throw DiskError(path + ": can't be written", EIO);
  hsize_t count = columns.sequence.size();
  bool good = true;
  auto column = [&](const char* name, hid_t on_disk, hid_t in_memory, const void* data) {
    hid_t space = H5Screate_simple(1, &count, nullptr);
    hid_t set = H5Dcreate2(file, name, on_disk, space, H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    good = good && set >= 0 &&
           (count == 0 || H5Dwrite(set, in_memory, H5S_ALL, H5S_ALL, H5P_DEFAULT, data) >= 0);
    if (set >= 0) H5Dclose(set);
    H5Sclose(space);
  };
  column("sequence", H5T_STD_U64LE, H5T_NATIVE_UINT64, columns.sequence.data());
  column("segment", H5T_STD_U64LE, H5T_NATIVE_UINT64, columns.segment.data());
  column("at_ns", H5T_STD_I64LE, H5T_NATIVE_INT64, columns.at.data());
  column("window_ns", H5T_STD_I64LE, H5T_NATIVE_INT64, columns.window.data());
  column("value_bytes", H5T_STD_U64LE, H5T_NATIVE_UINT64, columns.value_bytes.data());
  hid_t bytes = H5Tvlen_create(H5T_NATIVE_UCHAR);
  auto of_bytes = [&](const char* name, const std::vector<std::string>& texts) {
    std::vector<hvl_t> cells;
    cells.reserve(texts.size());
    for (const std::string& text : texts) cells.push_back({text.size(), const_cast<char*>(text.data())});
    column(name, bytes, bytes, cells.data());
  };
  of_bytes("key", columns.keys);
  of_bytes("value", columns.values);
  H5Tclose(bytes);
  good = H5Fclose(file) >= 0 && good;
  if (!good) throw DiskError(path + ": not all of it was written", EIO);
}

int dump(FileDisk& disk, const std::string& hdf5) {
  Columns columns;
  for_each_current_record(disk, [&](const Record& record, std::uint64_t segment) {
    if (hdf5.empty()) {
      std::printf("{\"sequence\":%llu,\"at_ns\":%lld,\"window_ns\":%lld,\"key\":%s,\"value\":%s}\n",
                  static_cast<unsigned long long>(record.sequence), static_cast<long long>(record.at),
                  static_cast<long long>(record.window), json_text(record.key).c_str(),
                  json_text(record.value).c_str());
      return;
    }
    columns.sequence.push_back(record.sequence);
    columns.segment.push_back(segment);
    columns.at.push_back(record.at);
    columns.window.push_back(record.window);
    columns.value_bytes.push_back(record.value.size());
    columns.keys.push_back(record.key);
    columns.values.push_back(record.value);
  });
  if (!hdf5.empty()) {
    write_columns(hdf5, columns);
    std::printf("%zu records to %s\n", columns.sequence.size(), hdf5.c_str());
  }
  return 0;
}

int run(int argc, char** argv) {
  CLI::App app("Looks into a store's folder");
  app.require_subcommand(1);
  std::string folder;
  std::string hdf5;
  bool as_json = false;
  auto command = [&](const char* name, const char* what) {
    CLI::App* made = app.add_subcommand(name, what);
    made->add_option("folder", folder, "The store's folder")->required()->check(CLI::ExistingDirectory);
    return made;
  };
  CLI::App* inspecting = command("inspect", "Segments and what is in them");
  inspecting->add_flag("--json", as_json, "Print JSON");
  CLI::App* verifying = command("verify", "Read all over; ends with 1 where something is damaged");
  verifying->add_flag("--json", as_json, "Print JSON");
  CLI::App* compacting = command("compact", "Merge segments; no other process may have the store open");
  compacting->add_flag("--json", as_json, "Print JSON");
  CLI::App* dumping = command("dump", "Every record that counts, a JSON object on each line");
  dumping->add_option("--hdf5", hdf5, "Write columns to this HDF5 file instead");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kUsage;
  }
  FileDisk disk(folder);
  if (compacting->parsed()) return compact(disk, as_json);
  if (dumping->parsed()) return dump(disk, hdf5);
  StoreInspector found = survey(disk);
  print(found, as_json);
  return verifying->parsed() && found.damaged() ? kDamaged : 0;
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
