// One running server: owns and connects the loop, the network clients and servers, and the service.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "fencing/fencing_guard.h"
#include "launch.h"
#include "net/database_client.h"
#include "net/engine_client.h"
#include "net/fastcgi_server.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/membership_client.h"
#include "net/reporter.h"
#include "recovery/durable_idempotency_log.h"
#include "reload.h"
#include "settings/node_settings.h"

namespace myrtlecroft {

// Paths of the server's files. The strings must outlive the program; null if no file is given.
struct ServerPaths {
  const char* config = nullptr;
  const char* settings = nullptr;
};

// Used on one thread, which runs the loop.
class ServerProgram {
 public:
  // `version` is the program's version as given by the supervisor, for load reports. Throws
  // std::runtime_error if the server can't start.
  ServerProgram(const ServerPaths& paths, LaunchConfig launch, std::uint8_t version);

  // Serves until the server has drained or its stop deadline has passed. Returns the exit code: 0, or 100 + V
  // to be started again in version V.
  int run();

 private:
  // Decides which idempotency keys this server owns, by the shard assignment with the highest epoch that it
  // has received.
  struct KeyOwnership final : service::ShardOwnership {
    bool admits(std::string_view key) const override { return guard.admits(key); }
    fencing::FencingGuard guard;
  };

  static settings::NodeSettings read_settings_and_reserve_descriptors(const ServerPaths& paths,
                                                                      const LaunchConfig& launch);
  static service::Service::Options extract_start(LaunchConfig& launch);

  void restore_assignment();
  void apply_assignment(const fencing::ShardAssignment& assignment);
  void apply_reload(ReloadResult result);
  void begin_drain();

  const ServerPaths paths_;
  settings::NodeSettings settings_;
  LaunchConfig launch_;
  const std::size_t reserved_descriptors_;  // not available to balancers' connections
  net::Loop loop_;
  net::Log log_;
  net::FastCgiServer fastcgi_server_;
  net::EngineClient engine_;
  net::DatabaseClient database_;
  net::MembershipClient membership_;
  std::unique_ptr<recovery::DurableIdempotencyLog> idempotency_log_;  // null if no store is configured
  KeyOwnership key_ownership_;
  service::Service service_;
  net::LoadReporter reporter_;
  int exit_code_ = 0;
  std::string end_message_ = "stopped";
  net::Timer stop_timer_;
  net::Timer sigterm_;
  net::Timer sigint_;
  FileReloader reloader_;
  net::Timer sighup_;
};

}  // namespace myrtlecroft
