// Derives the retry policy from the idempotency and the times of a request class.
#include "routing/retry_policy.h"

#include <algorithm>

namespace myrtlecroft::routing {
namespace {

constexpr Nanos kBackoffMin = 25 * kMs;
constexpr Nanos kBackoffMax = 250 * kMs;
// The backoff is at most the client timeout divided by these numbers.
constexpr Nanos kBackoffMinDivisor = 10;
constexpr Nanos kBackoffMaxDivisor = 4;

// Returns the time limit of one attempt, which is at least the latency objective: with a shorter limit,
// requests that are merely slow would be run several times. 0 if one attempt may take the whole client
// timeout.
Nanos per_attempt_timeout(const fleet::RequestClass& request_class, int retries) {
  if (retries == 0) return 0;
  Nanos even = request_class.client_timeout / (1 + retries);
  Nanos timeout = std::max(request_class.latency_objective, even);
  return timeout >= request_class.client_timeout ? 0 : timeout;
}

}  // namespace

RetryPolicy retry_policy_for(const fleet::RequestClass& request_class, const fleet::Bounds& bounds) {
  RetryPolicy policy;
  policy.on = {RetryOn::kNeverSent, RetryOn::kRejected};
  policy.retries = bounds.max_retries;
  policy.backoff_min = std::min(kBackoffMin, request_class.client_timeout / kBackoffMinDivisor);
  policy.backoff_max = std::min(kBackoffMax, request_class.client_timeout / kBackoffMaxDivisor);
  switch (request_class.idempotency) {
    case Idempotency::kNone:
      break;
    case Idempotency::kKeyed:
      policy.retries = std::min(1, bounds.max_retries);
      policy.same_node = true;
      break;
    case Idempotency::kIdempotent:
      policy.on.push_back(RetryOn::kReset);
      policy.on.push_back(RetryOn::kAttemptTimeout);
      policy.per_attempt_timeout = per_attempt_timeout(request_class, policy.retries);
      break;
  }
  return policy;
}

}  // namespace myrtlecroft::routing
