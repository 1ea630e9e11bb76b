// The gRPC server that proxies connect to, with its resource limits. Owned by ControlService, which creates
// it after its first decision step. gRPC's own threads run the services.
#pragma once

#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <memory>
#include <string>

#include "control/discovery_service.h"
#include "control/load_reporting_service.h"

namespace myrtlecroft::control {

// Listens from construction to destruction.
class DiscoveryServer {
 public:
  // `address` is in gRPC's notation ("127.0.0.1:18000"). Both services must outlive this object. Throws
  // ListenError.
  DiscoveryServer(const std::string& address, DiscoveryService& discovery,
                  LoadReportingService& load_reporting);
  // Ends all streams. Calls still open after half a second are cancelled.
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  std::uint16_t port() const { return static_cast<std::uint16_t>(port_); }

 private:
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace myrtlecroft::control
