// The idempotency log on the durable store (docs/design/store.md): a server's keyed requests don't run twice
// over its crash. Created by the server's main and called on the loop's thread; it owns the store.
#pragma once

#include <memory>
#include <string>

#include "net/loop.h"
#include "service/service.h"
#include "settings/node_settings.h"

namespace myrtlecroft::recovery {

class DurableIdempotencyLog : public service::IdempotencyLog {
 public:
  // Restores to the service what an earlier incarnation stored, and from then on notifies it of durable
  // intents. Call once, before the service receives requests.
  virtual void attach(service::Service& service) = 0;
  // The encoded shard assignment that an earlier incarnation saved; empty: there is none. Valid after
  // attach().
  virtual std::string saved_assignment() = 0;
  virtual void save_assignment(const std::string& assignment) = 0;
};

// Null where the settings name no folder. Throws store::StoreError or store::DiskError where the folder can't
// be used.
std::unique_ptr<DurableIdempotencyLog> open_durable_idempotency_log(const settings::StoreSettings& settings,
                                                                    net::Loop& loop, service::Logger& log);

}  // namespace myrtlecroft::recovery
