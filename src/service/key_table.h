// A table of requests and their results by key. Attempts of one keyed request share a key, and so do reads
// that may share an answer. Owned by Service, on the loop's thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "service/server_request.h"

namespace myrtlecroft::service {

// One key, with the state and the result of the request that owns it.
struct KeyEntry {
  enum class State { kOpen, kOk, kFailed };

  std::pair<const RequestClass*, std::string> class_and_key;
  ServerRequest* original = nullptr;  // the attempt that is queued or runs; null once it is done
  State state = State::kOpen;
  std::string result{};
  bool accepted_by_engine = false;  // the engine has accepted the request as one that it knows
  Nanos completed_at = 0;
  Nanos expires = 0;  // retained until then, and longer while there is an original or a waiter
  std::vector<ServerRequest*> waiters{};  // retries that wait for its result
};

// Entries stay at their addresses until they are erased.
class KeyTable {
 public:
  // `max_result_bytes` limits the size of all results together. A result that does not fit is not retained:
  // retries of its request fail, but nothing runs twice.
  explicit KeyTable(std::size_t max_result_bytes) : max_result_bytes_(max_result_bytes) {}

  // Returns null if there is no entry.
  KeyEntry* find(const RequestClass* request_class, const std::string& key);
  // Whether the engine has accepted a request whose key begins with `prefix`.
  bool has_accepted_key(const RequestClass* request_class, const std::string& prefix) const;
  // Makes the request the original of its key, for which the entry is retained until `expires` at least.
  void retain(ServerRequest& request, Nanos expires);
  // Records the end of the original. `completed`: with this result; otherwise it failed.
  void complete(KeyEntry& entry, bool completed, std::string_view result, Nanos now);
  void erase(KeyEntry& entry);
  // Adds the entry of a request of an earlier incarnation. If it is not `completed`, it may have run.
  void restore(const RequestClass* request_class, const std::string& key, bool completed,
               std::string_view result, Nanos now, Nanos expires);
  // Erases the expired entries that have neither an original nor waiters.
  void expire(Nanos now);

 private:
  std::map<std::pair<const RequestClass*, std::string>, KeyEntry> entries_;
  std::set<std::pair<Nanos, KeyEntry*>> by_expiry_;
  std::size_t result_bytes_ = 0;
  std::size_t max_result_bytes_;
};

}  // namespace myrtlecroft::service
