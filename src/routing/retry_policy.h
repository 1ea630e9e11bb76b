// What proxies may try again of an request that did not end well, by how its group may repeat.
#pragma once

#include "fleet/fleet.h"
#include "routing/snapshot.h"

namespace myrtlecroft::routing {

// Mutating: only what is proven never to have run. Deduplicated: the same, and only at the server that owns
// the key. A broken connection is no reason to try there again either: the server may have died with the key,
// and another incarnation of it would run the request anew. Repeatable: whatever went wrong, within the
// fleet's budget and the caller's wait.
RetryPolicy retry_policy_for(const fleet::RequestClass& request_class, const fleet::Bounds& bounds);

}  // namespace myrtlecroft::routing
