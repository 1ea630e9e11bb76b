// Measures what a fleet of the planned size costs one real control instance over real sockets: hollow servers
// that report, hollow callers that apply, single changes, the loss of a rack and of a zone, a reconnect of
// all callers, and admin queries (measure/capacity/real_rig.h). Everything runs on one machine, so the load
// shares the CPUs with the measured process.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include "capacity/generated_fleet.h"
#include "capacity/real_figures.h"
#include "capacity/real_rig.h"
#include "capacity/real_server_process.h"
#include "capacity/slope.h"

namespace {

using namespace myrtlecroft;
using capacity::ChangeKind;
using capacity::ChangeResult;

constexpr int kReportsMs = 4000;
constexpr int kRackServers = 40;
constexpr int kFewCallers = 100;  // with fleets of increasing size; fewer when the plan has few callers
constexpr int kChanges = 6;
constexpr double kServerCounts[] = {500, 1500, 3000, 6100};
constexpr double kCallerCounts[] = {300, 1000, 3000, 10'000};

constexpr int kDeduplicatedEvery = 100;
constexpr int kServerProcessesMs = 2500;
constexpr int kServerProcessesRounds = 3;
constexpr int kRequestClassCounts[] = {4, 20, 60, 200};
constexpr int kInstanceCounts[] = {1, 3, 5};

class Measurement {
 public:
  Measurement(capacity::RigOptions options, std::string folder)
      : options_(std::move(options)), folder_(std::move(folder)) {}

  int run() {
    std::printf("load average at the start: %.1f\n", capacity::load_average());
    measure_server_side();
    for (double size : kServerCounts) {
      auto servers = static_cast<int>(size * options_.plan.servers / kServerCounts[3]);
      measure_fleet(servers, servers == options_.plan.servers);
    }
    by_servers_.print();
    by_callers_.print();
    std::printf("load average at the end: %.1f\n", capacity::load_average());
    figures_.print(options_.plan);
    return figures_.failures() == 0 ? 0 : 1;
  }

 private:
  void measure_fleet(int servers, bool is_planned_size) {
    capacity::RigOptions options = options_;
    options.plan.servers = servers;
    const int few = few_callers();
    if (!is_planned_size) options.plan.callers = few;
    options.folder = folder_ + "/" + std::to_string(servers);
    std::filesystem::create_directory(options.folder);
    capacity::Stopwatch watch;
    capacity::RealRig rig(options);
    if (!rig.start_servers())
      figures_.record_failure("not all of " + std::to_string(servers) + " servers came up");
    std::printf("%d servers are up after %.1f s, load average %.1f\n", servers, watch.seconds(),
                capacity::load_average());
    // A few callers: their sets show when all servers are in service and no change is pending.
    add_callers(rig, few);
    measure_reports(rig);
    measure_queries(rig);
    add_changes(by_servers_, "servers", servers, measure_changes(rig));
    if (is_planned_size) measure_callers(rig);
  }

  // Measures real server processes by request classes and by the control instances that they report to, less
  // the CPU time of a server that doesn't report.
  void measure_server_side() {
    std::vector<capacity::ServerProcessOptions> options;
    for (int request_classes : kRequestClassCounts) {
      options.push_back({.request_classes = request_classes, .instances = 0});
      for (int instances : kInstanceCounts)
        options.push_back({.request_classes = request_classes, .instances = instances});
    }
    auto rounds =
        capacity::measure_server_processes(folder_, options, kServerProcessesRounds, kServerProcessesMs);
    capacity::SlopeReport slope_report;
    std::vector<double> idle;
    for (std::size_t i = 0; i < options.size(); ++i) {
      std::vector<double> cpu_us, bytes;
      for (std::size_t round = 0; round < rounds.size(); ++round) {
        if (options[i].instances == 0) idle.resize(rounds.size()), idle[round] = rounds[round][i].cores;
        cpu_us.push_back(std::max(0.0, rounds[round][i].cores - idle[round]) * 1e6);
        bytes.push_back(rounds[round][i].bytes_per_second);
      }
      if (options[i].instances == 0) continue;
      std::string to = "_to_" + std::to_string(options[i].instances);
      slope_report.add({"server_report_bytes" + to, "endpoint_groups", "B/s"}, options[i].request_classes,
                       bytes);
      slope_report.add({"server_report_cpu" + to, "endpoint_groups", "us/s"}, options[i].request_classes,
                       cpu_us);
      if (options[i].request_classes != options_.reported_classes ||
          options[i].instances != kInstanceCounts[1])
        continue;
      figures_.node_bytes_s = capacity::compute_spread(bytes).median;
      figures_.node_core_share = capacity::compute_spread(cpu_us).median / 1e6;
    }
    slope_report.print();
  }

  void measure_reports(capacity::RealRig& rig) {
    std::vector<double> control, servers;
    capacity::ReportCost cost;
    for (int i = 0; i < 3; ++i) {
      cost = rig.measure_reports(kReportsMs / 3);
      control.push_back(cost.control_cores);
      servers.push_back(cost.servers_cores / rig.plan().servers * 1e6);
    }
    figures_.control_cpu_reports = capacity::compute_spread(control).median;
    double size = rig.plan().servers;
    by_servers_.add({"control_cpu_of_reports", "servers", "cores"}, size, control);
    by_servers_.add({"hollow_server_cpu_of_reports", "servers", "us/s"}, size, servers);
    std::printf("%.0f servers: %.0f reports/s, %.0f B/s a server, control %.2f cores\n", size,
                cost.reports_per_second, cost.bytes_per_server, figures_.control_cpu_reports);
  }

  void measure_queries(capacity::RealRig& rig) {
    for (const char* query : {"nodes", "proxies", "snapshot"}) {
      std::vector<double> times_ms;
      capacity::QueryCost cost;
      for (int i = 0; i < 3 && cost.error.empty(); ++i) {
        cost = rig.run_query(query);
        times_ms.push_back(cost.ms);
      }
      std::printf("%d servers, %d callers: `%s` %.1f ms, %zu bytes, %u rows left out%s%s\n",
                  rig.plan().servers, rig.callers(), query, capacity::compute_spread(times_ms).median,
                  cost.bytes, cost.rows_left_out, cost.error.empty() ? "" : "; FAILED: ", cost.error.c_str());
      if (query == std::string("nodes"))
        figures_.nodes_answer_ms = cost.error.empty() ? capacity::compute_spread(times_ms).median : -1;
    }
  }

  // Results of single-server changes made one after another; in_force_ms has a value for each touched caller.
  struct SingleChanges {
    std::vector<double> in_force_ms, bytes, control_cpu_ms, caller_cpu_us;
  };
  SingleChanges measure_changes(capacity::RealRig& rig) {
    SingleChanges out;
    std::vector<std::uint32_t> candidates = rig.servers_of_a_caller();
    for (int i = 0; i < kChanges; ++i) {
      std::uint32_t server = candidates.at(static_cast<std::size_t>(i / 2 * 7) % candidates.size());
      ChangeResult result = rig.change(i % 2 == 0 ? ChangeKind::kLeave : ChangeKind::kReturn, {server});
      record_change("single", result);
      out.in_force_ms.insert(out.in_force_ms.end(), result.in_force_ms.begin(), result.in_force_ms.end());
      double touched = std::max(1u, result.touched);
      out.bytes.push_back(result.bytes / touched);
      out.control_cpu_ms.push_back(result.control_cpu_ms);
      out.caller_cpu_us.push_back(result.callers_cpu_ms * 1e3 / touched);
    }
    return out;
  }

  void record_change(const char* what, const ChangeResult& result) {
    figures_.lost += static_cast<int>(result.missed);
    if (result.touched == 0) figures_.record_failure(std::string(what) + " touched no caller");
    if (result.missed == 0) return;
    std::printf("%s: %u of %u touched callers did not have it in force in time\n", what, result.missed,
                result.touched);
  }

  void add_changes(capacity::SlopeReport& slope_report, const std::string& by, double size,
                   const SingleChanges& changes) {
    slope_report.add({"change_in_force_p50", by, "ms"}, size, {capacity::quantile(changes.in_force_ms, 0.5)});
    slope_report.add({"change_in_force_p99", by, "ms"}, size,
                     {capacity::quantile(changes.in_force_ms, 0.99)});
    slope_report.add({"change_bytes_of_touched_caller", by, "B"}, size, changes.bytes);
    slope_report.add({"change_control_cpu", by, "ms"}, size, changes.control_cpu_ms);
    slope_report.add({"change_caller_cpu", by, "us"}, size, changes.caller_cpu_us);
  }

  int few_callers() const {
    return std::clamp(static_cast<int>(kFewCallers * options_.plan.callers / kCallerCounts[3]), 1,
                      kFewCallers);
  }

  void add_callers(capacity::RealRig& rig, int callers) {
    capacity::Stopwatch watch;
    std::uint32_t missing = rig.grow_callers(callers);
    if (missing > 0) figures_.record_failure(std::to_string(missing) + " callers received no set");
    std::printf("%d callers are up after %.1f s, load average %.1f; callers' processes hold %ld MB\n",
                callers, watch.seconds(), capacity::load_average(), rig.callers_resident_kb() / 1024);
  }

  void measure_callers(capacity::RealRig& rig) {
    const long few_kb = rig.trimmed_memory_kb();
    const int few = rig.callers();
    for (double size : kCallerCounts) {
      auto callers = static_cast<int>(size * options_.plan.callers / kCallerCounts[3]);
      add_callers(rig, callers);
      figures_.kb_per_caller = static_cast<double>(rig.trimmed_memory_kb() - few_kb) / (callers - few);
      by_callers_.add({"control_memory_of_caller", "callers", "kB"}, callers, {figures_.kb_per_caller});
      SingleChanges changes = measure_changes(rig);
      add_changes(by_callers_, "callers", callers, changes);
      figures_.set_change_figures(changes.in_force_ms, changes.bytes);
    }
    measure_bursts(rig);
    check_at_rest(rig);
    measure_reconnect(rig);
    measure_queries(rig);
    check_at_rest(rig);
  }

  void measure_bursts(capacity::RealRig& rig) {
    int zone = rig.plan().servers / rig.plan().zones;
    figures_.burst40_p99_ms = measure_burst(rig, std::min(kRackServers, zone));
    figures_.burst380_p99_ms = measure_burst(rig, zone);
  }

  double measure_burst(capacity::RealRig& rig, int size) {
    std::vector<std::uint32_t> servers = capacity::servers_of_first_zone(rig.plan(), size);
    std::vector<double> all;
    for (ChangeKind kind : {ChangeKind::kLose, ChangeKind::kRegain}) {
      ChangeResult result = rig.change(kind, servers);
      const char* what = kind == ChangeKind::kLose ? "lost" : "back";
      record_change(what, result);
      std::printf(
          "%zu servers %s at once: p50 %.0f ms, p99 %.0f ms at %u callers; %.0f kB a caller, control %.0f ms "
          "CPU\n",
          servers.size(), what, capacity::quantile(result.in_force_ms, 0.5),
          capacity::quantile(result.in_force_ms, 0.99), result.touched,
          result.bytes / 1e3 / std::max(1u, result.touched), result.control_cpu_ms);
      all.insert(all.end(), result.in_force_ms.begin(), result.in_force_ms.end());
    }
    return capacity::quantile(all, 0.99);
  }

  void measure_reconnect(capacity::RealRig& rig) {
    capacity::ReconnectResult result = rig.reconnect_all();
    figures_.reconnect_s = result.seconds;
    if (result.missing > 0)
      figures_.record_failure(std::to_string(result.missing) + " callers did not reconnect");
    std::printf(
        "%d callers come at once: all have their set after %.1f s, %u missing; control %.1f s CPU, %ld MB "
        "then, "
        "%.0f MB sent\n",
        rig.callers(), result.seconds, result.missing, result.control_cpu_s, result.peak_kb / 1024,
        result.bytes / 1e6);
  }

  // Compares the callers' sets with the changes that were made, once no change is pending.
  void check_at_rest(capacity::RealRig& rig) {
    hollow::Answer answer = rig.read_callers(true);
    figures_.lost += static_cast<int>(answer.stale());
    figures_.half_applied += static_cast<int>(answer.half_applied());
    figures_.doubled = rig.count_doubled_shards();
    std::printf("at rest: %u callers with an old set, %u half-applied %s, %llu endpoints a caller\n",
                answer.stale(), answer.half_applied(), answer.half_applied_last().c_str(),
                static_cast<unsigned long long>(answer.endpoints_held() / std::max(1u, answer.callers())));
  }

  capacity::RigOptions options_;
  std::string folder_;
  capacity::SlopeReport by_servers_;
  capacity::SlopeReport by_callers_;
  capacity::RealFigures figures_;
};

}  // namespace

int main(int argc, char** argv) {
  capacity::RigOptions options;
  capacity::FleetPlan& plan = options.plan;
  CLI::App app("Measures one real control instance with hollow servers and callers");
  app.add_option("--servers", plan.servers)->capture_default_str();
  app.add_option("--callers", plan.callers)->capture_default_str();
  app.add_option("--services", plan.services)->capture_default_str();
  app.add_option("--subsetting", plan.subset_size,
                 "Servers of a service in a caller's subset; 0: every caller receives all servers");
  app.add_option(
      "--deduplicated-every", plan.deduplicated_every,
      "Every Nth service is deduplicated; default: every 100th with subsetting, else the last one");
  app.add_option("--report-every-ms", options.report_every_ms)->capture_default_str();
  app.add_option("--report-groups", options.reported_classes, "Endpoint groups in each report")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  if (plan.deduplicated_every == 0)
    plan.deduplicated_every = plan.uses_subsetting() ? kDeduplicatedEvery : plan.services;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  options.hollow_program = MYRTLECROFT_HOLLOW_FLEET;
  capacity::TemporaryFolder folder;
  try {
    return Measurement(options, folder.path()).run();
  } catch (const std::exception& error) {
    std::printf("the measurement failed: %s\n", error.what());
    return 1;
  }
}
