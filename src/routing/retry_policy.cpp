#include "routing/retry_policy.h"

#include <algorithm>

namespace myrtlecroft::routing {
namespace {

constexpr Nanos kMinWait = 25 * kMs;
constexpr Nanos kMaxWait = 250 * kMs;

}  // namespace

RetryPolicy retry_policy_for(const fleet::RequestClass& request_class, const fleet::Bounds& bounds) {
  RetryPolicy rule;
  rule.retries = bounds.max_retries;
  rule.backoff_min = std::min(kMinWait, request_class.client_timeout / 10);
  rule.backoff_max = std::min(kMaxWait, request_class.client_timeout / 4);
  switch (request_class.idempotency) {
    case Idempotency::kNone:
      rule.on = {RetryOn::kNeverSent, RetryOn::kRejected};
      break;
    case Idempotency::kKeyed:
      rule.on = {RetryOn::kNeverSent, RetryOn::kRejected};
      rule.retries = std::min(1, bounds.max_retries);
      rule.same_node = true;
      break;
    case Idempotency::kIdempotent:
      rule.on = {RetryOn::kNeverSent, RetryOn::kRejected, RetryOn::kReset, RetryOn::kLate};
      // A try gets its latency objective at least: cut shorter, work that is merely slow would be done
      // several times.
      if (rule.retries > 0)
        rule.per_attempt_timeout =
            std::max(request_class.latency_objective, request_class.client_timeout / (1 + rule.retries));
      if (rule.per_attempt_timeout >= request_class.client_timeout) rule.per_attempt_timeout = 0;
      break;
  }
  return rule;
}

}  // namespace myrtlecroft::routing
