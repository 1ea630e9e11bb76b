// Collects the metrics by which canary servers are compared with baseline servers: for each server, what its
// load reports counted since the measurement began. Called by CanaryAnalysis, on the control loop's thread.
// Owns the report of each server from which its counters are subtracted. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "agreement.pb.h"
#include "releases/rank_statistics.h"
#include "routing/server_registry.h"

namespace myrtlecroft::releases {

// One analysis round: what is compared, and when.
struct AnalysisInput {
  const agreement::Plan& plan;
  const std::vector<routing::ServerStatus>& servers;
  const std::set<std::string>& canary;    // servers that run the new version
  const std::set<std::string>& baseline;  // servers that still run another version
  unsigned rounds = 1;  // analysis rounds of the whole release, over which the false alarm rate is divided
  Nanos now = 0;
};

const std::string kNotServedMetric = " not served";  // suffix of a request class: share of its requests
const std::string kLateMetric = " late";             // suffix of a request class: share of its answers
const std::string kCoreTimeMetric = "core time";     // of a request, relative to the baseline's median

struct CanarySamples {
  std::map<std::string, SampleGroups> metrics;             // by name
  std::map<std::string, unsigned> fewest_canary_requests;  // by request class: of the canary with the fewest
  unsigned failed_canaries = 0;                            // failed since the measurement began
  unsigned failed_baselines = 0;
  unsigned measured_canaries = 0;  // in service for long enough to be measured
};

class CanarySampler {
 public:
  // Restarts the measurement of every server.
  void begin(const std::vector<routing::ServerStatus>& servers, Nanos now);
  // Call at every tick: a server that leaves service or comes back as another incarnation is measured anew.
  void watch(const std::vector<routing::ServerStatus>& servers, Nanos now);
  Nanos begun() const { return begun_; }

  // The metrics of all servers of both groups since begin().
  CanarySamples sample(const AnalysisInput& input) const;

 private:
  struct MeasurementStart {
    bool in_full_service = false;  // without a break since `since`
    bool failed = false;           // left service by a fault since begin()
    Nanos since = 0;
    report::LoadReport report;
  };
  static void restart(MeasurementStart& start, const routing::ServerStatus& server, Nanos now);

  std::map<std::string, MeasurementStart> starts_;
  Nanos begun_ = 0;
};

}  // namespace myrtlecroft::releases
