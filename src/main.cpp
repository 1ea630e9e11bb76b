// One real server: wires the parts up and runs the loop until it has drained.
#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "arguments.h"
#include "fencing/fencing_guard.h"
#include "launch.h"
#include "net/database_client.h"
#include "net/descriptors.h"
#include "net/engine_client.h"
#include "net/fastcgi_server.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/membership_client.h"
#include "net/reporter.h"
#include "recovery/durable_runs.h"
#include "reload.h"
#include "settings/node_settings.h"

namespace {

constexpr std::size_t kFrontMemory = 8;    // one part of so many, for what balancers' connections hold
constexpr std::size_t kEngineMemory = 16;  // the same, for commands that the engine does not take
constexpr std::size_t kMinEngine = std::size_t{1} << 18;
constexpr std::size_t kMaxEngine = std::size_t{1} << 23;
constexpr int kWrong = 2;        // exit code: an unknown option, or a file that --check finds wrong
constexpr int kStartMeAs = 100;  // exit code: this and the version that it is to be started in
constexpr std::size_t kOwnDescriptors = 4;  // one of so many is kept for what is not a balancer's connection

// Which keys are this server's, by the order with the highest epoch that it has seen; kept over a restart
// where it has a store, whose keys are then known too.
struct Gate final : myrtlecroft::service::ShardOwnership {
  bool admits(std::string_view key) const override { return fence.admits(key); }
  myrtlecroft::fencing::FencingGuard fence;
};

// The version that whoever starts us says that we are. Throws std::runtime_error.
std::uint8_t own_version() {
  const char* given = std::getenv("MYRTLECROFT_RELEASE");
  if (!given || !*given) return 0;
  int version = 0;
  const char* end = given + std::strlen(given);
  auto [past, error] = std::from_chars(given, end, version);
  if (error != std::errc() || past != end || version < 0 || version > myrtlecroft::fencing::kMaxVersion)
    throw std::runtime_error(std::string("MYRTLECROFT_RELEASE is no number from 0 to 99: '") + given + "'");
  return static_cast<std::uint8_t>(version);
}

void mask_signals(int how) {
  sigset_t all;
  sigemptyset(&all);
  for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&all, signal);
  pthread_sigmask(how, &all, nullptr);
}

