// The gRPC server that proxies connect to, with its bounds. Owned by Control, which makes it once there is
// something to serve. gRPC's own threads run the services.
#pragma once

#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <memory>
#include <string>

#include "control/discovery_service.h"
#include "control/load_reporting_service.h"

namespace myrtlecroft::control {

class DiscoveryServer {
 public:
  // `address` as gRPC has it ("127.0.0.1:18000"). Both services outlive this. Throws ListenError.
  DiscoveryServer(const std::string& address, DiscoveryService& discovery,
                  LoadReportingService& load_reporting);
  // Ends all streams; waits half a second at most for calls that go on.
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  std::uint16_t port() const { return static_cast<std::uint16_t>(port_); }

 private:
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace myrtlecroft::control
