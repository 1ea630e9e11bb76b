// What a Controller is told once, when its server starts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace myrtlecroft {

using Nanos = std::int64_t;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;

enum class Effect { kRepeatable, kDeduplicated, kMutating };
enum class StopMode { kNone, kDiscard, kFreeze };
enum class FreeValue { kNone, kFloor, kAllowance, kWeight };

struct EndpointGroup {
  std::string name;
  Effect effect = Effect::kRepeatable;
  double benefit = 1;
  double late_benefit = 0;  // share kept past the SLO time
  double skip_benefit = 0;  // share kept when a call was left out; 0 = no call may be left out
  bool makes_calls = false;
  Nanos slo_time = 0;       // when an answer is wanted
  Nanos async_timeout = 0;  // when a client gives up altogether
  Nanos repeat_window = 0;  // deduplicated: how long a repeat may come
};

struct Customer {
  std::string name;
  double quota_per_s = 0;  // over the whole fleet
};

struct ServiceTerms {
  std::vector<EndpointGroup> groups;
  std::vector<Customer> customers;
  int servers = 1;
  int callers = 1;
  int cores = 1;
  double memory_kb = 0;
  double run_factor = 1;  // memory of a running exchange over that of a held one
  double key_kb = 0;
  double over_share_benefit = 1;
  bool benefit_by_work = false;
  bool cold = false;
  double cold_from = 1;  // least share of its speed that a cold server starts at
  Nanos warm_within = 0;
  double crowd_factor = 1;  // running exchanges for each core that a warm server survives
  Nanos crowd_window = 0;
  bool has_dependency = false;
  double calls_share = 0;  // mean number of calls held below that is ours
  Nanos calls_window = 0;
  Nanos call_lingers = 0;  // how long an abandoned call stays below
  Nanos fresh_for = 0;     // how long a read's answer may be shared
  Nanos drain_grace = 0;
  Nanos answer_slack = 0;
  Nanos tick = 0;
  Nanos longest_idle = 0;   // callers close connections that are idle for this long; 0 = not told
  Nanos longest_pause = 0;  // the longest advice to stay away that is passed on; 0 = none is
  StopMode stop_mode = StopMode::kNone;
  FreeValue free_value = FreeValue::kNone;
};

}  // namespace myrtlecroft
