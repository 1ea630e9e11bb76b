#include "server_latency.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <stdexcept>

#include "../../standin/port_reservations.h"
#include "server_relay.h"
#include "server_rig.h"

namespace myrtlecroft::capacity {
namespace {

constexpr double kRates[] = {250, 500, 1'000, 2'000};
constexpr int kRuns = 8;
constexpr int kIntervals = 5;  // intervals of each side in a run; the sides alternate
constexpr Nanos kInterval = 200 * kMs;
constexpr Nanos kWarmUp = 500 * kMs;
constexpr Nanos kRelayStartLimit = 5 * kSecond;
constexpr ConfigSizes kSizes{.tenants = static_cast<int>(kPlannedTenants), .request_classes = 3};

double quantile(std::vector<double> samples, double share) {
  if (samples.empty()) throw std::runtime_error("no request was completed");
  auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + index, samples.end());
  return samples[static_cast<std::size_t>(index)];
}

// Results through the server, or through the relay, at one rate in one run.
struct SideResult {
  std::vector<double> completed_us;
  std::vector<double> interval_p99s;
  int offered = 0;
  int rejected = 0;
  int failed = 0;

  void add(const LoadResult& result) {
    completed_us.insert(completed_us.end(), result.completed_us.begin(), result.completed_us.end());
    interval_p99s.push_back(quantile(result.completed_us, 0.99));
    offered += result.offered;
    rejected += result.rejected;
    failed += result.failed;
  }
  double p50() const { return quantile(completed_us, 0.5); }
  double p99() const { return quantile(completed_us, 0.99); }
  // The median over the intervals excludes a pause of the whole machine, which affects either side by chance.
  double median_interval_p99() const { return compute_spread(interval_p99s).median; }
};

// The figures of one rate, with one value for each run.
struct Samples {
  std::vector<double> server_p50;
  std::vector<double> server_p99;
  std::vector<double> relay_p50;
  std::vector<double> relay_p99;
  std::vector<double> added_p50;
  std::vector<double> added_p99;
  std::vector<double> added_interval_p99;
  int offered = 0;
  int rejected = 0;
  int failed = 0;

  void add(const SideResult& server, const SideResult& relay) {
    server_p50.push_back(server.p50());
    server_p99.push_back(server.p99());
    relay_p50.push_back(relay.p50());
    relay_p99.push_back(relay.p99());
    added_p50.push_back(server.p50() - relay.p50());
    added_p99.push_back(server.p99() - relay.p99());
    added_interval_p99.push_back(server.median_interval_p99() - relay.median_interval_p99());
    offered += server.offered + relay.offered;
    rejected += server.rejected + relay.rejected;
    failed += server.failed + relay.failed;
  }
};

class RelayRig {
 public:
  explicit RelayRig(net::Loop& loop) : responder_(loop), port_(ports_.reserve()) {
    process_ = standin::ChildProcess(
        {"/proc/self/exe", "relay", std::to_string(port_), std::to_string(responder_.port())}, "/dev/null");
    load_ = std::make_unique<Load>(loop, static_cast<std::uint16_t>(port_), random_target(kSizes));
    if (!load_->wait_for_answer(kRelayStartLimit)) throw std::runtime_error("the relay does not answer");
  }
  Load& load() { return *load_; }

 private:
  standin::PortReservations ports_;
  Responder responder_;
  int port_;
  standin::ChildProcess process_;
  std::unique_ptr<Load> load_;
};

void run_once(double rate, Load& server, Load& relay, Samples& samples) {
  const LoadOptions interval{.per_second = rate, .duration = kInterval};
  SideResult through_server;
  SideResult through_relay;
  for (int i = 0; i < kIntervals; ++i) {
    through_server.add(server.run(interval));
    through_relay.add(relay.run(interval));
  }
  samples.add(through_server, through_relay);
}

void print_rate(double rate, const Samples& samples) {
  std::printf(
      "rate %.0f/s: server p50 %.0f p99 %.0f us, relay p50 %.0f p99 %.0f us (medians of %d runs); "
      "offered %d denied %d failed %d\n",
      rate, compute_spread(samples.server_p50).median, compute_spread(samples.server_p99).median,
      compute_spread(samples.relay_p50).median, compute_spread(samples.relay_p99).median, kRuns,
      samples.offered, samples.rejected, samples.failed);
}

AddedLatency max_of(const AddedLatency& one, const AddedLatency& other) {
  return {.p50_us = std::max(one.p50_us, other.p50_us),
          .p99_us = std::max(one.p99_us, other.p99_us),
          .median_interval_p99_us = std::max(one.median_interval_p99_us, other.median_interval_p99_us)};
}

}  // namespace

AddedLatency measure_added_latency(SlopeReport& slope_report) {
  net::Loop loop;
  ServerRig server(loop, kSizes);
  if (server.start() < 0) throw std::runtime_error("the server does not answer");
  RelayRig relay(loop);
  for (Load* load : {&server.load(), &relay.load()})
    load->run({.per_second = kRates[0], .duration = kWarmUp});

  std::vector<Samples> samples_by_rate(std::size(kRates));
  for (int run = 0; run < kRuns; ++run) {
    for (std::size_t i = 0; i < samples_by_rate.size(); ++i) {
      run_once(kRates[i], server.load(), relay.load(), samples_by_rate[i]);
    }
  }

  AddedLatency worst;
  for (std::size_t i = 0; i < samples_by_rate.size(); ++i) {
    const Samples& samples = samples_by_rate[i];
    print_rate(kRates[i], samples);
    slope_report.add({"server_added_p50", "rate", "us"}, kRates[i], samples.added_p50);
    slope_report.add({"server_added_p99", "rate", "us"}, kRates[i], samples.added_p99);
    slope_report.add({"server_added_p99_of_a_stretch", "rate", "us"}, kRates[i], samples.added_interval_p99);
    AddedLatency at_rate;
    at_rate.p50_us = compute_spread(samples.added_p50).median;
    at_rate.p99_us = compute_spread(samples.added_p99).median;
    at_rate.median_interval_p99_us = compute_spread(samples.added_interval_p99).median;
    worst = i == 0 ? at_rate : max_of(worst, at_rate);
  }
  return worst;
}

}  // namespace myrtlecroft::capacity
