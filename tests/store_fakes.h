// A disk in memory for tests: a crash loses what was not synced, in any order and in part, and any operation
// can be made to fail.
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

// Thrown where the process is to end. Only tests catch it.
struct Crashed {};

class FakeDisk final : public Disk {
 public:
  static constexpr std::size_t kBlock = 64;  // what is written or lost together
  struct Content {
    std::string synced;
    std::string now;
  };
  using Names = std::map<std::string, std::shared_ptr<Content>>;

  // Of the operations that change the disk, the one with this number (from 1) fails, or ends the process.
  int fail_at = 0;
  int crash_at = 0;
  int fail_code = EIO;
  bool failing = false;  // every operation fails
  std::size_t space = SIZE_MAX;
  int done = 0;
  std::function<void()> in_sync = [] {};

  bool try_lock() override { return !std::exchange(locked, true); }
  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (const auto& [name, content] : names) out.push_back(name);
    return out;
  }
  std::unique_ptr<File> create(const std::string& name) override {
    step();
    auto content = std::make_shared<Content>();
    change([name, content](Names& all) { all[name] = content; });
    return std::make_unique<Growing>(*this, content);
  }
  std::uint64_t size(const std::string& name) override { return at(name).now.size(); }
  std::string read(const std::string& name, std::uint64_t offset, std::size_t max) override {
    const std::string& all = at(name).now;
    return offset >= all.size() ? "" : all.substr(static_cast<std::size_t>(offset), max);
  }
  void rename(const std::string& from, const std::string& to) override {
    step();
    at(from);
    change([from, to](Names& all) {
      auto place = all.find(from);
      if (place == all.end()) return;  // its creation was lost
      all[to] = place->second;
      all.erase(from);
    });
  }
  void remove(const std::string& name) override {
    step();
    change([name](Names& all) { all.erase(name); });
  }
  void sync_folder() override {
    step();
    synced_names = names;
    changes.clear();
  }

  // What a crash leaves: some of the changes of the folder in their order, of each file what was synced and
  // any blocks of the rest. `survives` says of each in turn whether it is left.
  std::unique_ptr<FakeDisk> after_crash(const std::function<bool()>& survives) const {
    auto out = std::make_unique<FakeDisk>();
    Names names_left = synced_names;
    for (const auto& each : changes) {
      if (!survives()) break;
      each(names_left);
    }
    for (const auto& [name, content] : names_left) {
      auto copy = std::make_shared<Content>();
      std::string& bytes = copy->now = content->synced;
      for (std::size_t at = bytes.size(); at < content->now.size();) {
        std::size_t size = std::min(kBlock - at % kBlock, content->now.size() - at);
        if (survives()) {
          bytes.resize(at, '\0');  // a lost block before a surviving one is a hole
          bytes += content->now.substr(at, size);
        }
        at += size;
      }
      copy->synced = bytes;
      out->names[name] = copy;
    }
    out->synced_names = out->names;
    return out;
  }
  // What the next process finds where nothing is lost.
  std::unique_ptr<FakeDisk> after_end() const {
    return after_crash([] { return true; });
  }
  std::string& bytes(const std::string& name) { return at(name).now; }

  Names names;

 private:
  class Growing final : public File {
   public:
    Growing(FakeDisk& disk, std::shared_ptr<Content> content) : disk_(disk), content_(std::move(content)) {}
    void append(std::string_view bytes) override {
      std::size_t fits = std::min(bytes.size(), disk_.space);
      try {
        disk_.step();
      } catch (const DiskError&) {
        content_->now += bytes.substr(0, fits / 2);
        throw;
      } catch (const Crashed&) {
        content_->now += bytes.substr(0, fits / 2);
        throw;
      }
      content_->now += bytes.substr(0, fits);
      if (disk_.space != SIZE_MAX) disk_.space -= fits;
      if (fits < bytes.size()) throw DiskError("no space", ENOSPC);
    }
    // After a failed sync the bytes count as written, as on real systems: another sync would succeed.
    void sync() override {
      disk_.in_sync();
      try {
        disk_.step();
      } catch (const DiskError&) {
        lost_ = true;
        throw;
      }
      if (!lost_) content_->synced = content_->now;
    }

   private:
    FakeDisk& disk_;
    std::shared_ptr<Content> content_;
    bool lost_ = false;
  };

  void step() {
    ++done;
    if (done == crash_at) throw Crashed();
    if (failing || done == fail_at) throw DiskError("fault injected by the test", fail_code);
  }
  void change(std::function<void(Names&)> how) {
    how(names);
    changes.push_back(std::move(how));
  }
  Content& at(const std::string& name) {
    auto place = names.find(name);
    if (place == names.end()) throw DiskError(name + ": no such file", ENOENT);
    return *place->second;
  }

  Names synced_names;
  std::vector<std::function<void(Names&)>> changes;
  bool locked = false;
};

}  // namespace myrtlecroft::store
