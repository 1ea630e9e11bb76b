// One step of weights, slow start and flaps.
#include "routing/weights.h"

#include <algorithm>
#include <cmath>

namespace myrtlecroft::routing {
namespace {

constexpr double kQueueWeight = 0.5;    // of a full queue, beside the share rejected
constexpr double kEvenPressure = 0.08;  // a smaller difference in pressure is no reason to move weight
constexpr double kSteepness = 4;  // a difference in pressure of one over this moves weight at full speed
constexpr double kRecoverySpeed = 0.25;  // of the full speed, back to the whole weight under even pressure
constexpr double kMinReceived = 5;       // requests lately; with fewer, the share rejected says little
constexpr double kMaxStepSeconds = 1;

double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

// What it rejects, as a share of what it receives, and how full its queue is.
double pressure_of(const ServerStatus& server, Nanos now) {
  double received = server.reported.received.read(now);
  double rejected =
      received < kMinReceived ? 0 : std::min(1.0, server.reported.rejected.read(now) / received);
  double window = std::max(1.0, static_cast<double>(server.report.window));
  return rejected + kQueueWeight * std::min(1.0, static_cast<double>(server.report.queued_requests) / window);
}

bool takes_part(const ServerStatus& server, const StateContext& context) {
  return server.in_service() && is_reporting(server, context);
}

double mean_pressure(const std::vector<ServerStatus>& servers, const StateContext& context) {
  double total = 0;
  double capacity = 0;
  for (const ServerStatus& server : servers) {
    if (!takes_part(server, context)) continue;
    total += pressure_of(server, context.now) * server.effective_capacity();
    capacity += server.effective_capacity();
  }
  return capacity > 0 ? total / capacity : 0;
}

void continue_slow_start(ServerStatus& server, const fleet::Bounds& bounds, double passed) {
  if (server.state != ServerState::kSlowStart) return;
  double part = bounds.slow_start > 0 ? passed / seconds(bounds.slow_start) : 1;
  server.slow_start_factor =
      std::min(1.0, server.slow_start_factor + (1 - bounds.initial_slow_start_factor) * part);
}

void forgive_flap(ServerStatus& server, const StateContext& context) {
  bool stable = context.now - server.stable_since > 2 * kFlapDwells * context.bounds.min_time_out_of_rotation;
  if (server.flaps == 0 || !server.in_service() || !stable) return;
  --server.flaps;
  server.stable_since = context.now;
}

}  // namespace

void WeightAdjuster::step(std::vector<ServerStatus>& servers, const StateContext& context, bool frozen) {
  double passed = std::min(kMaxStepSeconds, seconds(context.now - last_step_at_));
  last_step_at_ = context.now;
  if (frozen) return;
  const fleet::Bounds& bounds = context.bounds;
  const double mean = mean_pressure(servers, context);
  for (ServerStatus& server : servers) {
    continue_slow_start(server, bounds, passed);
    forgive_flap(server, context);
    if (!takes_part(server, context)) continue;
    double relief = mean - pressure_of(server, context.now);
    double speed =
        std::abs(relief) < kEvenPressure ? kRecoverySpeed : std::clamp(kSteepness * relief, -1.0, 1.0);
    server.weight = std::clamp(server.weight + speed * bounds.max_weight_change_per_second * passed,
                               bounds.min_weight, 1.0);
  }
}

}  // namespace myrtlecroft::routing
