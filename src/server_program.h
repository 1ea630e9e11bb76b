// One running server: owns the loop, the sockets' clients and servers and the service, and wires them up. One
// thread, the loop's.
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

// Where the server's files are. Both must outlive the program; null: none is named.
struct ServerPaths {
  const char* config = nullptr;
  const char* settings = nullptr;
};

class ServerProgram {
 public:
  // `version`: the one that whoever started the server says it is. Throws std::runtime_error where it can't
  // start.
  ServerProgram(const ServerPaths& paths, Launch launch, std::uint8_t version);

  // Serves until it has drained. Returns the exit code.
  int run();

 private:
  // Which idempotency keys are this server's, by the assignment with the highest epoch that it has received.
  struct KeyOwnership final : service::ShardOwnership {
    bool admits(std::string_view key) const override { return guard.admits(key); }
    fencing::FencingGuard guard;
  };

  static settings::NodeSettings prepare(const ServerPaths& paths, const Launch& launch);
  static service::Service::Options take_start(Launch& launch);

  void restore_assignment();
  void take_assignment(const fencing::ShardAssignment& assignment);
  void apply_reload(ReadAgain read);
  void begin_drain();

  const ServerPaths paths_;
  settings::NodeSettings settings_;
  Launch launch_;
  const std::size_t reserved_descriptors_;  // not for balancers' connections
  net::Loop loop_;
  net::Log log_;
  net::FastCgiServer front_;
  net::EngineClient engine_;
  net::DatabaseClient database_;
  net::MembershipClient membership_;
  std::unique_ptr<recovery::DurableIdempotencyLog> idempotency_log_;  // null: nothing is stored
  KeyOwnership keys_;
  service::Service service_;
  net::LoadReporter reporter_;
  int exit_code_ = 0;
  std::string end_ = "stopped";
  net::Timer stop_timer_;
  net::Timer terminated_;
  net::Timer interrupted_;
  Reload reload_;
  net::Timer reload_signal_;
};

}  // namespace myrtlecroft
