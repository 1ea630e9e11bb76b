// All proxies' streams, and the proxies that are gone but may still send by what they had. No I/O.
#pragma once

#include <functional>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>

#include "xds/session.h"

namespace myrtlecroft::xds {

using StreamId = std::uint64_t;

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

  StreamId open(ProtocolVariant variant, std::string peer);
  void close(StreamId stream, Nanos now);
  // From now on this set is what proxies get.
  void publish(std::shared_ptr<const ResourceSet> set);

  // Where several instances decide as one. Only proxies that all know of are served; and past `fresh_until` a
  // stream that was not served yet gets `closed`, a set without an open shard: meanwhile others may have
  // moved one.
  struct Gate {
    std::set<std::string> served;
    Nanos fresh_until = 0;
    std::shared_ptr<const ResourceSet> closed;
  };
  void gate(Gate gate, Nanos now);
  // The same proxies as in the last gate. True where a stream was offered something.
  bool extend_gate(Nanos fresh_until, std::shared_ptr<const ResourceSet> closed, Nanos now);
  // The server is named in the first request of a stream, and may be left out of the others.
  StreamError request(StreamId stream, const std::string& id, const std::string& zone, const Request& request,
                      Nanos now);
  std::optional<Response> next(StreamId stream);

  // Proxies that were there before a restart.
  void restore_proxies(const std::vector<std::string>& ids, Nanos now);
  // Those that must be remembered over one: there now, or gone not long ago.
  std::vector<std::string> known() const;
  // The publication that every proxy which may send has applied. A proxy that is gone may send by the last
  // set it had, until it comes back or has been gone for `forget_after`.
  std::uint64_t applied_by_all(Nanos forget_after, Nanos now);

  std::vector<ProxyView> view();
  std::size_t streams() const { return streams_.size(); }
  std::size_t gone() const { return gone_.size(); }

 private:
  struct Stream {
    Session session;
    std::string id;
    std::string zone;
    std::string peer;
    bool asked = false;    // it has said who it is, as far as it does: before that its subsets are not known
    bool counted = false;  // it has applied something since it came
    enum class Offered { kNothing, kClosed, kComplete } offered = Offered::kNothing;  // closed: no open shard
  };
  struct Gone {
    std::string id;
    std::uint64_t applied = 0;
    Nanos since = 0;
    StreamId last = 0;  // a stream that came later may be this proxy again
  };

  // In the order in which they went.
  using GoneList = std::list<Gone>;

  void offer(Stream& stream, Nanos now);
  bool offer_through_gate(Stream& stream, Nanos now);
  void name(Stream& stream, const std::string& id, const std::string& zone);
  void add_gone(Gone gone);
  GoneList::iterator erase_gone(GoneList::iterator one);
  // The first of this id that the stream may be again; gone_.end() where there is none.
  GoneList::iterator find_gone(const std::string& id, StreamId stream);

  std::map<StreamId, Stream> streams_;
  std::unordered_map<std::string, std::size_t> streams_of_;  // how many have this id
  GoneList gone_;
  std::multimap<std::string, GoneList::iterator> gone_by_id_;
  std::optional<Gate> gate_;
  std::shared_ptr<const ResourceSet> set_;
  StreamId last_ = 0;
  Log log_;
};

}  // namespace myrtlecroft::xds
