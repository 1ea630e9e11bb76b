// An in-memory Disk for tests. A simulated crash loses any subset of the unsynced data, and any operation can
// be made to fail.
#pragma once

#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "store/disk.h"

namespace myrtlecroft::store {

// Thrown by FakeDisk to simulate the end of the process. Only tests catch it.
struct Crashed {};

class FakeDisk final : public Disk {
 public:
  static constexpr std::size_t kBlockBytes = 64;  // unit in which a crash loses unsynced data
  // The bytes of a file: those that survive every crash, and all that were written.
  struct Content {
    std::string synced;
    std::string written;
  };
  using Names = std::map<std::string, std::shared_ptr<Content>>;

  // Operations that change the disk are numbered from 1. The one with the number `fail_at_operation` throws
  // DiskError, the one with the number `crash_at_operation` throws Crashed. 0: none.
  int fail_at_operation = 0;
  int crash_at_operation = 0;
  int error_code = EIO;
  bool every_operation_fails = false;  // every operation that changes the disk throws DiskError
  std::size_t free_bytes = SIZE_MAX;   // SIZE_MAX: unlimited
  int operation_count = 0;             // operations so far that change the disk
  // Called at the start of every File::sync(), on the calling thread.
  std::function<void()> on_sync = [] {};

  bool try_lock() override { return !std::exchange(is_locked, true); }
  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (const auto& [name, content] : names) out.push_back(name);
    return out;
  }
  std::unique_ptr<File> create(const std::string& name) override {
    count_operation();
    auto content = std::make_shared<Content>();
    apply_change([name, content](Names& all) { all[name] = content; });
    return std::make_unique<FakeFile>(*this, content);
  }
  std::uint64_t size(const std::string& name) override { return at(name).written.size(); }
  std::string read(const std::string& name, std::uint64_t offset, std::size_t max) override {
    const std::string& all = at(name).written;
    return offset >= all.size() ? "" : all.substr(static_cast<std::size_t>(offset), max);
  }
  void rename(const std::string& from, const std::string& to) override {
    count_operation();
    at(from);
    apply_change([from, to](Names& all) {
      auto entry = all.find(from);
      if (entry == all.end()) return;  // the crash lost the file's creation
      all[to] = entry->second;
      all.erase(from);
    });
  }
  void remove(const std::string& name) override {
    count_operation();
    apply_change([name](Names& all) { all.erase(name); });
  }
  void sync_folder() override {
    count_operation();
    synced_names = names;
    unsynced_changes.clear();
  }

  // Returns the disk as a crash leaves it: the first of the unsynced folder changes, in order, and of each
  // file the synced bytes and any of the unsynced blocks. `survives` is called for each change, until the
  // first that is lost, and for each block, and returns whether it survives.
  std::unique_ptr<FakeDisk> after_crash(const std::function<bool()>& survives) const {
    auto out = std::make_unique<FakeDisk>();
    Names surviving_names = synced_names;
    for (const auto& unsynced_change : unsynced_changes) {
      if (!survives()) break;
      unsynced_change(surviving_names);
    }
    for (const auto& [name, content] : surviving_names) {
      auto copy = std::make_shared<Content>();
      std::string& bytes = copy->written = content->synced;
      for (std::size_t at = bytes.size(); at < content->written.size();) {
        std::size_t size = std::min(kBlockBytes - at % kBlockBytes, content->written.size() - at);
        if (survives()) {
          bytes.resize(at, '\0');  // a lost block before a surviving one reads as zeros
          bytes += content->written.substr(at, size);
        }
        at += size;
      }
      copy->synced = bytes;
      out->names[name] = copy;
    }
    out->synced_names = out->names;
    return out;
  }
  // Returns the disk after the process ended without losing unsynced data.
  std::unique_ptr<FakeDisk> after_clean_exit() const {
    return after_crash([] { return true; });
  }
  std::string& bytes(const std::string& name) { return at(name).written; }

  Names names;

 private:
  class FakeFile final : public File {
   public:
    FakeFile(FakeDisk& disk, std::shared_ptr<Content> content) : disk_(disk), content_(std::move(content)) {}
    void append(std::string_view bytes) override {
      std::size_t fitting_bytes = std::min(bytes.size(), disk_.free_bytes);
      try {
        disk_.count_operation();
      } catch (const DiskError&) {
        content_->written += bytes.substr(0, fitting_bytes / 2);
        throw;
      } catch (const Crashed&) {
        content_->written += bytes.substr(0, fitting_bytes / 2);
        throw;
      }
      content_->written += bytes.substr(0, fitting_bytes);
      if (disk_.free_bytes != SIZE_MAX) disk_.free_bytes -= fitting_bytes;
      if (fitting_bytes < bytes.size()) throw DiskError("no space", ENOSPC);
    }
    // After a failed sync, reads still return the unsynced bytes and a later sync succeeds, as on real
    // systems, but no byte appended since the last successful sync becomes durable any more.
    void sync() override {
      disk_.on_sync();
      try {
        disk_.count_operation();
      } catch (const DiskError&) {
        sync_failed_ = true;
        throw;
      }
      if (!sync_failed_) content_->synced = content_->written;
    }

   private:
    FakeDisk& disk_;
    std::shared_ptr<Content> content_;
    bool sync_failed_ = false;
  };

  void count_operation() {
    ++operation_count;
    if (operation_count == crash_at_operation) throw Crashed();
    if (every_operation_fails || operation_count == fail_at_operation)
      throw DiskError("fault injected by the test", error_code);
  }
  void apply_change(std::function<void(Names&)> name_change) {
    name_change(names);
    unsynced_changes.push_back(std::move(name_change));
  }
  Content& at(const std::string& name) {
    auto entry = names.find(name);
    if (entry == names.end()) throw DiskError(name + ": no such file", ENOENT);
    return *entry->second;
  }

  Names synced_names;
  std::vector<std::function<void(Names&)>> unsynced_changes;
  bool is_locked = false;
};

}  // namespace myrtlecroft::store
