// Decides which failed requests proxies may retry, based on the idempotency of their request class.
//
// Called by snapshot_builder.cpp. A pure function; any thread.
#pragma once

#include "fleet/fleet.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// kNone: only requests that are proven never to have run are retried. kKeyed: the same, and only at the
// server that owns the key; a broken connection is no reason for a retry, because the server may have died
// and lost the key, and its next incarnation would run the request again. kIdempotent: requests are retried
// after any failure, within the fleet's retry budget and the client's timeout.
RetryPolicy retry_policy_for(const fleet::RequestClass& request_class, const fleet::Bounds& bounds);

}  // namespace myrtlecroft::routing
