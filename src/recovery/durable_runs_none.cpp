// For builds without a store.
#include "recovery/durable_runs.h"

namespace myrtlecroft::recovery {

std::unique_ptr<DurableRuns> open_durable_runs(const settings::StoreSettings&, net::Loop&, service::Logger&) {
  return nullptr;
}

}  // namespace myrtlecroft::recovery
