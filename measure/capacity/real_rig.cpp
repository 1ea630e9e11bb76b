#include "capacity/real_rig.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "capacity/real_callers.h"
#include "capacity/shard_owners.h"
#include "control/admin_client.h"
#include "net/address.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kPollMs = 50;
constexpr int kStartLimitMs = 60'000;
constexpr int kCallersLimitMs = 90'000;
constexpr int kChangeLimitMs = 10'000;
constexpr int kQuietMs = 300;  // no caller receives a byte for this long
constexpr int kQuietLimitMs = 30'000;
constexpr int kTrimWaitMs = 6'000;      // longer than the 5 s between two trims of control's memory
constexpr int kReportsBeforeStart = 4;  // of each server

void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

bool poll(int limit_ms, const std::function<bool()>& done) {
  std::int64_t until = steady_ns() + limit_ms * kMs;
  while (!done()) {
    if (steady_ns() > until) return false;
    sleep_ms(kPollMs);
  }
  return true;
}

double ms_between(std::int64_t from, std::int64_t to) { return static_cast<double>(to - from) / 1e6; }

standin::ControlClusterOptions control_options(const RigOptions& options) {
  std::string file = options.folder + "/fleet.conf";
  std::ofstream(file) << fleet_file(options.plan);
  return {.folder = options.folder, .fleet = file, .instances = 1, .replicated = false, .more = {}};
}

}  // namespace

RealRig::RealRig(RigOptions options)
    : options_(std::move(options)), control_(control_options(options_), ports_) {
  control_.start_all();
}

RealRig::~RealRig() = default;

bool RealRig::start_servers() {
  bool up = poll(kStartLimitMs, [&] { return run_query("proxies").error.empty(); });
  for (int first = 1; first <= options_.plan.servers; first += options_.servers_per_process) {
    int count = std::min(options_.servers_per_process, options_.plan.servers - first + 1);
    servers_.start(
        options_.hollow_program,
        {"servers", "--reports", std::to_string(control_[0].reports), "--first", std::to_string(first),
         "--count", std::to_string(count), "--every-ms", std::to_string(options_.report_every_ms), "--groups",
         std::to_string(options_.reported_classes)},
        options_.folder + "/servers.log");
  }
  auto expected = static_cast<std::uint64_t>(options_.plan.servers);
  return up && poll(kStartLimitMs, [&] {
           hollow::Answer now = servers_.command_all({});
           return now.servers_connected() == expected && now.reports_sent() >= kReportsBeforeStart * expected;
         });
}

void RealRig::start_caller_processes() {
  const FleetPlan& plan = options_.plan;
  int processes = (plan.callers + options_.callers_per_process - 1) / options_.callers_per_process;
  for (int i = 0; i < processes; ++i) {
    callers_.start(
        options_.hollow_program,
        {"callers", "--discovery", control_.discovery(0), "--servers", std::to_string(plan.servers),
         "--services", std::to_string(plan.services), "--subsetting", std::to_string(plan.subset_size)},
        options_.folder + "/callers.log");
  }
}

std::uint32_t RealRig::grow_callers(int callers) {
  if (callers_.size() == 0) start_caller_processes();
  int added = callers - callers_started_;
  auto processes = static_cast<int>(callers_.size());
  callers_.command_each([&](std::size_t process) {
    int at = static_cast<int>(process);
    int from = added * at / processes;
    hollow::Command command;
    command.mutable_add_callers()->set_first(static_cast<std::uint32_t>(callers_started_ + 1 + from));
    command.mutable_add_callers()->set_count(static_cast<std::uint32_t>(added * (at + 1) / processes - from));
    return command;
  });
  callers_started_ = callers;
  hollow::Answer now;
  poll(kCallersLimitMs, [&] {
    now = read_callers(false);
    return now.callers_applied() == static_cast<std::uint32_t>(callers);
  });
  wait_until_quiet();
  return static_cast<std::uint32_t>(callers) - now.callers_applied();
}

hollow::Answer RealRig::read_callers(bool complete) {
  hollow::Command command;
  command.mutable_look()->set_whole(complete);
  return callers_.command_all(command);
}

std::vector<std::uint32_t> RealRig::servers_of_a_caller() {
  hollow::Answer answer = read_callers(true);
  if (answer.servers_of_first().empty()) throw std::runtime_error("no caller has a server");
  return {answer.servers_of_first().begin(), answer.servers_of_first().end()};
}

void RealRig::wait_until_quiet() {
  std::uint64_t bytes = 0;
  std::int64_t since = steady_ns();
  poll(kQuietLimitMs, [&] {
    std::uint64_t now = read_callers(false).bytes_in();
    if (now != bytes) since = steady_ns();
    bytes = now;
    return ms_between(since, steady_ns()) >= kQuietMs;
  });
}

