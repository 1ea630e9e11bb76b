// Which failed requests proxies may retry, by the idempotency of their request class.
//
// Called by snapshot_builder.cpp. A pure function; any thread.
#pragma once

#include "fleet/fleet.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// kNone: only what is proven never to have run. kKeyed: the same, and only at the server that owns the key. A
// broken connection is no reason to retry there either: the server may have died with the key, and another
// incarnation of it would run the request again. kIdempotent: after any failure, within the fleet's retry
// budget and the client's timeout.
RetryPolicy retry_policy_for(const fleet::RequestClass& request_class, const fleet::Bounds& bounds);

}  // namespace myrtlecroft::routing
