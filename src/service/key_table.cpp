#include "service/key_table.h"

namespace myrtlecroft::service {

KeyEntry* KeyTable::find(const RequestClass* request_class, const std::string& key) {
  auto found = entries_.find({request_class, key});
  return found == entries_.end() ? nullptr : &found->second;
}

bool KeyTable::has_accepted_key(const RequestClass* request_class, const std::string& prefix) const {
  for (auto found = entries_.lower_bound({request_class, prefix}); found != entries_.end(); ++found) {
    if (found->first.first != request_class || !found->first.second.starts_with(prefix)) return false;
    if (found->second.accepted_by_engine) return true;
  }
  return false;
}

void KeyTable::retain(ServerRequest& request, Nanos expires) {
  KeyEntry& entry = entries_[{request.request_class, request.key}];
  by_expiry_.erase({entry.expires, &entry});
  result_bytes_ -= entry.result.size();
  entry = KeyEntry{
      .class_and_key = {request.request_class, request.key}, .original = &request, .expires = expires};
  by_expiry_.emplace(expires, &entry);
  request.entry = &entry;
}

void KeyTable::complete(KeyEntry& entry, bool completed, std::string_view result, Nanos now) {
  entry.completed_at = now;
  entry.accepted_by_engine = true;
  entry.state = KeyEntry::State::kFailed;
  if (!completed || result_bytes_ + result.size() > max_result_bytes_) return;
  entry.state = KeyEntry::State::kOk;
  entry.result = result;
  result_bytes_ += result.size();
}

void KeyTable::restore(const RequestClass* request_class, const std::string& key, bool completed,
                       std::string_view result, Nanos now, Nanos expires) {
  KeyEntry& entry = entries_[{request_class, key}];
  by_expiry_.erase({entry.expires, &entry});
  result_bytes_ -= entry.result.size();
  entry = KeyEntry{.class_and_key = {request_class, key}, .expires = expires};
  by_expiry_.emplace(expires, &entry);
  complete(entry, completed, result, now);
}

void KeyTable::erase(KeyEntry& entry) {
  result_bytes_ -= entry.result.size();
  by_expiry_.erase({entry.expires, &entry});
  entries_.erase(entries_.find(entry.class_and_key));
}

void KeyTable::expire(Nanos now) {
  for (auto next = by_expiry_.begin(); next != by_expiry_.end() && next->first < now;) {
    KeyEntry& entry = *next->second;
    ++next;
    if (!entry.original && entry.waiters.empty()) erase(entry);
  }
}

}  // namespace myrtlecroft::service