ReportCost RealRig::measure_reports(int duration_ms) {
  hollow::Answer before = servers_.command_all({});
  double control_cpu = control().cpu_ms();
  double servers_cpu = servers_.cpu_ms();
  sleep_ms(duration_ms);
  hollow::Answer after = servers_.command_all({});
  double passed_ms = ms_between(before.at_ns(), after.at_ns());
  double bytes = static_cast<double>(after.report_bytes() - before.report_bytes());
  double reports = static_cast<double>(after.reports_sent() - before.reports_sent());
  return {.control_cores = (control().cpu_ms() - control_cpu) / passed_ms,
          .servers_cores = (servers_.cpu_ms() - servers_cpu) / passed_ms,
          .bytes_per_server = bytes / options_.plan.servers / passed_ms * 1e3,
          .reports_per_second = reports / passed_ms * 1e3};
}

void RealRig::start_change(ChangeKind kind, const std::vector<std::uint32_t>& servers,
                           hollow::Answer& started) {
  bool present = kind == ChangeKind::kReturn || kind == ChangeKind::kRegain;
  hollow::Command expect;
  expect.mutable_expect()->mutable_servers()->Add(servers.begin(), servers.end());
  expect.mutable_expect()->set_present(present);
  callers_.command_all(expect);
  hollow::Command command;
  if (kind == ChangeKind::kLeave || kind == ChangeKind::kReturn) {
    command.mutable_say()->mutable_servers()->Add(servers.begin(), servers.end());
    command.mutable_say()->set_leaving(!present);
  } else {
    command.mutable_reach()->mutable_servers()->Add(servers.begin(), servers.end());
    command.mutable_reach()->set_up(present);
  }
  started = servers_.command_all(command);
}

ChangeResult RealRig::change(ChangeKind kind, const std::vector<std::uint32_t>& servers) {
  std::uint64_t bytes = read_callers(false).bytes_in();
  double control_cpu = control().cpu_ms();
  double callers_cpu = callers_.cpu_ms();
  hollow::Answer started;
  start_change(kind, servers, started);
  poll(kChangeLimitMs, [&] {
    hollow::Answer now = read_callers(false);
    return now.in_force() == now.touched();
  });
  hollow::Answer end = read_callers(true);
  wait_until_quiet();
  ChangeResult out;
  for (std::int64_t at : end.in_force_at_ns()) out.in_force_ms.push_back(ms_between(started.at_ns(), at));
  out.touched = end.touched();
  out.missed = end.touched() - end.in_force();
  out.bytes = static_cast<double>(read_callers(false).bytes_in() - bytes);
  out.control_cpu_ms = control().cpu_ms() - control_cpu;
  out.callers_cpu_ms = callers_.cpu_ms() - callers_cpu;
  return out;
}

// Simulates the callers of a lost machine that reconnect to another one: all at once, and unknown to it.
ReconnectResult RealRig::reconnect_all() {
  ReconnectResult out;
  const int callers = callers_started_;
  callers_.stop();
  callers_started_ = 0;
  poll(kCallersLimitMs, [&] { return run_query("proxies").rows == 0; });
  start_caller_processes();
  double control_cpu = control().cpu_ms();
  std::int64_t started = steady_ns();
  out.missing = grow_callers(callers);
  out.seconds = ms_between(started, steady_ns()) / 1e3;
  out.control_cpu_s = (control().cpu_ms() - control_cpu) / 1e3;
  out.peak_kb = control().resident_kb();
  out.bytes = static_cast<double>(read_callers(false).bytes_in());
  return out;
}

int RealRig::count_doubled_shards() {
  hollow::Command command;
  command.mutable_list_owners();
  hollow::Answer answer = callers_.command_all(command);
  if (answer.owners_size() == 0) return -1;
  constexpr int kShardDigits = 2;  // the default of a fleet file
  return shards_with_two_owners({answer.owners().begin(), answer.owners().end()}, kShardDigits);
}

long RealRig::trimmed_memory_kb() {
  sleep_ms(kTrimWaitMs);
  return control().resident_kb();
}

QueryCost RealRig::run_query(const std::string& query) {
  QueryCost out;
  std::int64_t started = steady_ns();
  try {
    control::AdminAnswer answer =
        control::AdminClient(net::loopback(static_cast<std::uint16_t>(control_[0].admin))).call(query);
    out.bytes = answer.ByteSizeLong();
    out.rows = answer.rows();
    out.rows_left_out = answer.rows_left_out();
    out.error = answer.error();
  } catch (const std::exception& error) {
    out.error = error.what();
  }
  out.ms = ms_between(started, steady_ns());
  return out;
}

}  // namespace myrtlecroft::capacity
