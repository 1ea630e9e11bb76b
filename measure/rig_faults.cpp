#include "rig_faults.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::rehearsal {
namespace {

constexpr unsigned kFaultSeedOffset = 77;

bool names_instance(const Step& step, int instance) { return step.others >> instance & 1; }

}  // namespace

RigFaults::RigFaults(RigContext& context, Targets targets)
    : context_(context), targets_(std::move(targets)), random_(context.options().seed + kFaultSeedOffset) {}

void RigFaults::play_due() {
  const Incident& incident = context_.incident();
  const Nanos now = context_.now();
  while (next_step_ < incident.steps.size() && context_.begin_time() + incident.steps[next_step_].at <= now) {
    play(incident.steps[next_step_]);
    ++next_step_;
  }
  bool draws_end = now >= context_.begin_time() + incident.length - kSecond;
  if (incident.faults_per_s > 0 && now >= next_drawn_ && !draws_end) play_drawn();
}

// Makes the same number of draws whether or not the fault is played, so that a seed hits the same servers.
void RigFaults::play_drawn() {
  const Incident& incident = context_.incident();
  std::mt19937 draws(random_());
  Step step = draw_fault(
      draws, {.instances = incident.instances, .servers = incident.nodes, .proxies = incident.proxies});
  if (context_.options().control_faults || !concerns_control(step)) play(step);
  double spread = 0.5 + static_cast<double>(random_() % 1000) / 1000.0;
  next_drawn_ = context_.now() + static_cast<Nanos>(1e9 / incident.faults_per_s * spread);
}

void RigFaults::play(const Step& step) {
  ++context_.result().faults;
  context_.record_event(describe(step));
  int first = step.target.first;
  int last = step.target.last;
  if (step.target.kind == Target::Kind::kLeader) {
    first = std::max(targets_.instances.leader(), 0);
    last = first;
  }
  for (int i = first; i <= last; ++i) {
    if (step.target.kind == Target::Kind::kProxy) {
      targets_.proxies.cut_stream(i);
    } else if (step.target.kind == Target::Kind::kServer) {
      play_on_server(step, i);
    } else {
      play_on_instance(step, i);
    }
  }
}

void RigFaults::play_on_server(const Step& step, int server) {
  RigServers& servers = targets_.servers;
  if (step.fault == Fault::kKill) servers.kill(server, step.length);
  if (step.fault == Fault::kPause) servers.pause(server, step.length);
  if (step.fault == Fault::kNoise) servers.slow_engine(server, step.times, step.length);
  if (step.fault == Fault::kClock) servers.step_clock(server, step.by, step.length);
  if (!is_link_fault(step.fault)) return;
  for (int instance = 0; instance < context_.incident().instances; ++instance) {
    if (names_instance(step, instance)) fail_link(step, servers.report_relay(server, instance), nullptr);
  }
}

void RigFaults::play_on_instance(const Step& step, int instance) {
  RigInstances& instances = targets_.instances;
  if (is_link_fault(step.fault)) {
    fail_links_of_instance(step, instance);
  } else if (step.fault == Fault::kCommand) {
    targets_.send_command(instance, step.command);
  } else if (step.fault == Fault::kPause) {
    instances.pause(instance, step.length);
  } else if (step.fault == Fault::kKill) {
    instances.kill(instance, step.length);
  } else if (step.fault == Fault::kLose) {
    instances.kill_and_remove_folder(instance, step.length);
  } else {
    instances.inject_process_fault(instance, step);
  }
}

void RigFaults::fail_links_of_instance(const Step& step, int instance) {
  RigInstances& instances = targets_.instances;
  for (int other = 0; other < context_.incident().instances; ++other) {
    if (other == instance || !names_instance(step, other)) continue;
    fail_link(step, instances.relay(instance, other), &instances.relay(other, instance));
  }
}

// `outward`: relay of the connection that the step's target opened. Two instances have two connections, one
// opened by each; a server and an instance have only one, and `inward` is nullptr.
void RigFaults::fail_link(const Step& step, standin::Relay& outward, standin::Relay* inward) {
  bool out = step.direction != Direction::kInward;
  bool in = step.direction != Direction::kOutward;
  switch (step.fault) {
    case Fault::kStall:
      outward.stall(out, inward ? false : in);
      if (inward) inward->stall(in, false);
      break;
    case Fault::kClose:
      outward.close(true);
      if (inward) inward->close(true);
      break;
    case Fault::kLate:
      outward.set_delay(step.by);
      break;
    case Fault::kReset:
      outward.reset();
      if (inward) inward->reset();
      break;
    case Fault::kCutFrame:
      outward.reset_after(step.bytes);
      break;
    default:
      break;
  }
  if (step.length <= 0) return;
  context_.schedule(step.length, [&outward, inward] {
    outward.clear_faults();
    if (inward) inward->clear_faults();
  });
}

}  // namespace myrtlecroft::rehearsal
