// The xDS load reporting service: collects what proxies count of their requests to each server until the
// loop's thread takes it. Owned by Control. May be used from any thread.
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

// Requests of proxies to one server or endpoint.
struct ProxyLoad {
  std::string node;     // the server, where the locality names it; else empty
  std::string address;  // the endpoint, where the server is not named; else empty
  std::uint64_t issued = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

class LoadReportingService final
    : public envoy::service::load_stats::v3::LoadReportingService::CallbackService {
 public:
  grpc::ServerBidiReactor<envoy::service::load_stats::v3::LoadStatsRequest,
                          envoy::service::load_stats::v3::LoadStatsResponse>*
  StreamLoadStats(grpc::CallbackServerContext* context) override;

  // What was reported since the last call, one entry for each server or endpoint.
  std::vector<ProxyLoad> take();

 private:
  class Stream;
  void add(const envoy::service::load_stats::v3::LoadStatsRequest& request);
  void add(const ProxyLoad& load);  // with the mutex locked

  std::mutex mutex_;
  std::map<std::pair<std::string, std::string>, ProxyLoad> loads_;  // by node and address
};

}  // namespace myrtlecroft::control
