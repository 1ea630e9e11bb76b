#include "rig_load.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

#include "rig_files.h"

namespace myrtlecroft::rehearsal {
namespace {

constexpr int kProbesUntilReady = 20;
constexpr Nanos kMinRetryDelay = 50 * kMs;
constexpr Nanos kMaxRetryDelay = 300 * kMs;
// No retry may arrive after the deduplication window.
constexpr Nanos kKeyedRetryPeriod = kKeyWindow - 100 * kMs;
// One in this many keyed requests completed at the first attempt is retried anyway.
constexpr unsigned kNeedlessRetryInterval = 4;
constexpr double kKeyedWorkMs = 3;
constexpr int kExpectedMs = 20;  // core time that a keyed request announces

}  // namespace

bool RigLoad::is_ready() {
  if (!proxies_.all_have_applied_sets()) return false;
  if (!probing_) {
    probing_ = true;
    send(make_key(), kKeyed, [this](const standin::RequestResult& result) {
      probing_ = false;
      probes_completed_ += result.kind == standin::RequestResult::Kind::kCompleted;
    });
  }
  return probes_completed_ >= kProbesUntilReady;
}

void RigLoad::begin() {
  next_keyed_ = context_.now();
  next_read_ = context_.now();
}

void RigLoad::offer_due() {
  const Incident& incident = context_.incident();
  const Nanos now = context_.now();
  if (now >= context_.begin_time() + incident.length) return;
  for (; next_keyed_ <= now; next_keyed_ += static_cast<Nanos>(1e9 / incident.keys_per_s)) offer(kKeyed);
  if (incident.reads_per_s <= 0) return;
  for (; next_read_ <= now; next_read_ += static_cast<Nanos>(1e9 / incident.reads_per_s)) {
    std::string key = make_key();
    context_.count_offered();
    int read_class = static_cast<int>(context_.random()() % kReadClasses.size());
    attempt(std::make_shared<Client>(Client{.key = key, .offered_at = now, .read_class = read_class}));
  }
}

void RigLoad::offer(int read_class) {
  context_.count_offered();
  attempt(std::make_shared<Client>(
      Client{.key = make_key(), .offered_at = context_.now(), .read_class = read_class}));
}

std::string RigLoad::make_key() {
  std::array<char, 33> key{};
  std::mt19937& random = context_.random();
  std::array<unsigned, 4> parts{};
  for (unsigned& part : parts) part = static_cast<unsigned>(random());
  std::snprintf(key.data(), key.size(), "%08x%08x%08x%08x", parts[0], parts[1], parts[2], parts[3]);
  return key.data();
}

void RigLoad::send(const std::string& key, int read_class,
                   std::function<void(const standin::RequestResult&)> ended) {
  const bool keyed = read_class == kKeyed;
  const double work_ms = keyed ? kKeyedWorkMs : context_.incident().read_ms;
  const std::string request_class =
      keyed ? kKeyedClass : kReadClasses.at(static_cast<std::size_t>(read_class));
  std::ostringstream body;
  body << request_class << ' ' << key << ' ' << work_ms << " 0";
  proxies_.send({.path = "/api/v2/" + request_class,
                 .key = keyed ? key : "",
                 .body = body.str(),
                 .accepted_unix = net::Loop::unix_now(),
                 .wait = keyed ? kKeyedTimeout : kReadTimeout,
                 .expected_ms = keyed ? kExpectedMs : static_cast<int>(work_ms)},
                std::move(ended));
}

// A client retries with its key, through any proxy, until its request is completed; some retry even then.
void RigLoad::attempt(const std::shared_ptr<Client>& client) {
  ++client->attempts;
  send(client->key, client->read_class,
       [this, client](const standin::RequestResult& result) { ended(client, result); });
}

void RigLoad::ended(const std::shared_ptr<Client>& client, const standin::RequestResult& result) {
  if (result.connection_lost) on_connection_lost_(result.connection_lost_server);
  bool completed = result.kind == standin::RequestResult::Kind::kCompleted;
  if (completed && !client->completed) {
    client->completed = true;
    context_.count_completed(client->offered_at);
  }
  bool keyed = client->read_class == kKeyed;
  bool retries =
      !completed || (keyed && client->attempts == 1 && context_.random()() % kNeedlessRetryInterval == 0);
  if (!retries) return;
  Nanos delay = std::clamp(result.retry_after, kMinRetryDelay, kMaxRetryDelay);
  Nanos retry_period = keyed ? kKeyedRetryPeriod : kReadTimeout;
  if (context_.now() + delay >= client->offered_at + retry_period) return;
  context_.schedule(delay, [this, client] { attempt(client); });
}

void RigLoad::run_started(const standin::ObservedRun& run) {
  if (!context_.has_begun() || run.request_class != kKeyedClass) return;
  ++context_.result().load.runs;
  auto [first, inserted] = first_runs_.emplace(run.key, std::make_pair(run.node, run.at));
  if (inserted || run.at >= first->second.second + kKeyWindow) return;
  context_.record_violation(&RigViolations::duplicate_runs,
                            "key " + run.key + " ran at " + first->second.first + " and " + run.node);
}

}  // namespace myrtlecroft::rehearsal
