#include "server_program.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "net/descriptors.h"

namespace myrtlecroft {
namespace {

// Parts of the server's memory: 1/8 bounds what balancers' connections hold, 1/16 the commands that the
// engine has not read yet.
constexpr std::size_t kConnectionMemoryDivisor = 8;
constexpr std::size_t kEngineMemoryDivisor = 16;
constexpr std::size_t kMinEngineMemory = std::size_t{1} << 18;  // bytes
constexpr std::size_t kMaxEngineMemory = std::size_t{1} << 23;  // bytes
// 1/4 of the descriptors is reserved for other uses than balancers' connections.
constexpr std::size_t kReservedDescriptorsDivisor = 4;
// The exit code that asks the supervisor to start version V is this base plus V.
constexpr int kRestartExitCodeBase = 100;
// The stop timer fires 1/100 of the time before the stop deadline, which leaves time to end the process.
constexpr Nanos kStopMarginDivisor = 100;

std::string describe(const fencing::ShardAssignment& assignment) {
  return "epoch " + std::to_string(assignment.epoch.number) + " of term " +
         std::to_string(assignment.epoch.term) + ", " + std::to_string(assignment.shards.size()) + " shards";
}

}  // namespace

ServerProgram::ServerProgram(const ServerPaths& paths, LaunchConfig launch, std::uint8_t version)
    : paths_(paths),
      settings_(read_settings_and_reserve_descriptors(paths, launch)),
      launch_(std::move(launch)),
      reserved_descriptors_(launch_.descriptors / kReservedDescriptorsDivisor),
      log_(loop_),
      fastcgi_server_(loop_, log_, launch_.listen, launch_.descriptors - reserved_descriptors_,
                      launch_.memory_bytes / kConnectionMemoryDivisor, settings_.slow_clients),
      engine_(loop_, log_, launch_.engine,
              std::clamp(launch_.memory_bytes / kEngineMemoryDivisor, kMinEngineMemory, kMaxEngineMemory)),
      database_(loop_, log_, launch_.database, reserved_descriptors_ / 2),
      membership_(loop_, launch_.name, launch_.members),
      idempotency_log_(recovery::open_durable_idempotency_log(settings_.store, loop_, log_)),
      service_(extract_start(launch_),
               {loop_, fastcgi_server_, engine_, database_, membership_, log_, idempotency_log_.get(),
                settings_.reports.follows_control_service ? &key_ownership_ : nullptr}),
      reporter_(loop_, log_, service_, launch_.name, launch_.listen),
      stop_timer_(loop_.base(),
                  [this] {
                    end_message_ = "stopped at the deadline, " +
                                   std::to_string(fastcgi_server_.connections()) + " connections left";
                    loop_.stop();
                  }),
      sigterm_(loop_.base(), SIGTERM, [this] { begin_drain(); }),
      sigint_(loop_.base(), SIGINT, [this] { begin_drain(); }),
      reloader_(loop_, paths_.config, paths_.settings,
                [this](ReloadResult result) { apply_reload(std::move(result)); }),
      sighup_(loop_.base(), SIGHUP, [this] { reloader_.request_reload(); }) {
  if (idempotency_log_) idempotency_log_->attach(service_);
  reporter_.set_version(version);
  restore_assignment();
  reporter_.set_assignment_handler(
      [this](const fencing::ShardAssignment& assignment) { apply_assignment(assignment); });
  reporter_.set_report_settings(settings_.reports);
}

int ServerProgram::run() {
  loop_.set_wake_callback([this] { service_.timer_expired(); });
  fastcgi_server_.serve(service_, [this] { loop_.stop(); });
  database_.begin(service_);
  engine_.begin(service_.engine());
  log_.line("started as " + launch_.name);
  loop_.run();
  log_.line(end_message_);
  return exit_code_;
}

// Reads the settings and reserves the descriptors. This happens before the log's thread starts, because the
// kernel stops all threads of a process to enlarge their descriptor table.
settings::NodeSettings ServerProgram::read_settings_and_reserve_descriptors(const ServerPaths& paths,
                                                                            const LaunchConfig& launch) {
  settings::NodeSettings settings = settings::read_node_settings(paths.settings);
  net::reserve_descriptors(launch.descriptors);
  return settings;
}

// Moves the start parameters out of `launch` and leaves it the seed and `stop_after`, so that the
// configuration of a large deployment is in memory once, in the service.
service::Service::Options ServerProgram::extract_start(LaunchConfig& launch) {
  return std::exchange(launch.start, {.seed = launch.start.seed, .stop_after = launch.start.stop_after});
}

// A server with a store owns the keys of its last shard assignment again after a restart.
void ServerProgram::restore_assignment() {
  if (!idempotency_log_ || !settings_.reports.follows_control_service) return;
  report::FrameError malformed{};
  report::decode(
      idempotency_log_->saved_assignment(),
      {.report = {},
       .assignment =
           [this](const fencing::ShardAssignment& assignment) { key_ownership_.guard.restore(assignment); }},
      malformed);
  if (key_ownership_.guard.assignment())
    reporter_.set_assignment_epoch(key_ownership_.guard.assignment()->epoch);
}

void ServerProgram::apply_assignment(const fencing::ShardAssignment& assignment) {
  // An assignment that orders a restart but answers an old report is ignored entirely: the control service
  // sends it again in answer to the next report.
  if (assignment.restart_version && !reporter_.was_sent_recently(assignment.report_sequence)) {
    log_.write_rate_limited(
        "shard assignment ignored: it orders a restart and answers an old report, epoch " +
        std::to_string(assignment.epoch.number));
    return;
  }
  fencing::FencingGuard::Verdict verdict = key_ownership_.guard.accept(assignment, reporter_.incarnation());
  if (verdict == fencing::FencingGuard::Verdict::kStale) {
    log_.write_rate_limited("shard assignment ignored: too old, " + describe(assignment));
  }
  if (verdict != fencing::FencingGuard::Verdict::kAccepted) return;
  log_.write_rate_limited("shard assignment in force: " + describe(assignment));
  reporter_.set_assignment_epoch(assignment.epoch);
  if (idempotency_log_) idempotency_log_->save_assignment(report::encode(assignment));
  if (!assignment.restart_version || service_.draining()) return;
  exit_code_ = kRestartExitCodeBase + *assignment.restart_version;
  log_.line("drains to be started as version " + std::to_string(*assignment.restart_version) + ", epoch " +
            std::to_string(assignment.epoch.number));
  begin_drain();
}

// Applies reloaded files. Fields that are fixed while a server runs keep their values, and invalid files
// change nothing.
void ServerProgram::apply_reload(ReloadResult result) {
  try {
    if (!result.error.empty()) throw std::runtime_error(result.error);
    result.node_settings.reports.follows_control_service =
        settings_.reports.follows_control_service;  // fixed while the server runs
    reporter_.set_report_settings(result.node_settings.reports);
    fastcgi_server_.slow_client_policy().set_options(result.node_settings.slow_clients);
    engine_.move(result.launch.engine);
    database_.move(result.launch.database);
    membership_.move(result.launch.members);
    std::string fixed_changes = list_fixed_changes(launch_, result.launch);
    log_.line(
        "reload: addresses taken over" +
        (fixed_changes.empty() ? "" : "; changes that take effect only after a restart: " + fixed_changes));
  } catch (const std::exception& error) {
    log_.line(std::string("reload failed, the previous configuration stays in use: ") + error.what());
  }
}

void ServerProgram::begin_drain() {
  if (!service_.draining()) {
    Nanos stop_after = launch_.start.stop_after;
    stop_timer_.set(stop_after - stop_after / kStopMarginDivisor);
  }
  service_.begin_drain();
}

}  // namespace myrtlecroft
