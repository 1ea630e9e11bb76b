// One request: what the server read, and how far the Controller has brought it.
#pragma once

#include "myrtlecroft/service_config.h"

namespace myrtlecroft {

enum class Phase {
  kReceived,  // nothing decided yet
  kQueued,    // admitted, not started
  kRunning,
  kAwaitingDependency,  // waits for a dependency slot
  kCalling,             // a dependency call is in flight
  kCoalesced,           // waits for the result of the request that it retries
  kAbandoned,           // answered or its caller disconnected, work not yet ended
  kDone
};

struct Request {
  // Set by the server before Controller::request_received().
  const RequestClass* request_class = nullptr;
  const Tenant* tenant = nullptr;  // null: none
  Request* original = nullptr;     // the request that it retries, while that is known
  bool is_retry = false;           // whether or not the original is known
  bool has_lookup_key = false;     // reads of one subject may share an answer
  bool writes = false;
  bool awaits_intent = false;  // it may not start before Controller::intent_recorded()
  Nanos arrived = 0;
  Nanos client_deadline = 0;  // 0: not known
  Nanos estimated_work = 0;   // 0: not known
  double queued_kb = 0;

  // Set by the Controller.
  Phase phase = Phase::kReceived;
  bool ran = false;
  bool answered = false;
  bool occupies_core = false;
  bool key_retained = false;
  bool call_in_flight = false;
  int position = 0;  // in the queue, from 1; 0: was never queued
  int calls = 0;
  int lost_call_count = 0;  // calls that may have had their effect
  Nanos deadline = 0;       // of the final answer
  Nanos useful_until = 0;   // an answer after this is worth little
  Nanos admitted = 0;
  Nanos started = 0;
  Nanos interval_start = 0;  // start of its present stretch on a core or in a call
  Nanos core_time = 0;
  Nanos key_expires_at = 0;
  double memory_kb = 0;
};

}  // namespace myrtlecroft
