#include "server_program.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "net/descriptors.h"

namespace myrtlecroft {
namespace {

// Shares of the server's memory: of what balancers' connections may hold, and of commands that the engine has
// not taken.
constexpr std::size_t kFrontMemoryShare = 8;
constexpr std::size_t kEngineMemoryShare = 16;
constexpr std::size_t kMinEngineMemory = std::size_t{1} << 18;  // bytes
constexpr std::size_t kMaxEngineMemory = std::size_t{1} << 23;  // bytes
// Share of the descriptors that is not for balancers' connections.
constexpr std::size_t kReservedShare = 4;
// Exit code: this and the version that the server is to be started in.
constexpr int kRestartAs = 100;
// Of the time to stop in, kept back to end the process.
constexpr Nanos kStopMarginShare = 100;

std::string described(const fencing::ShardAssignment& assignment) {
  return "epoch " + std::to_string(assignment.epoch.number) + " of term " +
         std::to_string(assignment.epoch.term) + ", " + std::to_string(assignment.shards.size()) + " shards";
}

}  // namespace

ServerProgram::ServerProgram(const ServerPaths& paths, Launch launch, std::uint8_t version)
    : paths_(paths),
      settings_(prepare(paths, launch)),
      launch_(std::move(launch)),
      reserved_descriptors_(launch_.descriptors / kReservedShare),
      log_(loop_),
      front_(loop_, log_, launch_.listen, launch_.descriptors - reserved_descriptors_,
             launch_.memory / kFrontMemoryShare, settings_.slow_clients),
      engine_(loop_, log_, launch_.engine,
              std::clamp(launch_.memory / kEngineMemoryShare, kMinEngineMemory, kMaxEngineMemory)),
      database_(loop_, log_, launch_.database, reserved_descriptors_ / 2),
      membership_(loop_, launch_.name, launch_.members),
      idempotency_log_(recovery::open_durable_idempotency_log(settings_.store, loop_, log_)),
      service_(take_start(launch_),
               {loop_, front_, engine_, database_, membership_, log_, idempotency_log_.get(),
                settings_.reports.follows_control_service ? &keys_ : nullptr}),
      reporter_(loop_, log_, service_, launch_.name, launch_.listen),
      stop_timer_(loop_.base(),
                  [this] {
                    end_ = "stopped at the deadline, " + std::to_string(front_.connections()) +
                           " connections left";
                    loop_.stop();
                  }),
      terminated_(loop_.base(), SIGTERM, [this] { begin_drain(); }),
      interrupted_(loop_.base(), SIGINT, [this] { begin_drain(); }),
      reload_(loop_, paths_.config, paths_.settings,
              [this](ReadAgain read) { apply_reload(std::move(read)); }),
      reload_signal_(loop_.base(), SIGHUP, [this] { reload_.ask(); }) {
  if (idempotency_log_) idempotency_log_->attach(service_);
  reporter_.set_version(version);
  restore_assignment();
  reporter_.set_assignment_handler(
      [this](const fencing::ShardAssignment& assignment) { take_assignment(assignment); });
  reporter_.set_report_settings(settings_.reports);
}

int ServerProgram::run() {
  loop_.set_wake_callback([this] { service_.timer_expired(); });
  front_.serve(service_, [this] { loop_.stop(); });
  database_.begin(service_);
  engine_.begin(service_.engine());
  log_.line("started as " + launch_.name);
  loop_.run();
  log_.line(end_);
  return exit_code_;
}

// Descriptors are reserved before the log's thread starts: the kernel stops all threads to enlarge their
// table.
settings::NodeSettings ServerProgram::prepare(const ServerPaths& paths, const Launch& launch) {
  settings::NodeSettings settings = settings::read_node_settings(paths.settings);
  net::reserve_descriptors(launch.descriptors);
  return settings;
}

// The configuration of a large deployment is held once, by the service.
service::Service::Options ServerProgram::take_start(Launch& launch) {
  return std::exchange(launch.start, {.seed = launch.start.seed, .stop_after = launch.start.stop_after});
}

// A server with a store still has the keys of its assignment after a restart.
void ServerProgram::restore_assignment() {
  if (!idempotency_log_ || !settings_.reports.follows_control_service) return;
  report::FrameError malformed{};
  report::decode(
      idempotency_log_->saved_assignment(),
      {.report = {},
       .assignment = [this](const fencing::ShardAssignment& assignment) { keys_.guard.restore(assignment); }},
      malformed);
  if (keys_.guard.assignment()) reporter_.set_assignment_epoch(keys_.guard.assignment()->epoch);
}

void ServerProgram::take_assignment(const fencing::ShardAssignment& assignment) {
  // A stale one is ignored whole: it comes again in answer to the next report.
  if (assignment.restart_version && !reporter_.was_sent_recently(assignment.report_sequence)) {
    log_.write_rate_limited(
        "shard assignment ignored: it orders a restart and answers an old report, epoch " +
        std::to_string(assignment.epoch.number));
    return;
  }
  fencing::FencingGuard::Verdict verdict = keys_.guard.accept(assignment, reporter_.incarnation());
  if (verdict == fencing::FencingGuard::Verdict::kStale) {
    log_.write_rate_limited("shard assignment ignored: too old, " + described(assignment));
  }
  if (verdict != fencing::FencingGuard::Verdict::kAccepted) return;
  log_.write_rate_limited("shard assignment in force: " + described(assignment));
  reporter_.set_assignment_epoch(assignment.epoch);
  if (idempotency_log_) idempotency_log_->save_assignment(report::encode(assignment));
  if (!assignment.restart_version || service_.draining()) return;
  exit_code_ = kRestartAs + *assignment.restart_version;
  log_.line("drains to be started as version " + std::to_string(*assignment.restart_version) + ", epoch " +
            std::to_string(assignment.epoch.number));
  begin_drain();
}

// What is fixed while a server runs is left as it is, and files that are wrong change nothing.
void ServerProgram::apply_reload(ReadAgain read) {
  try {
    if (!read.error.empty()) throw std::runtime_error(read.error);
    read.own.reports.follows_control_service =
        settings_.reports.follows_control_service;  // fixed while it runs
    reporter_.set_report_settings(read.own.reports);
    front_.slow_client_policy().set_options(read.own.slow_clients);
    engine_.move(read.launch.engine);
    database_.move(read.launch.database);
    membership_.move(read.launch.members);
    std::string fixed = fixed_differences(launch_, read.launch);
    log_.line("reload: addresses taken over" +
              (fixed.empty() ? "" : "; these differ and wait for a restart: " + fixed));
  } catch (const std::exception& error) {
    log_.line(std::string("reload failed, all stays as it was: ") + error.what());
  }
}

void ServerProgram::begin_drain() {
  if (!service_.draining()) {
    Nanos stop_after = launch_.start.stop_after;
    stop_timer_.set(stop_after - stop_after / kStopMarginShare);
  }
  service_.begin_drain();
}

}  // namespace myrtlecroft
