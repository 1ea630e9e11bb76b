// Measures how quickly a change reaches every proxy, and its cost: INSTANCES (the argument, default 1)
// control replicas and many proxy streams, half of them delta, each on its own connection; changes one after
// another and in bursts.
#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <thread>

#include "../standin/ads_link.h"
#include "../standin/control_fleet.h"
#include "../tests/control_harness.h"
#include "control/admin_client.h"
#include "discovery.pb.h"
#include "fleet/fleet_file.h"
#include "xds/session_table.h"
#include "xds/wire.h"

namespace {

using namespace myrtlecroft;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr int kProxies = 1000;
constexpr int kNodes = 500;
constexpr int kChanges = 16;
constexpr int kBursts = 2;
constexpr int kChangesPerBurst = 20;

double ms_since(TimePoint then) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - then).count();
}

// Records when each proxy has applied one change. observe() is called on the threads of the proxy streams.
struct ConvergenceWatch {
  std::mutex mutex;
  std::string node;
  bool expected_present = false;  // whether the server is expected among the endpoints
  TimePoint changed_at;
  std::vector<bool> seen = std::vector<bool>(kProxies);
  std::vector<double> convergence_ms;

  void begin(std::string changed_node, bool expected) {
    std::lock_guard lock(mutex);
    node = std::move(changed_node);
    expected_present = expected;
    changed_at = std::chrono::steady_clock::now();
    std::fill(seen.begin(), seen.end(), false);
  }
  void observe(std::size_t proxy, const standin::AppliedSet& set) {
    auto found = set.endpoints.find("group/read");
    if (found == set.endpoints.end()) return;
    std::lock_guard lock(mutex);
    if (seen[proxy] || node.empty()) return;
    const auto& all = found->second->endpoints();
    bool now = std::any_of(all.begin(), all.end(),
                           [&](const auto& one) { return one.locality().sub_zone() == node; });
    if (now != expected_present) return;
    seen[proxy] = true;
    convergence_ms.push_back(ms_since(changed_at));
  }
  bool all_seen() {
    std::lock_guard lock(mutex);
    return std::all_of(seen.begin(), seen.end(), [](bool one) { return one; });
  }
};

double quantile(std::vector<double> values, double at) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
}

// Measures the CPU time of one push to all proxies in one process, without a network: with resources that are
// serialised once and shared, and with a message that is serialised for each proxy.
void compare_serialization(const std::string& fleet_path, double& shared_ms, double& each_ms) {
  fleet::Fleet fleet = fleet::read_fleet(fleet_path);
  routing::Router router(fleet, std::nullopt, true, kSecond, [](const std::string&) {});
  auto published = router.step(kSecond);
  routing::PublishedSnapshot other = *published;
  other.number = 2;
  other.snapshot.nodes[0].weight += 50;
  auto first = xds::build_resource_set(*published, nullptr);
  xds::SessionTable table([](const std::string&) {});
  table.publish(first);
  std::vector<xds::StreamId> streams;
  for (int i = 0; i < kProxies; ++i) {
    auto id = table.open(i % 2 ? xds::ProtocolVariant::kDelta : xds::ProtocolVariant::kStateOfTheWorld, "");
    streams.push_back(id);
    std::vector<std::string> names;
    for (const auto& [name, resource] : first->of(xds::ResourceType::kEndpoints)) names.push_back(name);
    for (xds::ResourceType type : {xds::ResourceType::kClusters, xds::ResourceType::kEndpoints,
                                   xds::ResourceType::kListeners, xds::ResourceType::kRoutes}) {
      xds::Request request{.type = type};
      if (type == xds::ResourceType::kEndpoints) request.names = request.subscribe = names;
      if (type == xds::ResourceType::kRoutes) request.names = request.subscribe = {fleet.listener};
      if (i % 2) {
        request.names.clear();
      } else {
        request.subscribe.clear();
      }
      table.request(id, "p", "", request, i * kSecond);
    }
    while (auto response = table.next(id)) {
      xds::Request ack{.type = response->type, .nonce = response->nonce};
      if (i % 2 == 0 && ack.type == xds::ResourceType::kEndpoints) ack.names = names;
      if (i % 2 == 0 && ack.type == xds::ResourceType::kRoutes) ack.names = {fleet.listener};
      table.request(id, "p", "", ack, i * kSecond + kMs);
    }
  }
  auto cpu = [] {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e3 +
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e3;
  };
  double cpu_before = cpu();
  auto second = xds::build_resource_set(other, first.get());
  table.publish(second);
  std::size_t bytes = 0;
  for (xds::StreamId id : streams) {
    auto response = table.next(id);
    if (!response) continue;
    bytes += xds::encode_response_header(*response, xds::ProtocolVariant::kDelta).size();
    for (const auto& resource : response->resources) bytes += resource->sotw_encoding.size();
  }
  shared_ms = cpu() - cpu_before;
  // Per-proxy serialisation: changed resources are packed into a response and serialised for each proxy.
  std::vector<envoy::service::discovery::v3::DiscoveryResponse> messages;
  for (const auto& resource : second->changed[static_cast<std::size_t>(xds::ResourceType::kEndpoints)]) {
    messages.emplace_back().ParseFromString(resource->sotw_encoding);
  }
  cpu_before = cpu();
  std::size_t other_bytes = 0;
  for (int i = 0; i < kProxies; ++i) {
    envoy::service::discovery::v3::DiscoveryResponse response;
    for (const auto& message : messages) {
      envoy::config::endpoint::v3::ClusterLoadAssignment body;
      body.ParseFromString(message.resources(0).value());
      response.add_resources()->PackFrom(body);
    }
    other_bytes += response.SerializeAsString().size();
  }
  each_ms = cpu() - cpu_before;
  if (bytes == 0 || other_bytes == 0) std::printf("no resource was pushed\n");
}

}  // namespace