// The exit code.
int serve(const char* path, myrtlecroft::Launch launch, const char* settings_path) {
  using namespace myrtlecroft;
  const std::uint8_t version = own_version();
  settings::NodeSettings own_settings = settings::read_node_settings(settings_path);
  net::reserve_descriptors(launch.descriptors);  // before the log's thread
  net::Loop loop;
  net::Log log(loop);
  std::size_t own = launch.descriptors / kOwnDescriptors;
  net::FastCgiServer front(loop, log, launch.listen, launch.descriptors - own, launch.memory / kFrontMemory,
                           own_settings.slow_peers);
  net::EngineClient engine(loop, log, launch.engine,
                           std::clamp(launch.memory / kEngineMemory, kMinEngine, kMaxEngine));
  net::DatabaseClient database(loop, log, launch.database, own / 2);
  net::MembershipClient membership(loop, launch.name, launch.members);
  const Nanos stop_after = launch.start.stop_after;
  std::unique_ptr<recovery::DurableRuns> records = recovery::open_durable_runs(own_settings.store, loop, log);
  Gate gate;
  // The terms of a large deployment are held once, by the service.
  service::Service::Start held =
      std::exchange(launch.start, {.seed = launch.start.seed, .stop_after = stop_after});
  service::Service service(std::move(held), {loop, front, engine, database, membership, log, records.get(),
                                             own_settings.reports.obey ? &gate : nullptr});
  if (records) records->serve(service);

  net::Reporter reporter(loop, log, service, launch.name, launch.listen);
  reporter.runs(version);
  int code = 0;
  std::function<void()> leave;
  auto handle = [&](const fencing::ShardAssignment& order) {
    // Not taken at all: it is told again in answer to the next report.
    if (order.restart_as && !reporter.is_fresh(order.answers)) {
      log.frequent("an order to start anew came late, and is not heeded: epoch " +
                   std::to_string(order.epoch.number));
      return;
    }
    fencing::FencingGuard::Verdict verdict = gate.fence.take(order, reporter.incarnation());
    std::string figures = "epoch " + std::to_string(order.epoch.number) + " of term " +
                          std::to_string(order.epoch.term) + ", " + std::to_string(order.shards.size()) +
                          " shards";
    if (verdict == fencing::FencingGuard::Verdict::kOld) log.frequent("an order is too old: " + figures);
    if (verdict != fencing::FencingGuard::Verdict::kTaken) return;
    log.frequent("acts on " + figures);
    reporter.acts_on(order.epoch);
    if (records) records->keep_order(report::encode(order));
    if (!order.restart_as || service.draining()) return;
    code = kStartMeAs + *order.restart_as;
    log.line("leaves to be started as version " + std::to_string(*order.restart_as) + ", epoch " +
             std::to_string(order.epoch.number));
    leave();
  };
  if (records && own_settings.reports.obey) {
    report::Malformed malformed{};
    report::decode(
        records->order(),
        {.report = {}, .order = [&](const fencing::ShardAssignment& order) { gate.fence.restore(order); }},
        malformed);
    if (gate.fence.order()) reporter.acts_on(gate.fence.order()->epoch);
  }
  std::string how = "stopped";
  net::Timer last_moment(loop.base(), [&] {
    how = "stopped at the last moment, " + std::to_string(front.connections()) + " connections left";
    loop.stop();
  });
  leave = [&] {
    if (!service.draining()) last_moment.set(stop_after - stop_after / 100);
    service.begin_drain();
  };
  reporter.on_order(handle);
  reporter.report_to(own_settings.reports);
  net::Timer terminated(loop.base(), SIGTERM, leave);
  net::Timer interrupted(loop.base(), SIGINT, leave);
  // New addresses are taken over under load. What is fixed for the incarnation of a server is left as it is,
  // and a file that makes no sense changes nothing.
  Reload reload(loop, path, settings_path, [&](ReadAgain read) {
    try {
      if (!read.error.empty()) throw std::runtime_error(read.error);
      read.own.reports.obey = own_settings.reports.obey;  // for the incarnation of a server
      reporter.report_to(read.own.reports);
      front.pacing().set_options(read.own.slow_peers);
      engine.move(read.launch.engine);
      database.move(read.launch.database);
      membership.move(read.launch.members);
      std::string fixed = fixed_differences(launch, read.launch);
      log.line("reload: addresses taken over" +
               (fixed.empty() ? "" : "; these differ and wait for a restart: " + fixed));
    } catch (const std::exception& error) {
      log.line(std::string("reload failed, all stays as it was: ") + error.what());
    }
  });
  net::Timer reload_asked(loop.base(), SIGHUP, [&] { reload.ask(); });
  mask_signals(SIG_UNBLOCK);
  loop.on_wake([&] { service.timer_expired(); });
  front.serve(service, [&] { loop.stop(); });
  database.begin(service);
  engine.begin(service.engine());
  log.line("started as " + launch.name);
  loop.run();
  log.line(how);
  return code;
}

// Says of each file whether it is good; 2 where one is not.
int check(const char* path, const char* settings_path) {
  int code = 0;
  auto look = [&](const char* file, auto read) {
    try {
      read(file);
      if (file && *file) std::printf("%s: good\n", file);
    } catch (const std::exception& error) {
      std::fprintf(stderr, "myrtlecroft: %s\n", error.what());
      code = kWrong;
    }
  };
  look(path, [](const char* file) { myrtlecroft::read_launch(file); });
  look(settings_path, [](const char* file) { myrtlecroft::settings::read_node_settings(file); });
  return code;
}

int start(const char* path, const char* settings_path) {
  std::signal(SIGPIPE, SIG_IGN);
  mask_signals(SIG_BLOCK);  // until they can be heeded: what comes before then waits
  try {
    return serve(path, myrtlecroft::read_launch(path), settings_path);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft: %s\n", error.what());
    return 1;
  }
}

}  // namespace

int main(int count, char** words) {
  using namespace myrtlecroft;
  Arguments arguments = read_arguments(count, words);
  const char* path = std::getenv("LB_CONFIG");
  const char* settings_path = std::getenv("MYRTLECROFT_SETTINGS");
  switch (arguments.asked) {
    case Asked::kHelp:
      std::fputs(help_text(), stdout);
      return 0;
    case Asked::kVersion:
      std::puts("myrtlecroft " MYRTLECROFT_VERSION);
      return 0;
    case Asked::kCheck:
      return check(path, settings_path);
    case Asked::kUnknown:
      std::fprintf(stderr, "myrtlecroft: not known here: %s; --help lists the options\n",
                   arguments.unknown.c_str());
      return kWrong;
    case Asked::kServe:
      break;
  }
  return start(path, settings_path);
}
