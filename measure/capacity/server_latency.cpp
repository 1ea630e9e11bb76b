#include "server_latency.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <stdexcept>

#include "../../standin/control_fleet.h"
#include "server_relay.h"
#include "server_rig.h"

namespace myrtlecroft::capacity {
namespace {

constexpr double kRates[] = {250, 500, 1'000, 2'000};
constexpr int kRuns = 8;
constexpr int kStretches = 5;  // intervals of each side in a run; the sides alternate
constexpr Nanos kStretch = 200 * kMs;
constexpr Nanos kWarm = 500 * kMs;
constexpr Nanos kRelayWithin = 5 * kSecond;
constexpr Sizes kSizes{.tenants = static_cast<int>(kPlannedTenants), .request_classes = 3};

double quantile(std::vector<double> samples, double share) {
  if (samples.empty()) throw std::runtime_error("no request was completed");
  auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + place, samples.end());
  return samples[static_cast<std::size_t>(place)];
}

// Results through the server, or through the relay, at one rate in one run.
struct Side {
  std::vector<double> completed_us;
  std::vector<double> p99_of_stretches;
  int offered = 0;
  int rejected = 0;
  int failed = 0;

  void add(const LoadResult& result) {
    completed_us.insert(completed_us.end(), result.completed_us.begin(), result.completed_us.end());
    p99_of_stretches.push_back(quantile(result.completed_us, 0.99));
    offered += result.offered;
    rejected += result.rejected;
    failed += result.failed;
  }
  double p50() const { return quantile(completed_us, 0.5); }
  double p99() const { return quantile(completed_us, 0.99); }
  // The median over the intervals excludes a pause of the whole machine, which affects either side by chance.
  double p99_of_a_stretch() const { return compute_spread(p99_of_stretches).median; }
};

// The figures of one rate, with one value for each run.
struct Samples {
  std::vector<double> server_p50;
  std::vector<double> server_p99;
  std::vector<double> relay_p50;
  std::vector<double> relay_p99;
  std::vector<double> added_p50;
  std::vector<double> added_p99;
  std::vector<double> added_p99_of_a_stretch;
  int offered = 0;
  int rejected = 0;
  int failed = 0;

  void add(const Side& server, const Side& relay) {
    server_p50.push_back(server.p50());
    server_p99.push_back(server.p99());
    relay_p50.push_back(relay.p50());
    relay_p99.push_back(relay.p99());
    added_p50.push_back(server.p50() - relay.p50());
    added_p99.push_back(server.p99() - relay.p99());
    added_p99_of_a_stretch.push_back(server.p99_of_a_stretch() - relay.p99_of_a_stretch());
    offered += server.offered + relay.offered;
    rejected += server.rejected + relay.rejected;
    failed += server.failed + relay.failed;
  }
};

class RelayRig {
 public:
  explicit RelayRig(net::Loop& loop) : responder_(loop), port_(standin::free_port(taken_)) {
    process_ = standin::ChildProcess(
        {"/proc/self/exe", "relay", std::to_string(port_), std::to_string(responder_.port())}, "/dev/null");
    load_ = std::make_unique<Load>(loop, static_cast<std::uint16_t>(port_), any_of(kSizes));
    if (!load_->wait_for_answer(kRelayWithin)) throw std::runtime_error("the relay does not answer");
  }
  Load& load() { return *load_; }

 private:
  std::set<int> taken_;
  Responder responder_;
  int port_;
  standin::ChildProcess process_;
  std::unique_ptr<Load> load_;
};

void run_once(double rate, Load& server, Load& relay, Samples& samples) {
  const LoadOptions stretch{.per_second = rate, .duration = kStretch};
  Side through_server;
  Side through_relay;
  for (int i = 0; i < kStretches; ++i) {
    through_server.add(server.run(stretch));
    through_relay.add(relay.run(stretch));
  }
  samples.add(through_server, through_relay);
}

void tell(double rate, const Samples& samples) {
  std::printf(
      "rate %.0f/s: server p50 %.0f p99 %.0f us, relay p50 %.0f p99 %.0f us (medians of %d runs); "
      "offered %d denied %d failed %d\n",
      rate, compute_spread(samples.server_p50).median, compute_spread(samples.server_p99).median,
      compute_spread(samples.relay_p50).median, compute_spread(samples.relay_p99).median, kRuns,
      samples.offered, samples.rejected, samples.failed);
}

Added worst_of(const Added& one, const Added& other) {
  return {.p50_us = std::max(one.p50_us, other.p50_us),
          .p99_us = std::max(one.p99_us, other.p99_us),
          .p99_of_a_stretch_us = std::max(one.p99_of_a_stretch_us, other.p99_of_a_stretch_us)};
}

}  // namespace

Added measure_added_time(SlopeReport& slope_report) {
  net::Loop loop;
  ServerRig server(loop, kSizes);
  if (server.start() < 0) throw std::runtime_error("the server does not answer");
  RelayRig relay(loop);
  for (Load* load : {&server.load(), &relay.load()}) load->run({.per_second = kRates[0], .duration = kWarm});

  std::vector<Samples> of_rates(std::size(kRates));
  for (int run = 0; run < kRuns; ++run) {
    for (std::size_t i = 0; i < of_rates.size(); ++i) {
      run_once(kRates[i], server.load(), relay.load(), of_rates[i]);
    }
  }

  Added worst;
  for (std::size_t i = 0; i < of_rates.size(); ++i) {
    const Samples& samples = of_rates[i];
    tell(kRates[i], samples);
    slope_report.add({"server_added_p50", "rate", "us"}, kRates[i], samples.added_p50);
    slope_report.add({"server_added_p99", "rate", "us"}, kRates[i], samples.added_p99);
    slope_report.add({"server_added_p99_of_a_stretch", "rate", "us"}, kRates[i],
                     samples.added_p99_of_a_stretch);
    Added here;
    here.p50_us = compute_spread(samples.added_p50).median;
    here.p99_us = compute_spread(samples.added_p99).median;
    here.p99_of_a_stretch_us = compute_spread(samples.added_p99_of_a_stretch).median;
    worst = i == 0 ? here : worst_of(worst, here);
  }
  return worst;
}

}  // namespace myrtlecroft::capacity
