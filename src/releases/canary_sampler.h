// Collects the metrics by which canary servers are compared with baseline servers: for each server, the
// increase of its load reports' counters since the measurement began. Called by CanaryAnalysis, on the
// control loop's thread. Owns the first report of each server's measurement, whose counters are subtracted.
// No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "releases/rank_statistics.h"
#include "routing/server_registry.h"

namespace myrtlecroft::releases {

// Input of one analysis round.
struct AnalysisInput {
  const agreement::Plan& plan;
  const std::vector<routing::ServerStatus>& servers;
  const std::set<std::string>& canary;    // servers that run the new version
  const std::set<std::string>& baseline;  // servers that still run another version
  unsigned rounds = 1;  // analysis rounds of the whole release, by which the false halt rate is divided
  Nanos now = 0;
};

const std::string kNotServedMetric = " not served";  // follows a request class: share of its requests
const std::string kLateMetric = " late";             // follows a request class: share of its answers
const std::string kCoreTimeMetric = "core time";  // per completed request, relative to the baseline's median

// The samples of one analysis round.
struct CanarySamples {
  std::map<std::string, SampleGroups> metrics;             // by name
  std::map<std::string, unsigned> fewest_canary_requests;  // by class: the fewest at any canary
  unsigned failed_canaries = 0;                            // failed since begin()
  unsigned failed_baselines = 0;
  unsigned measured_canaries = 0;  // in service for long enough to be measured
};

// Measures each server's counters from begin() or from its latest return to full service. Not thread-safe.
class CanarySampler {
 public:
  // Restarts the measurement of every server.
  void begin(const std::vector<routing::ServerStatus>& servers, Nanos now);
  // Call at every tick. Restarts the measurement of each server that left service or that came back as
  // another incarnation.
  void watch(const std::vector<routing::ServerStatus>& servers, Nanos now);
  // Time of the last begin().
  Nanos started_at() const { return started_at_; }

  // Returns the metrics of all servers of both groups since begin().
  CanarySamples sample(const AnalysisInput& input) const;

 private:
  struct MeasurementStart {
    bool in_full_service = false;  // without interruption since `since`
    bool failed = false;           // left service because of a fault since begin()
    Nanos since = 0;
    report::LoadReport report;
  };
  static void restart(MeasurementStart& start, const routing::ServerStatus& server, Nanos now);

  std::map<std::string, MeasurementStart> starts_;
  Nanos started_at_ = 0;
};

}  // namespace myrtlecroft::releases
