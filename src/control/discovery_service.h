// The xDS service for proxies: passes bytes between gRPC's streams and the session table, which decides what
// is sent. Owned by ControlService. Thread-safe: gRPC's threads run the streams, the loop's thread calls the
// public methods.
//
// A resource is in memory once; writes to proxies refer to its bytes. Each stream has at most one write in
// flight, so a proxy that does not read delays no other proxy and takes no additional memory.
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

// Serves one resource set at a time to all proxies.
class DiscoveryService {
 public:
  using LogFunction = std::function<void(const std::string&)>;
  // `log` is called on any thread, with one line.
  explicit DiscoveryService(LogFunction log);
  ~DiscoveryService();

  // Sends this set to all proxies from now on.
  void publish(std::shared_ptr<const xds::ResourceSet> set);
  // Limits which proxies are served and until when. Used when several replicas share the proxies.
  void gate(xds::SessionTable::Gate gate);
  // Extends the last gate for the same proxies until `fresh_until`.
  void extend_gate(Nanos fresh_until, std::shared_ptr<const xds::ResourceSet> closed);
  // Adds proxies that were served before a restart and may still route by the last set they received.
  void restore_known_proxies(const std::vector<std::string>& proxies);
  // The proxies to restore after a restart: those connected, or disconnected and not yet forgotten.
  std::vector<std::string> known_proxies() const;
  // The newest publication that every proxy has applied. A disconnected proxy may still route and counts for
  // `disconnected_expiry` after it disconnected.
  std::uint64_t applied_by_all(Nanos disconnected_expiry);
  // The status of each stream, for the admin interface and the proxy monitor.
  std::vector<xds::ProxyView> view();
  // Counts streams opened, streams ended and requests received. view() is unchanged while this number is.
  std::uint64_t changes() const;
  // How many proxies have disconnected and are not yet forgotten.
  std::size_t disconnected_count() const;

  // The service to register with grpc::ServerBuilder. Owned by this object.
  grpc::Service& service();

 private:
  class Stream;
  class Adapter;
  void write_to_all_streams();

  mutable std::mutex mutex_;
  xds::SessionTable session_table_;
  std::map<xds::StreamId, Stream*> streams_;
  std::uint64_t changes_ = 0;
  LogFunction log_;
  std::unique_ptr<Adapter> adapter_;
};

}  // namespace myrtlecroft::control
