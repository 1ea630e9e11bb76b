// The xDS service for proxies: passes bytes between gRPC's streams and the session table, and decides
// nothing. Owned by Control. May be used from any thread: gRPC's threads call the streams, the loop's thread
// the rest.
//
// A resource is in memory once: what is written to a proxy refers to it. Each stream has at most one write in
// flight, so that a proxy that does not read delays nobody and costs no further memory.
#pragma once

#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "discovery.grpc.pb.h"
#include "xds/session_table.h"

namespace myrtlecroft::control {

class DiscoveryService {
 public:
  using Log = std::function<void(const std::string&)>;
  explicit DiscoveryService(Log log);
  ~DiscoveryService();

  // From now on proxies are sent this set.
  void publish(std::shared_ptr<const xds::ResourceSet> set);
  // Which proxies are served, where several replicas agree on it.
  void gate(xds::SessionTable::Gate gate);
  // The same proxies as in the last gate().
  void extend_gate(Nanos fresh_until, std::shared_ptr<const xds::ResourceSet> closed);
  // Proxies that were served before a restart, and may still route by what they had.
  void restore_known(const std::vector<std::string>& proxies);
  // Those that must be restored after a restart: connected, or disconnected not long ago.
  std::vector<std::string> known_proxies() const;
  // The publication that every proxy which may still route has applied; one that disconnected counts for
  // `forget_after`.
  std::uint64_t applied_by_all(Nanos forget_after);
  std::vector<xds::ProxyView> view();
  // Grows with each stream that opens or ends and each request: while it is the same, so is view().
  std::uint64_t changes() const;
  // How many proxies have disconnected and are not forgotten.
  std::size_t disconnected() const;

  // For grpc::ServerBuilder. Owned by this.
  grpc::Service& service();

 private:
  class Stream;
  class Adapter;
  void write_to_all();

  mutable std::mutex mutex_;
  xds::SessionTable table_;
  std::map<xds::StreamId, Stream*> streams_;
  std::uint64_t changes_ = 0;
  Log log_;
  std::unique_ptr<Adapter> adapter_;
};

}  // namespace myrtlecroft::control
