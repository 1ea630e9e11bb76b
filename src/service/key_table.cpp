#include "service/key_table.h"

namespace myrtlecroft::service {

KeyEntry* KeyTable::find(const RequestClass* request_class, const std::string& key) {
  auto place = entries_.find({request_class, key});
  return place == entries_.end() ? nullptr : &place->second;
}

bool KeyTable::taken(const RequestClass* request_class, const std::string& beginning) const {
  for (auto place = entries_.lower_bound({request_class, beginning}); place != entries_.end(); ++place) {
    if (place->first.first != request_class || !place->first.second.starts_with(beginning)) return false;
    if (place->second.proven) return true;
  }
  return false;
}

void KeyTable::keep(ServerRequest& request, Nanos expires) {
  KeyEntry& entry = entries_[{request.request_class, request.key}];
  by_end_.erase({entry.expires, &entry});
  bytes_ -= entry.result.size();
  entry = KeyEntry{.name = {request.request_class, request.key}, .holder = &request, .expires = expires};
  by_end_.emplace(expires, &entry);
  request.entry = &entry;
}

void KeyTable::end(KeyEntry& entry, bool good, std::string_view result, Nanos now) {
  entry.ended = now;
  entry.proven = true;
  entry.state = KeyEntry::State::kFailed;
  if (!good || bytes_ + result.size() > max_bytes_) return;
  entry.state = KeyEntry::State::kOk;
  entry.result = result;
  bytes_ += result.size();
}

void KeyTable::restore(const RequestClass* request_class, const std::string& key, bool good,
                       std::string_view result, Nanos now, Nanos expires) {
  KeyEntry& entry = entries_[{request_class, key}];
  by_end_.erase({entry.expires, &entry});
  bytes_ -= entry.result.size();
  entry = KeyEntry{.name = {request_class, key}, .expires = expires};
  by_end_.emplace(expires, &entry);
  end(entry, good, result, now);
}

void KeyTable::drop(KeyEntry& entry) {
  bytes_ -= entry.result.size();
  by_end_.erase({entry.expires, &entry});
  entries_.erase(entries_.find(entry.name));
}

void KeyTable::expire(Nanos now) {
  for (auto next = by_end_.begin(); next != by_end_.end() && next->first < now;) {
    KeyEntry& entry = *next->second;
    ++next;
    if (!entry.holder && entry.waiters.empty()) drop(entry);
  }
}

}  // namespace myrtlecroft::service
