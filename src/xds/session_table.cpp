#include "xds/session_table.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::xds {
namespace {

constexpr std::size_t kMostGone =
    100'000;  // proxies remembered; with more, the one gone longest is forgotten
constexpr std::size_t kLongestId = 256;

}  // namespace

StreamId SessionTable::open(Form form, std::string peer) {
  Stream stream{.session = Session(form), .id = "", .zone = "", .peer = std::move(peer)};
  if (set_ && !gate_) {
    stream.session.offer(set_);
    stream.offered = Stream::Offered::kWhole;
  }
  streams_.emplace(++last_, std::move(stream));
  return last_;
}

void SessionTable::gate(Gate gate, Nanos now) {
  gate_ = std::move(gate);
  for (auto& [id, stream] : streams_) offer_through_gate(stream, now);
}

bool SessionTable::gate_stays(Nanos fresh_until, std::shared_ptr<const ResourceSet> closed, Nanos now) {
  if (!gate_) return false;
  gate_->fresh_until = fresh_until;
  gate_->closed = std::move(closed);
  bool offered = false;
  for (auto& [id, stream] : streams_) offered = offer_through_gate(stream, now) || offered;
  return offered;
}

// In touch again, though nothing new was published, what was closed for the moment is not left so.
bool SessionTable::offer_through_gate(Stream& stream, Nanos now) {
  if (!gate_ || stream.offered == Stream::Offered::kWhole) return false;
  bool fresh = now <= gate_->fresh_until;
  if (!fresh && stream.offered == Stream::Offered::kClosed) return false;
  if (!gate_->served.contains(stream.id)) return false;
  const auto& set = fresh ? set_ : gate_->closed;
  if (!set) return false;
  stream.session.offer(set);
  stream.offered = fresh ? Stream::Offered::kWhole : Stream::Offered::kClosed;
  return true;
}

void SessionTable::close(StreamId id, Nanos now) {
  auto found = streams_.find(id);
  if (found == streams_.end()) return;
  Stream& stream = found->second;
  auto before = std::find_if(gone_.begin(), gone_.end(),
                             [&](const Gone& one) { return one.id == stream.id && id > one.last; });
  if (!stream.counted && stream.session.applied() == 0 && before != gone_.end()) {
    before->since = now;  // it has still what it had before this stream
  } else if (stream.session.routes() && !stream.id.empty()) {
    if (gone_.size() >= kMostGone) gone_.erase(gone_.begin());
    gone_.push_back({stream.id, stream.session.applied(), now, last_});
  }
  streams_.erase(found);
}

void SessionTable::publish(std::shared_ptr<const ResourceSet> set) {
  set_ = std::move(set);
  for (auto& [id, stream] : streams_) {
    if (gate_ && stream.offered == Stream::Offered::kNothing) continue;  // its turn comes with the gate
    stream.session.offer(set_);
    stream.offered = Stream::Offered::kWhole;
  }
}

Fault SessionTable::request(StreamId id, const std::string& node, const std::string& zone,
                            const Request& request, Nanos now) {
  Stream& stream = streams_.at(id);
  if (stream.id.empty() && !node.empty()) {
    stream.id = node.substr(0, kLongestId);
    stream.zone = zone.substr(0, kLongestId);
    bool twice = std::any_of(streams_.begin(), streams_.end(), [&](const auto& other) {
      return other.first != id && other.second.id == stream.id;
    });
    if (twice) log_("proxy " + stream.id + " is here twice: each stream is served for itself");
  }
  offer_through_gate(stream, now);
  std::uint64_t refused = stream.session.nacks();
  Fault fault = stream.session.request(request, now);
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

void SessionTable::remember(const std::vector<std::string>& ids, Nanos now) {
  for (const std::string& id : ids) gone_.push_back({id, 0, now, last_});
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
  std::uint64_t least = set_ ? set_->number : 0;
  for (auto& [id, stream] : streams_) {
    if (!stream.session.routes()) continue;
    std::uint64_t applied = stream.session.applied();
    if (applied > 0 && !std::exchange(stream.counted, stream.counted || applied > 0)) {
      // It is one of those that were gone: what it had before, it has no more.
      auto same = std::find_if(gone_.begin(), gone_.end(),
                               [&](const Gone& one) { return one.id == stream.id && id > one.last; });
      if (same != gone_.end()) gone_.erase(same);
    }
    least = std::min(least, applied);
  }
  std::erase_if(gone_, [&](const Gone& one) {
    bool forgotten = now - one.since >= forget_after;
    if (forgotten) log_("proxy " + one.id + " has been gone for so long that it is forgotten");
    return forgotten;
  });
  for (const Gone& one : gone_) least = std::min(least, one.applied);
  return least;
}

std::vector<ProxyView> SessionTable::view() {
  std::vector<ProxyView> out;
  for (auto& [id, stream] : streams_) {
    out.push_back({id, stream.id, stream.zone, stream.peer, stream.session.form(), stream.session.applied(),
                   stream.session.acks(), stream.session.nacks(), stream.session.refusals()});
  }
  return out;
}

}  // namespace myrtlecroft::xds