int main(int count, char** arguments) {
  const int instances = count > 1 ? std::atoi(arguments[1]) : 1;
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, 16'384);
  setrlimit(RLIMIT_NOFILE, &files);
  control::TemporaryFolder folder;
  {
    std::ofstream out(folder.file("fleet.conf"));
    out << "version = 1; listener = \"fleet\"; proxies = " << kProxies << "; nodes = (\n";
    for (int i = 1; i <= kNodes; ++i) {
      out << (i > 1 ? ",\n" : "") << "{ name = \"n" << i << "\"; zone = \""
          << "abc"[i % 3] << "\"; address = \"127.0.0." << 2 + i / 250 << ":" << 20'000 + i << "\"; }";
    }
    out << ");\ngroups = ({ name = \"read\"; repeats = \"repeatable\"; timeout_ms = 2000; },\n"
           "{ name = \"set\"; repeats = \"mutating\"; timeout_ms = 2000; },\n"
           "{ name = \"book\"; repeats = \"deduplicated\"; window_ms = 10000; timeout_ms = 2000; });\n"
           "bounds = { dwell_ms = 0; ramp_ms = 0; settle_ms = 20; };\n";
  }
  double shared_ms = 0;
  double each_ms = 0;
  compare_serialization(folder.file("fleet.conf"), shared_ms, each_ms);
  std::printf("push without a network: shared %.1f ms, serialised for each proxy %.1f ms\n", shared_ms,
              each_ms);

  standin::PortReservations ports;
  standin::ControlCluster fleet({.folder = folder.file(""),
                                 .fleet = folder.file("fleet.conf"),
                                 .instances = instances,
                                 .replicated = instances > 1,
                                 .more = {}},
                                ports);
  fleet.start_all();
  standin::ChildProcess& control = fleet[0].process;
  std::vector<std::unique_ptr<control::Reporters>> reporters;
  for (const auto& place : fleet.all())
    reporters.push_back(std::make_unique<control::Reporters>(static_cast<std::uint16_t>(place.reports)));
  auto update_report = [&](const std::string& node, const std::function<void(report::LoadReport&)>& change) {
    for (auto& one : reporters) one->set(node, change);
  };
  for (int i = 1; i <= kNodes; ++i) {
    for (auto& one : reporters)
      one->add("n" + std::to_string(i),
               "127.0.0." + std::to_string(2 + i / 250) + ":" + std::to_string(20'000 + i));
  }
  auto query_admin = [&](const char* command) {
    return control::AdminClient(control::loopback(static_cast<std::uint16_t>(fleet[0].admin))).call(command);
  };
  control::await(
      [&] {
        try {
          auto answer = query_admin("nodes");
          return std::all_of(answer.nodes().begin(), answer.nodes().end(),
                             [](const auto& row) { return row.state() == "serving"; });
        } catch (const std::exception&) {
          return false;
        }
      },
      30'000);
  long resident = control.resident_kb();

  ConvergenceWatch watch;
  std::vector<std::unique_ptr<standin::AdsLink>> links;
  auto bodies = std::make_shared<standin::ParsedResourceCache>();
  for (int i = 0; i < kProxies; ++i) {
    links.push_back(std::make_unique<standin::AdsLink>(
        fleet.discovery(i), i % 2 == 0, "p" + std::to_string(i),
        [&watch, i](const standin::AppliedSet& set) { watch.observe(static_cast<std::size_t>(i), set); },
        bodies));
  }
  auto all_applied = [&] {
    return std::all_of(links.begin(), links.end(),
                       [](const auto& link) { return link->applied() != nullptr; });
  };
  if (!control::await(all_applied, 120'000)) std::printf("not all proxies applied a resource set\n");
  control::await(
      [&] {
        auto answer = query_admin("nodes");
        return answer.applied_by_all() == answer.published();
      },
      60'000);
  std::uint64_t bytes_before[2] = {};
  for (int i = 0; i < kProxies; ++i) bytes_before[i % 2] += links[static_cast<std::size_t>(i)]->bytes_in();
  control::await([] { return false; }, 6'000);  // until the memory of the initial connections is released
  long per_proxy = (control.resident_kb() - resident) / kProxies;
  std::printf("all proxies connected: control service %ld kB, %ld kB per proxy\n", control.resident_kb(),
              per_proxy);

  double cpu = control.cpu_ms();
  auto published = query_admin("nodes").published();
  auto change = [&](int node, bool draining) {
    std::string name = "n" + std::to_string(node);
    watch.begin(name, !draining);
    update_report(name, [&](auto& report) { report.draining = draining; });
    if (!control::await([&] { return watch.all_seen(); }, 10'000))
      std::printf("change of %s did not reach every proxy\n", name.c_str());
  };
  for (int i = 0; i < kChanges; ++i) change(1 + i / 2 * 7, i % 2 == 0);
  std::size_t single_change_count = watch.convergence_ms.size();
  double p50 = quantile(watch.convergence_ms, 0.5);
  double p99 = quantile(watch.convergence_ms, 0.99);
  for (int burst = 0; burst < kBursts; ++burst) {
    for (int i = 0; i < kChangesPerBurst - 1; ++i) {
      update_report("n" + std::to_string(200 + i), [&](auto& report) { report.draining = burst % 2 == 0; });
    }
    change(200 + kChangesPerBurst, burst % 2 == 0);
  }
  std::vector<double> bursts(watch.convergence_ms.begin() + static_cast<std::ptrdiff_t>(single_change_count),
                             watch.convergence_ms.end());
  auto pushes = query_admin("nodes").published() - published;
  cpu = (control.cpu_ms() - cpu) / static_cast<double>(std::max<std::uint64_t>(1, pushes));
  int half_applied_count = 0;
  std::uint64_t bytes[2] = {};
  for (int i = 0; i < kProxies; ++i) {
    half_applied_count += links[static_cast<std::size_t>(i)]->half_applied();
    bytes[i % 2] += links[static_cast<std::size_t>(i)]->bytes_in();
  }
  double ratio =
      static_cast<double>(bytes[0] - bytes_before[0]) / static_cast<double>(bytes[1] - bytes_before[1]);
  std::printf("bursts of %d: p99 %.0f ms; %llu pushes\n", kChangesPerBurst, quantile(bursts, 0.99),
              static_cast<unsigned long long>(pushes));
  links.clear();
  for (auto& place : fleet.all()) place.process.end(SIGTERM);
  std::printf(
      "measured xds instances=%d proxies=%d endpoints=%d converge_p50_ms=%.0f converge_p99_ms=%.0f "
      "half_applied=%d "
      "bytes_ratio_delta_sotw=%.3f rss_kb_per_proxy=%ld cpu_ms_per_push=%.1f converge_burst_p99_ms=%.0f "
      "push_shared_ms=%.2f push_serialised_each_ms=%.2f\n",
      instances, kProxies, kNodes, p50, p99, half_applied_count, ratio, per_proxy, cpu,
      quantile(bursts, 0.99), shared_ms, each_ms);
  return half_applied_count == 0 && p99 < 2000 ? 0 : 1;
}
