// The part of Service that handles keyed requests and shared answers: the request that a key belongs to, the
// idempotency log, and the retries that wait for the result of another request.
#include <algorithm>
#include <utility>

#include "service/service.h"

namespace myrtlecroft::service {
namespace {

// FNV-1a. The hash must be the same in every build, since keys outlive this process.
std::uint64_t body_hash(std::string_view bytes) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = kOffsetBasis;
  for (char byte : bytes) hash = (hash ^ static_cast<std::uint8_t>(byte)) * kPrime;
  return hash;
}

}  // namespace

// Whether the shard of the key is assigned to another server. This happens if the request was routed by an
// outdated endpoint list, or arrived before this incarnation's shard assignment. The request does not run on
// this server, but it may have run at the shard owner or in an earlier incarnation. So it fails with a
// Retry-After; a rejection would say that it never ran. The cost: without a control service, a server that
// has just started runs no keyed requests.
bool Service::is_owned_elsewhere(const ServerRequest& request) const {
  return ports_.ownership && request.request_class->idempotency == Idempotency::kKeyed && !request.is_retry &&
         !ports_.ownership->admits(request.key);
}

FinalAnswer Service::owned_elsewhere_answer() const {
  return {.kind = Answer::kFailed, .retry_after = options_.config.max_retry_after};
}

// Before the engine is up nothing can run, so new requests are rejected. A request that an earlier
// incarnation ran, or may have run, is not rejected, since a rejection would say that it never ran.
FinalAnswer Service::answer_without_engine(ServerRequest& request) {
  if (request.request_class->idempotency != Idempotency::kKeyed) return {.kind = Answer::kRejected};
  if (!qualify_key(request)) return {.unrecognized = true};
  KeyEntry* entry = keys_.find(request.request_class, request.key);
  if (!entry)
    return is_owned_elsewhere(request) ? owned_elsewhere_answer() : FinalAnswer{.kind = Answer::kRejected};
  bool completed = entry->state == KeyEntry::State::kOk;
  return {.kind = completed ? Answer::kCompleted : Answer::kFailed, .result = entry->result};
}

// All attempts of a keyed request have the same key and body. A hash of the body is appended to the key, so
// that a request with the same key and another body neither gets the result nor changes it. Returns false if
// the key is known to belong to another request.
bool Service::qualify_key(ServerRequest& request) {
  if (request.key.empty() || request.request_class->idempotency != Idempotency::kKeyed) return true;
  std::string prefix = request.key + '/';
  request.key = prefix + std::to_string(body_hash(request.body));
  return keys_.find(request.request_class, request.key) ||
         !keys_.has_accepted_key(request.request_class, prefix);
}

// Finds the entry that the request is a retry of, if any. The entry of a keyed request is valid as long as it
// is retained, that of an idempotent one while it runs and for the answer sharing window after it completed.
void Service::find_original(ServerRequest& request) {
  if (request.key.empty()) return;
  KeyEntry* entry = keys_.find(request.request_class, request.key);
  if (!entry) return;
  if (request.request_class->idempotency == Idempotency::kIdempotent) {
    bool is_fresh = entry->state == KeyEntry::State::kOk &&
                    now_ - entry->completed_at <= options_.config.answer_sharing_window;
    if (entry->state != KeyEntry::State::kOpen && !is_fresh) return;
  }
  request.entry = entry;
  request.is_retry = true;
  request.original = entry->original;
}

void Service::update_idempotency_log(ServerRequest& request, Outcome outcome, std::string_view result) {
  if (!std::exchange(request.intent_recorded, false)) return;
  if (outcome == Outcome::kIgnored) {
    ports_.idempotency_log->erase_intent(request);
  } else {
    ports_.idempotency_log->record_outcome(request, outcome == Outcome::kOk, result);
  }
}

void Service::record_intent(Request& base_request) {
  ServerRequest& request = server_request(base_request);
  request.intent_recorded = true;
  ports_.idempotency_log->record_intent(request,
                                        key_lifetime(request, request.request_class->deduplication_window));
}

void Service::intent_recorded(const std::string& id, bool durable) {
  handle_event([&] {
    auto found = requests_.find(id);
    if (found == requests_.end() || !found->second->awaits_intent) return;
    if (!durable) found->second->intent_recorded = false;
    controller_->intent_recorded(*found->second, durable, now_);
  });
}

void Service::restore(const std::string& request_class, const std::string& key, bool completed,
                      std::string_view result, Nanos remaining) {
  now_ = std::max(now_, ports_.clock.now());
  for (const RequestClass& each : options_.config.request_classes) {
    if (each.name == request_class) keys_.restore(&each, key, completed, result, now_, now_ + remaining);
  }
}

// An attempt can be received long after it was sent, so the entry is retained for two client timeouts longer.
// A late match is correct, since all attempts with one key are one request.
void Service::retain_key(Request& base_request, Nanos lifetime) {
  ServerRequest& request = server_request(base_request);
  if (request.key.empty()) return;
  if (KeyEntry* previous = keys_.find(request.request_class, request.key)) fail_waiters(*previous);
  keys_.retain(request, now_ + key_lifetime(request, lifetime));
}

Nanos Service::key_lifetime(const ServerRequest& request, Nanos lifetime) const {
  return lifetime + (request.request_class->idempotency == Idempotency::kKeyed
                         ? 2 * request.request_class->client_timeout
                         : 0);
}

void Service::forget_key(Request& base_request) {
  ServerRequest& request = server_request(base_request);
  if (!request.entry || request.entry->original != &request) return;
  erase_key(*std::exchange(request.entry, nullptr));
}

void Service::erase_key(KeyEntry& entry) {
  fail_waiters(entry);
  keys_.erase(entry);
}

void Service::fail_waiters(KeyEntry& entry) {
  for (ServerRequest* waiter : std::exchange(entry.waiters, {})) {
    waiter->entry = nullptr;
    deferred_.push_back({waiter, Outcome::kFailed});
  }
}

void Service::coalesce(Request& base_request) {
  ServerRequest& request = server_request(base_request);
  if (request.entry && request.entry->state == KeyEntry::State::kOpen) {
    request.entry->waiters.push_back(&request);
  } else {
    bool completed = request.entry && request.entry->state == KeyEntry::State::kOk;
    deferred_.push_back({&request, completed ? Outcome::kOk : Outcome::kFailed});
  }
}

}  // namespace myrtlecroft::service
