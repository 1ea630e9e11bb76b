// The idempotency log on the durable store (docs/design/store.md): it prevents a keyed request from running
// twice when the server crashes and restarts. Created by the server's main and called on the loop's thread;
// it owns the store.
#pragma once

#include <memory>
#include <string>

#include "net/loop.h"
#include "service/service.h"
#include "settings/node_settings.h"

namespace myrtlecroft::recovery {

// An idempotency log that survives a crash, and that also stores the server's shard assignment. All functions
// run on the loop's thread.
class DurableIdempotencyLog : public service::IdempotencyLog {
 public:
  // Passes the keyed requests that an earlier incarnation stored to the service, which is notified of durable
  // intents from then on. Call once, before the service receives requests.
  virtual void attach(service::Service& service) = 0;
  // Returns the encoded shard assignment that an earlier incarnation saved, or an empty string if there is
  // none. Valid after attach().
  virtual std::string saved_assignment() = 0;
  // Stores the encoded shard assignment without waiting for the disk. Call after attach().
  virtual void save_assignment(const std::string& assignment) = 0;
};

// Opens the store in the folder of the settings; returns nullptr if they name no folder. Throws
// store::StoreError or store::DiskError if the folder can't be used.
std::unique_ptr<DurableIdempotencyLog> open_durable_idempotency_log(const settings::StoreSettings& settings,
                                                                    net::Loop& loop, service::Logger& log);

}  // namespace myrtlecroft::recovery
