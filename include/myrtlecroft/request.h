// One request: the data that the server received, and its state in the Controller.
#pragma once

#include "myrtlecroft/service_config.h"

namespace myrtlecroft {

// The phase of a request in its lifecycle.
enum class Phase {
  kReceived,  // not yet admitted or rejected
  kQueued,    // admitted, not started
  kRunning,
  kAwaitingDependency,  // waits for a dependency slot
  kCalling,             // a dependency call is in flight
  kCoalesced,           // waits for the result of its original
  kAbandoned,           // answered, or its caller disconnected, while its work goes on
  kDone
};

// One attempt that a server received. The server owns it until ControllerActions::release(). Times are those
// of the Controller's clock.
struct Request {
  // Set by the server before Controller::request_received().
  const RequestClass* request_class = nullptr;
  const Tenant* tenant = nullptr;  // null: the request names no tenant
  Request* original = nullptr;     // the request that this one retries; null once it is no longer known
  bool is_retry = false;           // also true if the original is no longer known
  bool has_lookup_key = false;     // reads with the same lookup key may share an answer
  bool writes = false;             // its answer is never shared
  bool awaits_intent = false;      // must not start before Controller::intent_recorded()
  Nanos arrived = 0;
  Nanos client_deadline = 0;  // 0: unknown
  Nanos estimated_work = 0;   // 0: unknown
  double queued_kb = 0;       // memory while it is queued

  // Set by the Controller.
  Phase phase = Phase::kReceived;
  bool ran = false;       // this attempt was started, or it was coalesced with one that was or may be
  bool answered = false;  // the final answer was given, or the caller disconnected
  bool occupies_core = false;
  bool key_retained = false;
  bool call_in_flight = false;
  int position = 0;         // in the queue when it was admitted, from 1; 0: was never queued
  int calls = 0;            // dependency calls that the run asked for
  int lost_call_count = 0;  // dependency calls without a reply, which may have been executed
  Nanos deadline = 0;       // for the final answer
  Nanos useful_until = 0;   // an answer after this time has little value
  Nanos admitted = 0;
  Nanos started = 0;
  Nanos interval_start = 0;  // start of the current interval on a core or in a dependency call
  Nanos core_time = 0;
  Nanos key_expires_at = 0;
  double memory_kb = 0;
};

}  // namespace myrtlecroft
