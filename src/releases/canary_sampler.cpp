#include "releases/canary_sampler.h"

#include <algorithm>

namespace myrtlecroft::releases {
namespace {

constexpr Nanos kMinMeasuredTime = 500 * kMs;  // minimum time in full service for a server to be compared

// Adds the metrics of one server to the samples.
class ServerSample {
 public:
  ServerSample(const agreement::Plan& plan, const report::LoadReport& start, bool is_canary,
               CanarySamples& samples)
      : plan_(plan), start_(start), is_canary_(is_canary), samples_(samples) {}

  // Adds the metrics of one request class. Returns how many of its requests were completed.
  double add(const report::RequestClassCounts& counts) {
    double received = increase(counts, &report::RequestClassCounts::read);
    double completed = increase(counts, &report::RequestClassCounts::completed);
    if (!is_analysed(counts.request_class)) return completed;
    if (is_canary_) record_fewest(counts.request_class, static_cast<unsigned>(received));
    if (received < plan_.least_exchanges()) return completed;
    add_sample(counts.request_class + kNotServedMetric, 1 - completed / received);
    if (completed >= plan_.least_exchanges()) {
      double in_time = increase(counts, &report::RequestClassCounts::in_time);
      add_sample(counts.request_class + kLateMetric, 1 - in_time / completed);
    }
    return completed;
  }

 private:
  bool is_analysed(const std::string& request_class) const {
    return plan_.groups_size() == 0 ||
           std::find(plan_.groups().begin(), plan_.groups().end(), request_class) != plan_.groups().end();
  }
  double increase(const report::RequestClassCounts& counts,
                  std::uint64_t report::RequestClassCounts::*counter) const {
    auto before =
        std::find_if(start_.request_classes.begin(), start_.request_classes.end(),
                     [&](const auto& other) { return other.request_class == counts.request_class; });
    std::uint64_t base = before != start_.request_classes.end() ? (*before).*counter : 0;
    return static_cast<double>(counts.*counter - base);
  }
  void record_fewest(const std::string& request_class, unsigned received) {
    auto [fewest, first] = samples_.fewest_canary_requests.emplace(request_class, received);
    if (!first) fewest->second = std::min(fewest->second, received);
  }
  void add_sample(const std::string& metric, double value) {
    SampleGroups& groups = samples_.metrics[metric];
    (is_canary_ ? groups.canary : groups.baseline).push_back(std::clamp(value, 0.0, 1.0));
  }

  const agreement::Plan& plan_;
  const report::LoadReport& start_;
  bool is_canary_;
  CanarySamples& samples_;
};

SampleGroups relative_to_baseline(const SampleGroups& samples, double baseline_median) {
  SampleGroups out;
  for (double value : samples.canary) out.canary.push_back(value / baseline_median);
  for (double value : samples.baseline) out.baseline.push_back(value / baseline_median);
  return out;
}

}  // namespace

void CanarySampler::restart(MeasurementStart& start, const routing::ServerStatus& server, Nanos now) {
  start.in_full_service = server.at_full_capacity();
  start.since = now;
  start.report = server.report;
}

void CanarySampler::begin(const std::vector<routing::ServerStatus>& servers, Nanos now) {
  started_at_ = now;
  starts_.clear();
  for (const routing::ServerStatus& server : servers) restart(starts_[server.node.name], server, now);
}

void CanarySampler::watch(const std::vector<routing::ServerStatus>& servers, Nanos now) {
  for (const routing::ServerStatus& server : servers) {
    MeasurementStart& start = starts_[server.node.name];
    bool is_same_incarnation = start.report.incarnation == server.report.incarnation;
    if (start.in_full_service && is_same_incarnation && routing::has_failed(server.state) &&
        !server.out_for_maintenance)
      start.failed = true;
    if (server.at_full_capacity() != start.in_full_service || !is_same_incarnation)
      restart(start, server, now);
  }
}

CanarySamples CanarySampler::sample(const AnalysisInput& input) const {
  CanarySamples out;
  SampleGroups core_time;  // ns per completed request
  for (const routing::ServerStatus& server : input.servers) {
    bool is_canary = input.canary.contains(server.node.name);
    if (!is_canary && !input.baseline.contains(server.node.name)) continue;
    auto found = starts_.find(server.node.name);
    if (found == starts_.end()) continue;
    const MeasurementStart& start = found->second;
    (is_canary ? out.failed_canaries : out.failed_baselines) += start.failed;
    if (!start.in_full_service || input.now - start.since < kMinMeasuredTime) continue;
    out.measured_canaries += is_canary;
    ServerSample server_sample(input.plan, start.report, is_canary, out);
    double completed = 0;
    for (const report::RequestClassCounts& counts : server.report.request_classes)
      completed += server_sample.add(counts);
    if (completed < input.plan.least_exchanges()) continue;
    double core_time_spent = static_cast<double>(server.report.core_time - start.report.core_time);
    (is_canary ? core_time.canary : core_time.baseline).push_back(core_time_spent / completed);
  }
  double baseline_median = median(core_time.baseline);
  if (baseline_median > 0) out.metrics[kCoreTimeMetric] = relative_to_baseline(core_time, baseline_median);
  return out;
}

}  // namespace myrtlecroft::releases
