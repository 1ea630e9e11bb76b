// The requests by key, with their results: attempts of one keyed request, or reads that may share an answer.
// Owned by Service, on the loop's thread.
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
  ServerRequest* original = nullptr;  // the attempt that runs or is queued; null once it is done
  State state = State::kOpen;
  std::string result{};
  bool proven = false;  // the engine has accepted the request
  Nanos completed_at = 0;
  Nanos expires = 0;
  std::vector<ServerRequest*> waiters{};  // retries that wait for its result
};

class KeyTable {
 public:
  // `max_result_bytes` bounds all results together. One that does not fit is not retained: its retries fail,
  // and still nothing runs twice.
  explicit KeyTable(std::size_t max_result_bytes) : max_bytes_(max_result_bytes) {}

  // Null: none.
  KeyEntry* find(const RequestClass* request_class, const std::string& key);
  // Whether there is a proven entry whose key begins with `prefix`.
  bool has_proven_key(const RequestClass* request_class, const std::string& prefix) const;
  // Makes the request the original of its key, until `expires` at least.
  void retain(ServerRequest& request, Nanos expires);
  // The original has ended; `completed`: with this result.
  void complete(KeyEntry& entry, bool completed, std::string_view result, Nanos now);
  void erase(KeyEntry& entry);
  // Adds the entry of an earlier incarnation's request; not `completed`: it may have run.
  void restore(const RequestClass* request_class, const std::string& key, bool completed,
               std::string_view result, Nanos now, Nanos expires);
  // Erases entries that have expired and have neither an original nor waiters.
  void expire(Nanos now);

 private:
  std::map<std::pair<const RequestClass*, std::string>, KeyEntry> entries_;
  std::set<std::pair<Nanos, KeyEntry*>> by_expiry_;
  std::size_t bytes_ = 0;
  std::size_t max_bytes_;
};

}  // namespace myrtlecroft::service
