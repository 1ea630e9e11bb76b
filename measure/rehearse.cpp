// Plays an incident with real processes on this machine (rehearse FILE --seed N) or only validates its file
// (rehearse --check FILE).
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "agreement_rig.h"
#include "settings/document.h"

int main(int argc, char** argv) {
  using namespace myrtlecroft;
  CLI::App app(
      "Plays an incident with real control replicas, servers and proxies on this machine (docs/rehearse.md)");
  std::string file;
  rehearsal::RigOptions options;
  bool check = false;
  bool independent = false;
  app.add_option("file", file, "The incident file")->required();
  app.add_option("--seed", options.seed, "Seed of the load and of random faults")->capture_default_str();
  app.add_flag("--check", check, "Only validate the incident file");
  app.add_flag("--alone", independent, "Control services that decide independently, for comparison");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    options.incident = rehearsal::read_incident(file);
    options.replicated = !independent;
    if (check) {
      std::printf("%s: valid: %d instances, %d servers, %d proxies, %zu steps\n", file.c_str(),
                  options.incident.instances, options.incident.nodes, options.incident.proxies,
                  options.incident.steps.size());
      return 0;
    }
    rehearsal::RigResult result = rehearsal::play(options);
    std::fputs(result.timeline.c_str(), stdout);
    if (!result.first_violation.empty())
      std::printf("first violation: %s; logs in %s\n", result.first_violation.c_str(), result.folder.c_str());
    for (const rehearsal::ReleaseOutcome& release : result.releases) {
      std::printf("release to %d, %s: %s after %.1f s, reached %.2f%s\n", release.planned.version,
                  rehearsal::name_of(release.planned.defect), release.outcome.c_str(), release.duration_s,
                  release.max_updated_share, release.stopped ? ("; stopped: " + release.reason).c_str() : "");
    }
    if (!result.releases.empty())
      std::printf(
          "out by choice at most %d of %d, of one service %d of %d; over %d, unpermitted %d, drain "
          "violations %d\n",
          result.unavailable.max, result.unavailable.allowed, result.unavailable.service_max,
          result.unavailable.service_allowed, result.violations.over_budget,
          result.violations.unpermitted_exits, result.violations.drain_violations);
    std::printf(
        "measured rehearse seed=%u faults=%d offered=%d completed=%d runs=%d doubled=%d lost=%d "
        "split_owners=%d stale_acted=%d "
        "lost_entries=%d not_back=%d failovers=%d failover_p50_ms=%.0f failover_p99_ms=%.0f benefit=%.3f\n",
        options.seed, result.faults, result.load.offered, result.load.completed, result.load.runs,
        result.violations.duplicate_runs, result.violations.lost_requests, result.violations.split_owners,
        result.violations.stale_epochs, result.violations.lost_entries, result.violations.not_recovered,
        result.failovers.count, result.failovers.p50_ms, result.failovers.p99_ms,
        result.load.completed_share());
    return result.violations.total() > 0;
  } catch (const settings::DocumentError& error) {
    std::fprintf(stderr, "rehearse: %s\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rehearse: %s\n", error.what());
    return 1;
  }
}
