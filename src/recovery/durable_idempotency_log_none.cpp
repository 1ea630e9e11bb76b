// Replaces durable_idempotency_log.cpp in builds without a store: no server has a durable idempotency log.
#include "recovery/durable_idempotency_log.h"

namespace myrtlecroft::recovery {

std::unique_ptr<DurableIdempotencyLog> open_durable_idempotency_log(const settings::StoreSettings&,
                                                                    net::Loop&, service::Logger&) {
  return nullptr;
}

}  // namespace myrtlecroft::recovery
