// Updates the weights, slow start and flap counts of all servers.
#include "routing/weights.h"

#include <algorithm>
#include <cmath>

namespace myrtlecroft::routing {
namespace {

constexpr double kQueueWeight = 0.5;    // of a full queue in the pressure, relative to the rejected share
constexpr double kEvenPressure = 0.08;  // a smaller difference counts as even pressure
constexpr double kSteepness = 4;  // a difference in pressure of 1 / kSteepness moves weight at full speed
constexpr double kRecoverySpeed = 0.25;  // of full speed, towards full weight under even pressure
constexpr double kMinReceived = 5;       // recent requests; with fewer, the rejected share is not significant
constexpr double kMaxStepSeconds = 1;    // limits the change after a pause of this process

double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

// Returns the share of the received requests that the server rejects, plus the weighted fill level of its
// queue.
double compute_pressure(const ServerStatus& server, Nanos now) {
  double received = server.reported.received.read(now);
  double rejected =
      received < kMinReceived ? 0 : std::min(1.0, server.reported.rejected.read(now) / received);
  double window = std::max(1.0, static_cast<double>(server.report.window));
  return rejected + kQueueWeight * std::min(1.0, static_cast<double>(server.report.queued_requests) / window);
}

bool is_adjustable(const ServerStatus& server, const StateContext& context) {
  return server.in_service() && is_reporting(server, context);
}

double compute_mean_pressure(const std::vector<ServerStatus>& servers, const StateContext& context) {
  double total = 0;
  double capacity = 0;
  for (const ServerStatus& server : servers) {
    if (!is_adjustable(server, context)) continue;
    total += compute_pressure(server, context.now) * server.effective_capacity();
    capacity += server.effective_capacity();
  }
  return capacity > 0 ? total / capacity : 0;
}

void continue_slow_start(ServerStatus& server, const fleet::Bounds& bounds, double elapsed_seconds) {
  if (server.state != ServerState::kSlowStart) return;
  double part = bounds.slow_start > 0 ? elapsed_seconds / seconds(bounds.slow_start) : 1;
  server.slow_start_factor =
      std::min(1.0, server.slow_start_factor + (1 - bounds.initial_slow_start_factor) * part);
}

void forgive_flap(ServerStatus& server, const StateContext& context) {
  bool stable =
      context.now - server.stable_since > 2 * kFlapWindowMultiplier * context.bounds.min_time_out_of_rotation;
  if (server.flaps == 0 || !server.in_service() || !stable) return;
  --server.flaps;
  server.stable_since = context.now;
}

}  // namespace

void WeightAdjuster::step(std::vector<ServerStatus>& servers, const StateContext& context, bool frozen) {
  double elapsed_seconds = std::min(kMaxStepSeconds, seconds(context.now - last_step_at_));
  last_step_at_ = context.now;
  if (frozen) return;
  const fleet::Bounds& bounds = context.bounds;
  const double mean = compute_mean_pressure(servers, context);
  for (ServerStatus& server : servers) {
    continue_slow_start(server, bounds, elapsed_seconds);
    forgive_flap(server, context);
    if (!is_adjustable(server, context)) continue;
    double relief = mean - compute_pressure(server, context.now);
    double speed =
        std::abs(relief) < kEvenPressure ? kRecoverySpeed : std::clamp(kSteepness * relief, -1.0, 1.0);
    server.weight = std::clamp(server.weight + speed * bounds.max_weight_change_per_second * elapsed_seconds,
                               bounds.min_weight, 1.0);
  }
}

}  // namespace myrtlecroft::routing
