#include "xds/session_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "routing/subsets.h"

namespace myrtlecroft::xds {
namespace {

constexpr std::size_t kMaxGone = 100'000;  // proxies remembered; with more, the one gone longest is forgotten
constexpr std::size_t kLongestId = 256;

}  // namespace

StreamId SessionTable::open(ProtocolVariant variant, std::string peer) {
  streams_.emplace(++last_,
                   Stream{.session = Session(variant), .id = "", .zone = "", .peer = std::move(peer)});
  return last_;
}

void SessionTable::gate(Gate gate, Nanos now) {
  gate_ = std::move(gate);
  for (auto& [id, stream] : streams_) offer_through_gate(stream, now);
}

bool SessionTable::extend_gate(Nanos fresh_until, std::shared_ptr<const ResourceSet> closed, Nanos now) {
  if (!gate_) return false;
  gate_->fresh_until = fresh_until;
  gate_->closed = std::move(closed);
  bool offered = false;
  for (auto& [id, stream] : streams_) offered = offer_through_gate(stream, now) || offered;
  return offered;
}

// In touch again, though nothing new was published, what was closed for the moment is not left so.
bool SessionTable::offer_through_gate(Stream& stream, Nanos now) {
  if (!gate_ || stream.offered == Stream::Offered::kComplete) return false;
  bool fresh = now <= gate_->fresh_until;
  if (!fresh && stream.offered == Stream::Offered::kClosed) return false;
  if (!gate_->served.contains(stream.id)) return false;
  const auto& set = fresh ? set_ : gate_->closed;
  if (!set) return false;
  stream.session.offer(set);
  stream.offered = fresh ? Stream::Offered::kComplete : Stream::Offered::kClosed;
  return true;
}

void SessionTable::offer(Stream& stream, Nanos now) {
  if (gate_) {
    offer_through_gate(stream, now);
    return;
  }
  if (!set_ || stream.offered != Stream::Offered::kNothing) return;
  stream.session.offer(set_);
  stream.offered = Stream::Offered::kComplete;
}

void SessionTable::add_gone(Gone gone) {
  gone_.push_back(std::move(gone));
  gone_by_id_.emplace(gone_.back().id, std::prev(gone_.end()));
}

SessionTable::GoneList::iterator SessionTable::erase_gone(GoneList::iterator one) {
  auto [first, last] = gone_by_id_.equal_range(one->id);
  gone_by_id_.erase(std::find_if(first, last, [&](const auto& entry) { return entry.second == one; }));
  return gone_.erase(one);
}

SessionTable::GoneList::iterator SessionTable::find_gone(const std::string& id, StreamId stream) {
  auto [first, last] = gone_by_id_.equal_range(id);
  auto found = std::find_if(first, last, [&](const auto& entry) { return stream > entry.second->last; });
  return found == last ? gone_.end() : found->second;
}

void SessionTable::close(StreamId id, Nanos now) {
  auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  auto before = find_gone(stream.id, id);
  const std::uint64_t applied = stream.session.applied();
  const bool was_gone = !stream.counted && before != gone_.end();
  if (was_gone && applied == 0) {
    before->since = now;  // it has still what it had before this stream
  } else if (stream.session.routes() && !stream.id.empty()) {
    // Nobody has looked since it came: what it had before this stream, it has no more.
    if (was_gone) erase_gone(before);
    if (gone_.size() >= kMaxGone) erase_gone(gone_.begin());
    add_gone({stream.id, applied, now, last_});
  }
  if (auto same = streams_of_.find(stream.id); same != streams_of_.end() && --same->second == 0) {
    streams_of_.erase(same);
  }
  streams_.erase(found);
}

void SessionTable::publish(std::shared_ptr<const ResourceSet> set) {
  set_ = std::move(set);
  for (auto& [id, stream] : streams_) {
    // Its turn comes with the gate, or once it has asked.
    if (stream.offered == Stream::Offered::kNothing && (gate_ || !stream.asked)) continue;
    stream.session.offer(set_);
    stream.offered = Stream::Offered::kComplete;
  }
}

void SessionTable::name(Stream& stream, const std::string& id, const std::string& zone) {
  stream.id = id.substr(0, kLongestId);
  stream.zone = zone.substr(0, kLongestId);
  if (stream.offered == Stream::Offered::kNothing) {
    stream.session.set_caller({routing::caller_key(stream.id, stream.zone)});
  }
  if (++streams_of_[stream.id] > 1) {
    log_("proxy " + stream.id + " is here twice: each stream is served for itself");
  }
}

StreamError SessionTable::request(StreamId id, const std::string& node, const std::string& zone,
                                  const Request& request, Nanos now) {
  Stream& stream = streams_.at(id);
  if (stream.id.empty() && !node.empty()) name(stream, node, zone);
  stream.asked = true;
  offer(stream, now);
  std::uint64_t refused = stream.session.nacks();
  StreamError fault = stream.session.request(request, now);
  if (stream.session.nacks() > refused) {
    log_("proxy " + stream.id + " refuses " + name_of(request.type) + ": " +
         request.error.value_or("").substr(0, 300));
  }
  return fault;
}

std::optional<Response> SessionTable::next(StreamId id) {
  auto found = streams_.find(id);
  return found == streams_.end() ? std::nullopt : found->second.session.next();
}

void SessionTable::restore_proxies(const std::vector<std::string>& ids, Nanos now) {
  for (const std::string& id : ids) add_gone({id, 0, now, last_});
}

std::vector<std::string> SessionTable::known() const {
  std::vector<std::string> out;
  for (const Gone& gone : gone_) out.push_back(gone.id);
  for (const auto& [id, stream] : streams_) {
    if (stream.session.routes() && !stream.id.empty()) out.push_back(stream.id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::uint64_t SessionTable::applied_by_all(Nanos forget_after, Nanos now) {
  std::uint64_t min = set_ ? set_->number : 0;
  for (auto& [id, stream] : streams_) {
    if (!stream.session.routes()) continue;
    std::uint64_t applied = stream.session.applied();
    if (applied > 0 && !std::exchange(stream.counted, stream.counted || applied > 0)) {
      // It is one of those that were gone: what it had before, it has no more.
      auto same = find_gone(stream.id, id);
      if (same != gone_.end()) erase_gone(same);
    }
    min = std::min(min, applied);
  }
  for (auto one = gone_.begin(); one != gone_.end();) {
    if (now - one->since < forget_after) {
      ++one;
      continue;
    }
    log_("proxy " + one->id + " has been gone for so long that it is forgotten");
    one = erase_gone(one);
  }
  for (const Gone& one : gone_) min = std::min(min, one.applied);
  return min;
}

std::vector<ProxyView> SessionTable::view() {
  std::vector<ProxyView> out;
  for (auto& [id, stream] : streams_) {
    out.push_back({id, stream.id, stream.zone, stream.peer, stream.session.variant(),
                   stream.session.applied(), stream.session.acks(), stream.session.nacks(),
                   stream.session.rejected_resources()});
  }
  return out;
}

}  // namespace myrtlecroft::xds
