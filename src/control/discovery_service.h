// The gRPC side of discovery: bytes to sessions and back. Nothing is decided here.
//
// A resource is in memory once: what is written to a proxy refers to it. For each stream at most one write is
// out, so that a proxy that does not read holds up nobody and costs nothing more.
#pragma once

#include <grpcpp/grpcpp.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "discovery.grpc.pb.h"
#include "load_stats.grpc.pb.h"
#include "routing/server_registry.h"
#include "xds/session_table.h"

namespace myrtlecroft::control {

// May be used from any thread.
class DiscoveryService {
 public:
  using Log = std::function<void(const std::string&)>;
  explicit DiscoveryService(Log log);
  ~DiscoveryService();

  void publish(std::shared_ptr<const xds::ResourceSet> set);
  void gate(xds::SessionTable::Gate gate);
  // The same proxies as in the last gate.
  void gate_stays(Nanos fresh_until, std::shared_ptr<const xds::ResourceSet> closed);
  void remember(const std::vector<std::string>& proxies);
  std::vector<std::string> known() const;
  std::uint64_t applied_by_all(Nanos forget_after);
  std::vector<xds::ProxyView> view();
  // Grows with each stream that opens or ends and each request: where it is the same, so is what view() says.
  std::uint64_t changes() const;
  std::size_t gone() const;

  grpc::Service& service();

 private:
  class Stream;
  class Adapter;

  mutable std::mutex mutex_;
  xds::SessionTable table_;
  std::map<xds::StreamId, Stream*> streams_;
  std::uint64_t changes_ = 0;
  Log log_;
  std::unique_ptr<Adapter> adapter_;
};

// Load reports: what proxies say of servers, collected until it is asked for.
class LoadService final : public envoy::service::load_stats::v3::LoadReportingService::CallbackService {
 public:
  grpc::ServerBidiReactor<envoy::service::load_stats::v3::LoadStatsRequest,
                          envoy::service::load_stats::v3::LoadStatsResponse>*
  StreamLoadStats(grpc::CallbackServerContext* context) override;

  struct Told {
    std::string node;     // where the locality names it
    std::string address;  // where the endpoint is named
    std::uint64_t issued = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
  };
  std::vector<Told> take();

 private:
  class Stream;
  void add(const envoy::service::load_stats::v3::LoadStatsRequest& request);

  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, Told> told_;
};

}  // namespace myrtlecroft::control
