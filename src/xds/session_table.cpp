#include "xds/session_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "routing/subsets.h"

namespace myrtlecroft::xds {
namespace {

// Limit on remembered proxies; above it the one that has been disconnected longest is forgotten.
constexpr std::size_t kMaxDisconnected = 100'000;
constexpr std::size_t kMaxIdLength = 256;

}  // namespace

StreamId SessionTable::open(ProtocolVariant variant, std::string peer) {
  streams_.emplace(++last_stream_id_,
                   Stream{.session = Session(variant), .id = "", .zone = "", .peer = std::move(peer)});
  return last_stream_id_;
}

void SessionTable::gate(Gate gate, Nanos now) {
  gate_ = std::move(gate);
  for (auto& [id, stream] : streams_) assign_gated_set(stream, now);
}

bool SessionTable::extend_gate(Nanos fresh_until, std::shared_ptr<const ResourceSet> closed, Nanos now) {
  if (!gate_) return false;
  gate_->fresh_until = fresh_until;
  gate_->closed = std::move(closed);
  bool any_assigned = false;
  for (auto& [id, stream] : streams_) any_assigned = assign_gated_set(stream, now) || any_assigned;
  return any_assigned;
}

// Replaces the closed set once the replica is in touch with a quorum again, even if no new set has been
// published since.
bool SessionTable::assign_gated_set(Stream& stream, Nanos now) {
  if (!gate_ || stream.assigned_set == Stream::AssignedSet::kComplete) return false;
  bool is_fresh = now <= gate_->fresh_until;
  if (!is_fresh && stream.assigned_set == Stream::AssignedSet::kShardsClosed) return false;
  if (!gate_->served.contains(stream.id)) return false;
  const auto& set = is_fresh ? set_ : gate_->closed;
  if (!set) return false;
  stream.session.set_target(set);
  stream.assigned_set = is_fresh ? Stream::AssignedSet::kComplete : Stream::AssignedSet::kShardsClosed;
  return true;
}

void SessionTable::assign_set(Stream& stream, Nanos now) {
  if (gate_) {
    assign_gated_set(stream, now);
    return;
  }
  if (!set_ || stream.assigned_set != Stream::AssignedSet::kNone) return;
  stream.session.set_target(set_);
  stream.assigned_set = Stream::AssignedSet::kComplete;
}

void SessionTable::add_disconnected(DisconnectedProxy proxy) {
  disconnected_.push_back(std::move(proxy));
  disconnected_by_id_.emplace(disconnected_.back().id, std::prev(disconnected_.end()));
}

SessionTable::DisconnectedList::iterator SessionTable::erase_disconnected(DisconnectedList::iterator one) {
  auto [first, last] = disconnected_by_id_.equal_range(one->id);
  disconnected_by_id_.erase(
      std::find_if(first, last, [&](const auto& entry) { return entry.second == one; }));
  return disconnected_.erase(one);
}

SessionTable::DisconnectedList::iterator SessionTable::find_disconnected(const std::string& id,
                                                                         StreamId stream) {
  auto [first, last] = disconnected_by_id_.equal_range(id);
  auto found =
      std::find_if(first, last, [&](const auto& entry) { return stream > entry.second->last_stream; });
  return found == last ? disconnected_.end() : found->second;
}

void SessionTable::close(StreamId id, Nanos now) {
  auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  auto previous = find_disconnected(stream.id, id);
  const std::uint64_t applied = stream.session.applied_publication();
  const bool was_disconnected = !stream.has_applied && previous != disconnected_.end();
  if (was_disconnected && applied == 0) {
    previous->disconnected_at = now;  // the proxy still uses what it had before this stream
  } else if (stream.session.subscribes_to_routes() && !stream.id.empty()) {
    // The proxy applied a set on this stream that applied_by_all() has not seen yet: the entry from before
    // the stream is obsolete.
    if (was_disconnected) erase_disconnected(previous);
    if (disconnected_.size() >= kMaxDisconnected) erase_disconnected(disconnected_.begin());
    add_disconnected({stream.id, applied, now, last_stream_id_});
  }
  if (auto same = streams_per_id_.find(stream.id); same != streams_per_id_.end() && --same->second == 0) {
    streams_per_id_.erase(same);
  }
  streams_.erase(found);
}

void SessionTable::publish(std::shared_ptr<const ResourceSet> set) {
  set_ = std::move(set);
  for (auto& [id, stream] : streams_) {
    // These streams get their first set from the gate, or with their first request.
    if (stream.assigned_set == Stream::AssignedSet::kNone && (gate_ || !stream.received_request)) continue;
    stream.session.set_target(set_);
    stream.assigned_set = Stream::AssignedSet::kComplete;
  }
}

void SessionTable::set_identity(Stream& stream, const std::string& id, const std::string& zone) {
  stream.id = id.substr(0, kMaxIdLength);
  stream.zone = zone.substr(0, kMaxIdLength);
  if (stream.assigned_set == Stream::AssignedSet::kNone) {
    stream.session.set_caller({routing::caller_key(stream.id, stream.zone)});
  }
  if (++streams_per_id_[stream.id] > 1) {
    log_("proxy " + stream.id + " has more than one stream: each is served independently");
  }
}

StreamError SessionTable::request(StreamId id, const std::string& node, const std::string& zone,
                                  const Request& request, Nanos now) {
  Stream& stream = streams_.at(id);
  if (stream.id.empty() && !node.empty()) set_identity(stream, node, zone);
  stream.received_request = true;
  assign_set(stream, now);
  std::uint64_t nacks_before = stream.session.nacks();
  StreamError error = stream.session.request(request, now);
  if (stream.session.nacks() > nacks_before) {
    log_("proxy " + stream.id + " rejected " + name_of(request.type) + ": " +
         request.error.value_or("").substr(0, 300));
  }
  return error;
}

std::optional<Response> SessionTable::next(StreamId id) {
  auto found = streams_.find(id);
  return found == streams_.end() ? std::nullopt : found->second.session.next();
}

void SessionTable::restore_proxies(const std::vector<std::string>& ids, Nanos now) {
  for (const std::string& id : ids) add_disconnected({id, 0, now, last_stream_id_});
}

std::vector<std::string> SessionTable::known_proxies() const {
  std::vector<std::string> out;
  for (const DisconnectedProxy& proxy : disconnected_) out.push_back(proxy.id);
  for (const auto& [id, stream] : streams_) {
    if (stream.session.subscribes_to_routes() && !stream.id.empty()) out.push_back(stream.id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::uint64_t SessionTable::applied_by_all(Nanos forget_after, Nanos now) {
  std::uint64_t min = set_ ? set_->number : 0;
  for (auto& [id, stream] : streams_) {
    if (!stream.session.subscribes_to_routes()) continue;
    std::uint64_t applied = stream.session.applied_publication();
    if (applied > 0 && !std::exchange(stream.has_applied, stream.has_applied || applied > 0)) {
      // A proxy that was listed as disconnected has applied a set on this stream: its entry is obsolete.
      auto same = find_disconnected(stream.id, id);
      if (same != disconnected_.end()) erase_disconnected(same);
    }
    min = std::min(min, applied);
  }
  for (auto one = disconnected_.begin(); one != disconnected_.end();) {
    if (now - one->disconnected_at < forget_after) {
      ++one;
      continue;
    }
    log_("proxy " + one->id + " has been disconnected for too long and is forgotten");
    one = erase_disconnected(one);
  }
  for (const DisconnectedProxy& one : disconnected_) min = std::min(min, one.applied);
  return min;
}

std::vector<ProxyView> SessionTable::view() {
  std::vector<ProxyView> out;
  for (auto& [id, stream] : streams_) {
    out.push_back({id, stream.id, stream.zone, stream.peer, stream.session.variant(),
                   stream.session.applied_publication(), stream.session.acks(), stream.session.nacks(),
                   stream.session.rejected_resources()});
  }
  return out;
}

}  // namespace myrtlecroft::xds
