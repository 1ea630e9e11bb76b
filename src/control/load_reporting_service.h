// The xDS load reporting service: sums the request counts that proxies report for each server until the
// loop's thread takes them. Owned by ControlService. Thread-safe.
#pragma once

#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "load_stats.grpc.pb.h"

namespace myrtlecroft::control {

// Counts of proxies' requests to one server or endpoint.
struct ProxyLoad {
  std::string node;     // the server's name if the locality has it, else empty
  std::string address;  // the endpoint's address if the server's name is unknown, else empty
  std::uint64_t issued = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

// Implements StreamLoadStats. Counts for more than 20,000 servers and endpoints at a time are dropped.
class LoadReportingService final
    : public envoy::service::load_stats::v3::LoadReportingService::CallbackService {
 public:
  grpc::ServerBidiReactor<envoy::service::load_stats::v3::LoadStatsRequest,
                          envoy::service::load_stats::v3::LoadStatsResponse>*
  StreamLoadStats(grpc::CallbackServerContext* context) override;

  // Returns and clears the counts since the last call, one entry per server or endpoint.
  std::vector<ProxyLoad> take_loads();

 private:
  class Stream;
  void add(const envoy::service::load_stats::v3::LoadStatsRequest& request);
  void add(const ProxyLoad& load);  // requires the mutex

  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, ProxyLoad> loads_;  // by node and address
};

}  // namespace myrtlecroft::control
