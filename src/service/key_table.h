// What was kept by key: tries of one deduplicated request, or reads that may share an answer, with results.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "service/server_request.h"

namespace myrtlecroft::service {

struct KeyEntry {
  enum class State { kOpen, kOk, kFailed };

  std::pair<const RequestClass*, std::string> name;
  ServerRequest* holder = nullptr;  // the try that runs or waits to; null once that is over
  State state = State::kOpen;
  std::string result{};
  bool proven = false;  // the engine knows what it stands for
  Nanos ended = 0;
  Nanos expires = 0;
  std::vector<ServerRequest*> waiters{};  // repeats that want its result
};

class KeyTable {
 public:
  // Results take at most this many bytes together. One that does not fit is not kept: its repeats then get an
  // error that promises nothing, and still nothing runs twice.
  explicit KeyTable(std::size_t result_bytes) : max_bytes_(result_bytes) {}

  KeyEntry* find(const RequestClass* request_class, const std::string& key);
  // Whether another request, one that is proven, goes by a key that begins so.
  bool taken(const RequestClass* request_class, const std::string& beginning) const;
  void keep(ServerRequest& request, Nanos expires);
  void end(KeyEntry& entry, bool good, std::string_view result, Nanos now);
  void drop(KeyEntry& entry);
  // Known from an earlier incarnation of this server. Not `good`: it may have run.
  void restore(const RequestClass* request_class, const std::string& key, bool good, std::string_view result,
               Nanos now, Nanos expires);
  // Drops what has expired and has neither holder nor waiters.
  void expire(Nanos now);

 private:
  std::map<std::pair<const RequestClass*, std::string>, KeyEntry> entries_;
  std::set<std::pair<Nanos, KeyEntry*>> by_end_;
  std::size_t bytes_ = 0;
  std::size_t max_bytes_;
};

}  // namespace myrtlecroft::service
