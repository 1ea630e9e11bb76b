#include "service/key_table.h"

namespace myrtlecroft::service {

KeyEntry* KeyTable::find(const RequestClass* request_class, const std::string& key) {
  auto place = entries_.find({request_class, key});
  return place == entries_.end() ? nullptr : &place->second;
}

bool KeyTable::has_proven_key(const RequestClass* request_class, const std::string& prefix) const {
  for (auto place = entries_.lower_bound({request_class, prefix}); place != entries_.end(); ++place) {
    if (place->first.first != request_class || !place->first.second.starts_with(prefix)) return false;
    if (place->second.proven) return true;
  }
  return false;
}

void KeyTable::retain(ServerRequest& request, Nanos expires) {
  KeyEntry& entry = entries_[{request.request_class, request.key}];
  by_expiry_.erase({entry.expires, &entry});
  bytes_ -= entry.result.size();
  entry = KeyEntry{.name = {request.request_class, request.key}, .original = &request, .expires = expires};
  by_expiry_.emplace(expires, &entry);
  request.entry = &entry;
}

void KeyTable::complete(KeyEntry& entry, bool completed, std::string_view result, Nanos now) {
  entry.completed_at = now;
  entry.proven = true;
  entry.state = KeyEntry::State::kFailed;
  if (!completed || bytes_ + result.size() > max_bytes_) return;
  entry.state = KeyEntry::State::kOk;
  entry.result = result;
  bytes_ += result.size();
}

void KeyTable::restore(const RequestClass* request_class, const std::string& key, bool completed,
                       std::string_view result, Nanos now, Nanos expires) {
  KeyEntry& entry = entries_[{request_class, key}];
  by_expiry_.erase({entry.expires, &entry});
  bytes_ -= entry.result.size();
  entry = KeyEntry{.name = {request_class, key}, .expires = expires};
  by_expiry_.emplace(expires, &entry);
  complete(entry, completed, result, now);
}

void KeyTable::erase(KeyEntry& entry) {
  bytes_ -= entry.result.size();
  by_expiry_.erase({entry.expires, &entry});
  entries_.erase(entries_.find(entry.name));
}

void KeyTable::expire(Nanos now) {
  for (auto next = by_expiry_.begin(); next != by_expiry_.end() && next->first < now;) {
    KeyEntry& entry = *next->second;
    ++next;
    if (!entry.original && entry.waiters.empty()) erase(entry);
  }
}

}  // namespace myrtlecroft::service
