#include "store/record_index.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::store {

void RecordIndex::apply(const std::string& key, const RecordLocation& location) {
  auto [position, inserted] = entries_.try_emplace(key);
  Entry& entry = position->second;
  if (!inserted) {
    if (entry.location.sequence > location.sequence) return;
    detach(entry);
  }
  entry = {.location = location};
  segments_.at(location.segment).live_bytes += location.bytes;
  if (location.window > 0) {
    entry.expiry =
        expiries_.emplace_hint(expiries_.end(), location.written_at + location.window, &position->first);
  }
}

void RecordIndex::detach(const Entry& entry) {
  segments_.at(entry.location.segment).live_bytes -= entry.location.bytes;
  if (entry.location.window > 0) expiries_.erase(entry.expiry);
}

void RecordIndex::remove_expired(Nanos now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    auto position = entries_.find(*expiries_.begin()->second);
    detach(position->second);
    entries_.erase(position);
  }
}

const RecordLocation* RecordIndex::find(const std::string& key) const {
  auto position = entries_.find(key);
  return position == entries_.end() ? nullptr : &position->second.location;
}

bool RecordIndex::contains(const std::string& key, Nanos now) const {
  const RecordLocation* location = find(key);
  if (!location || location->kind == RecordKind::kErased) return false;
  return location->window <= 0 || location->written_at + location->window > now;
}

bool RecordIndex::is_current(const std::string& key, std::uint64_t segment, std::uint64_t offset) const {
  const RecordLocation* location = find(key);
  return location && location->segment == segment && location->offset == offset;
}

std::vector<const std::string*> RecordIndex::keys_in_disk_order(Nanos now) const {
  std::map<std::pair<std::uint64_t, std::uint64_t>, const std::string*> by_position;
  for (const auto& [key, entry] : entries_) {
    if (contains(key, now)) by_position[{entry.location.segment, entry.location.offset}] = &key;
  }
  std::vector<const std::string*> keys;
  keys.reserve(by_position.size());
  for (const auto& [position, key] : by_position) keys.push_back(key);
  return keys;
}

RecordIndex::Latest RecordIndex::latest() const {
  Latest latest;
  for (const auto& [key, entry] : entries_) {
    latest.sequence = std::max(latest.sequence, entry.location.sequence);
    latest.written_at = std::max(latest.written_at, entry.location.written_at);
  }
  return latest;
}

}  // namespace myrtlecroft::store
