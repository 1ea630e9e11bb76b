// Runs that must not happen twice, written down in a store beside the loop (docs/design/store.md).
#pragma once

#include <memory>
#include <string>

#include "net/loop.h"
#include "service/service.h"
#include "settings/node_settings.h"

namespace myrtlecroft::recovery {

class DurableRuns : public service::IdempotencyLog {
 public:
  // What an earlier incarnation left is known to the service from here on, and it is told what becomes
  // durable.
  virtual void serve(service::Service& service) = 0;
  // The order that an earlier incarnation acted on, as it was kept; empty: none was.
  virtual std::string order() = 0;
  virtual void keep_order(const std::string& order) = 0;
};

// Null where the settings name no folder. Throws std::runtime_error for the operators.
std::unique_ptr<DurableRuns> open_durable_runs(const settings::StoreSettings& settings, net::Loop& loop,
                                               service::Logger& log);

}  // namespace myrtlecroft::recovery
