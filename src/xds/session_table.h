// The streams of all proxies, and the disconnected proxies that may still send requests by the last set
// they had. No I/O. Not thread-safe: the caller serialises all calls.
#pragma once

#include <functional>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>

#include "xds/session.h"

namespace myrtlecroft::xds {

using StreamId = std::uint64_t;

// The status of one stream, for the admin interface and the proxy monitor.
struct ProxyView {
  StreamId stream = 0;
  std::string id;
  std::string zone;
  std::string peer;
  ProtocolVariant variant = ProtocolVariant::kStateOfTheWorld;
  std::uint64_t applied = 0;
  std::uint64_t acks = 0;
  std::uint64_t nacks = 0;
  std::vector<RejectedResource> rejected_resources;
};

class SessionTable {
 public:
  using Log = std::function<void(const std::string&)>;
  explicit SessionTable(Log log) : log_(std::move(log)) {}

  // Adds a stream. `peer` is the proxy's network address.
  StreamId open(ProtocolVariant variant, std::string peer);
  // Removes a stream. Its proxy is remembered as disconnected if it may still send requests.
  void close(StreamId stream, Nanos now);
  // Makes this set the target of all streams but those that wait for the gate or for their first request.
  void publish(std::shared_ptr<const ResourceSet> set);

  // Limits what is served while several replicas share the control service. Only proxies that the replicated
  // state lists (`served`) get a set. After `fresh_until` (monotonic time) the replica may be out of
  // touch: a stream without a set then gets `closed`, which has no open shard, because the other replicas
  // may have moved shards meanwhile.
  struct Gate {
    std::set<std::string> served;
    Nanos fresh_until = 0;
    std::shared_ptr<const ResourceSet> closed;
  };
  void gate(Gate gate, Nanos now);
  // Extends the last gate for the same proxies. Returns true if a stream was given another set.
  bool extend_gate(Nanos fresh_until, std::shared_ptr<const ResourceSet> closed, Nanos now);
  // Processes a request. `id` and `zone` identify the proxy; they are required in the first request of a
  // stream only. Returns why the stream must be closed, or kNone.
  StreamError request(StreamId stream, const std::string& id, const std::string& zone, const Request& request,
                      Nanos now);
  // Returns the next response to write on a stream; nothing if there is none now, or the stream is closed.
  std::optional<Response> next(StreamId stream);

  // Adds the proxies that were known before a restart as disconnected proxies.
  void restore_proxies(const std::vector<std::string>& ids, Nanos now);
  // The proxies to store for restore_proxies(): those connected with a subscription to routes, and
  // those disconnected but not yet forgotten. Sorted.
  std::vector<std::string> known_proxies() const;
  // The number of the newest publication that every proxy which may send requests has applied. A
  // disconnected proxy may send by the last set it had until it reconnects, or has been disconnected for
  // `forget_after`.
  std::uint64_t applied_by_all(Nanos forget_after, Nanos now);

  std::vector<ProxyView> view();
  std::size_t streams() const { return streams_.size(); }
  std::size_t disconnected_count() const { return disconnected_.size(); }

 private:
  struct Stream {
    Session session;
    std::string id;
    std::string zone;
    std::string peer;
    // True from the first request, which identifies the proxy, if at all; its subsets are unknown before.
    bool received_request = false;
    bool has_applied = false;  // applied_by_all() has seen a set applied on this stream
    // kShardsClosed: the set without an open shard.
    enum class AssignedSet { kNone, kShardsClosed, kComplete } assigned_set = AssignedSet::kNone;
  };
  struct DisconnectedProxy {
    std::string id;
    std::uint64_t applied = 0;
    Nanos disconnected_at = 0;
    StreamId last_stream = 0;  // a stream with a higher id may be the same proxy, reconnected
  };

  // In the order of disconnection.
  using DisconnectedList = std::list<DisconnectedProxy>;

  void assign_set(Stream& stream, Nanos now);
  bool assign_gated_set(Stream& stream, Nanos now);
  void set_identity(Stream& stream, const std::string& id, const std::string& zone);
  void add_disconnected(DisconnectedProxy proxy);
  DisconnectedList::iterator erase_disconnected(DisconnectedList::iterator one);
  // Returns the first entry of this id that the stream may have superseded; disconnected_.end() if there is
  // none.
  DisconnectedList::iterator find_disconnected(const std::string& id, StreamId stream);

  std::map<StreamId, Stream> streams_;
  std::unordered_map<std::string, std::size_t> streams_per_id_;  // number of open streams by proxy id
  DisconnectedList disconnected_;
  std::multimap<std::string, DisconnectedList::iterator> disconnected_by_id_;
  std::optional<Gate> gate_;
  std::shared_ptr<const ResourceSet> set_;
  StreamId last_stream_id_ = 0;
  Log log_;
};

}  // namespace myrtlecroft::xds
