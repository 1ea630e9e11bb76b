#include "control/discovery_server.h"

#include <chrono>
#include <cstddef>

#include "control/listen_error.h"

namespace myrtlecroft::control {
namespace {

constexpr int kMaxRequestBytes = 1 << 20;
constexpr int kMaxStreams = 64;  // per connection
constexpr int kMaxThreads = 16;
// Keep-alive pings detect a proxy whose host has vanished without closing the connection.
constexpr int kKeepaliveMs = 10'000;
constexpr int kKeepaliveTimeoutMs = 5'000;
constexpr int kMinPingIntervalMs = 5'000;  // of a proxy's keep-alive pings
constexpr int kReadChunkBytes = 4096;
constexpr std::size_t kMaxMemoryBytes = std::size_t{512} << 20;
constexpr auto kShutdownGrace = std::chrono::milliseconds(500);

}  // namespace

DiscoveryServer::DiscoveryServer(const std::string& address, DiscoveryService& discovery,
                                 LoadReportingService& load_reporting) {
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port_);
  builder.RegisterService(&discovery.service());
  builder.RegisterService(&load_reporting);
  builder.SetMaxReceiveMessageSize(kMaxRequestBytes);
  builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, kMaxStreams);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  // Proxies send little, so reads need neither a large buffer nor a bandwidth estimate.
  builder.AddChannelArgument(GRPC_ARG_TCP_READ_CHUNK_SIZE, kReadChunkBytes);
  builder.AddChannelArgument(GRPC_ARG_TCP_MAX_READ_CHUNK_SIZE, kReadChunkBytes);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  grpc::ResourceQuota quota;
  quota.Resize(kMaxMemoryBytes);
  quota.SetMaxThreads(kMaxThreads);
  builder.SetResourceQuota(quota);
  server_ = builder.BuildAndStart();
  if (!server_ || port_ == 0) throw ListenError("proxies", address);
}

DiscoveryServer::~DiscoveryServer() { server_->Shutdown(std::chrono::system_clock::now() + kShutdownGrace); }

}  // namespace myrtlecroft::control
