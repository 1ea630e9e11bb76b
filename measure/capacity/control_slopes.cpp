#include "control_slopes.h"

#include <cstdio>
#include <stdexcept>

#include "caller_pool.h"
#include "cost.h"
#include "generated_fleet.h"
#include "instance_under_load.h"
#include "sweep.h"
#include "xds/resources.h"

namespace myrtlecroft::capacity {
namespace {

using SetPtr = std::shared_ptr<const xds::ResourceSet>;

constexpr int kRepeats = 5;           // of a step or publication
constexpr int kBurstRepeats = 3;      // of a rack or zone loss
constexpr int kSampleCallers = 30;    // sample size for the cost of one caller
constexpr int kLostCallers = 10'000;  // callers of one machine
constexpr Nanos kForgetAfter = 600 * kSecond;
constexpr int kServersOfOtherSweeps = 500;  // in sweeps of other variables
constexpr int kServersOfCallerSweep = 250;

template <class Work>
std::vector<double> repeat(int times, Work&& work) {
  std::vector<double> out;
  for (int i = 0; i < times; ++i) out.push_back(work(i));
  return out;
}

// ---- Decision steps

void require_publication(const InstanceUnderLoad& instance, std::uint64_t before, const char* what) {
  if (instance.published()->number == before)
    throw std::runtime_error(std::string("no snapshot was published after: ") + what);
}

double measure_step_after_leaving(InstanceUnderLoad& instance, int server) {
  std::uint64_t before = instance.published()->number;
  instance.start_draining(server);
  double cost = instance.measure_step_ms();
  require_publication(instance, before, "a server left");
  instance.settle();
  return cost;
}

double measure_step_after_loss(InstanceUnderLoad& instance, int first_server, int servers) {
  std::uint64_t before = instance.published()->number;
  std::size_t healthy_servers = instance.healthy_servers();
  instance.disconnect_servers(first_server, servers);
  double cost = instance.measure_step_ms();
  require_publication(instance, before, "servers were lost");
  if (instance.healthy_servers() + static_cast<std::size_t>(servers) != healthy_servers)
    throw std::runtime_error("some lost servers are still in service");
  instance.reconnect_servers(first_server, servers);
  instance.settle();
  return cost;
}

void measure_steps_at_rest(InstanceUnderLoad& instance, const SweepPoint& point) {
  std::uint64_t before = instance.published()->number;
  point.add("step_at_rest", "ms", repeat(kRepeats, [&](int) { return instance.measure_step_ms(); }));
  if (instance.published()->number != before)
    throw std::runtime_error("a snapshot was published although nothing changed");
}

void measure_steps_after_leaving(InstanceUnderLoad& instance, const SweepPoint& point) {
  point.add("step_one_leaving", "ms",
            repeat(kBurstRepeats, [&](int i) { return measure_step_after_leaving(instance, i); }));
}

// The first servers leave one by one; racks and zones are lost from the end of the fleet.
void measure_steps_after_changes(InstanceUnderLoad& instance, int servers, const SweepPoint& point) {
  int zone = servers / kZones;
  auto first_lost_server = [&](int i, int count) { return servers - (i + 1) * count; };
  point.add("step_rack_lost", "ms", repeat(kBurstRepeats, [&](int i) {
              return measure_step_after_loss(instance, first_lost_server(i, kServersPerRack),
                                             kServersPerRack);
            }));
  point.add("step_zone_lost", "ms", repeat(kBurstRepeats, [&](int i) {
              return measure_step_after_loss(instance, first_lost_server(i, zone), zone);
            }));
  measure_steps_after_leaving(instance, point);
}

// ---- Publications and the responses that callers receive

// Builds resource sets from an instance's snapshot, changing one weight or one tenant's quota at a time.
class Publications {
 public:
  explicit Publications(const routing::PublishedSnapshot& first) : published_(first) { rebuild(); }

  void change_weight() {
    routing::NodeRoute& node = published_.snapshot.nodes[next_server_++ % published_.snapshot.nodes.size()];
    node.weight += 100;
    ++published_.number;
    rebuild();
  }
  void change_quota() {
    published_.snapshot.tenants.at(0).quota += 1;
    ++published_.number;
    rebuild();
  }
  const SetPtr& set() const { return set_; }
  double build_ms() const { return build_ms_; }

 private:
  void rebuild() {
    std::string inconsistency;
    build_ms_ = measure_cpu_ms([&] {
      set_ = xds::build_resource_set(published_, set_.get());
      inconsistency = xds::find_inconsistency(*set_);
    });
    if (!inconsistency.empty()) throw std::runtime_error("inconsistent resource set: " + inconsistency);
  }

  routing::PublishedSnapshot published_;
  SetPtr set_;
  std::size_t next_server_ = 0;
  double build_ms_ = 0;
};

void measure_weight_publications(Publications& publications, const SweepPoint& point) {
  point.add("publication_one_weight", "ms", repeat(kRepeats, [&](int) {
              publications.change_weight();
              return publications.build_ms();
            }));
}

// The sessions of one size; all use the same protocol variant.
struct Sessions {
  Sessions(const SetPtr& set, CallerPool::Subscription subscription, std::size_t callers)
      : table([](const std::string&) {}), pool(table, std::move(subscription)) {
    table.publish(set);
    pool.reserve(callers);
  }
  xds::SessionTable table;
  CallerPool pool;
};

double per_caller(double total, std::size_t callers) { return total / static_cast<double>(callers); }

std::string suffix(xds::ProtocolVariant variant) {
  return variant == xds::ProtocolVariant::kDelta ? "_delta" : "_sotw";
}

// Measures the time and bytes of a caller's complete set and of a push of one
// changed weight, and the memory of its session.
void measure_sessions(Publications& publications, xds::ProtocolVariant variant, const SweepPoint& point) {
  Sessions sessions(publications.set(), {.variant = variant, .clusters = {}}, kSampleCallers);
  sessions.pool.connect(1);  // allocates what all sessions share
  Traffic complete_set;
  std::vector<double> memory;
  point.add("whole_set_time_a_caller" + suffix(variant), "ms", repeat(kSampleCallers - 1, [&](int) {
              double heap = heap_bytes();
              double cost = measure_cpu_ms([&] { complete_set = sessions.pool.connect(1); });
              memory.push_back(heap_bytes() - heap);
              return cost;
            }));
  point.add("session_memory" + suffix(variant), "B", std::move(memory));
  point.add("whole_set_bytes" + suffix(variant), "B", {complete_set.bytes});
  std::vector<double> bytes;
  point.add("push_time_a_caller" + suffix(variant), "ms", repeat(kRepeats, [&](int) {
              publications.change_weight();
              Traffic traffic;
              double cost = measure_cpu_ms([&] {
                sessions.table.publish(publications.set());
                traffic = sessions.pool.receive_all();
              });
              bytes.push_back(per_caller(traffic.bytes, sessions.pool.size()));
              return per_caller(cost, sessions.pool.size());
            }));
  point.add("one_weight_bytes" + suffix(variant), "B", bytes);
}

// A caller that subscribes to the clusters of a few services by name, as gRPC's client does.
void measure_named_session(Publications& publications, const SweepPoint& point) {
  CallerPool::Subscription subscription;
  for (int service : {0, 2})
    subscription.clusters.push_back(xds::request_class_cluster_name(service_name(service)));
  Sessions sessions(publications.set(), std::move(subscription), 1);
  point.add("whole_set_bytes_by_name", "B", {sessions.pool.connect(1).bytes});
  publications.change_weight();
  sessions.table.publish(publications.set());
  point.add("one_weight_bytes_by_name", "B", {sessions.pool.receive_all().bytes});
}

void measure_publications(const InstanceUnderLoad& instance, const SweepPoint& point) {
  point.add("publication_first", "ms",
            repeat(kBurstRepeats, [&](int) { return Publications(*instance.published()).build_ms(); }));
  Publications publications(*instance.published());
  measure_weight_publications(publications, point);
  measure_sessions(publications, xds::ProtocolVariant::kStateOfTheWorld, point);
  measure_sessions(publications, xds::ProtocolVariant::kDelta, point);
  measure_named_session(publications, point);
}

// ---- One sweep for each variable

// Measures everything that one instance does, and its memory.
void sweep_servers(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"servers", {500, 1000, 2000, 6100}, options.max_seconds};
  auto make_fleet = [&](int servers) {
    return generate_fleet({.servers = servers, .subset_size = options.subset_size});
  };
  run_sweep(sweep, make_fleet, [&](int servers, fleet::Fleet fleet) {
    SweepPoint point{slope_report, sweep.by, static_cast<double>(servers), kPlannedServers};
    double heap = heap_bytes();
    InstanceUnderLoad instance(std::move(fleet));
    {
      Publications publications(*instance.published());
      point.add("instance_memory", "B", {heap_bytes() - heap});
    }
    measure_steps_at_rest(instance, point);
    measure_publications(instance, point);
    measure_steps_after_changes(instance, servers, point);
  });
}

void sweep_key_shards(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"key_shards", {16, 256, 4096, 65'536}, options.max_seconds};
  auto make_fleet = [&](int shards) {
    return generate_fleet_with_shards({.servers = kServersOfOtherSweeps, .subset_size = options.subset_size},
                                      shards);
  };
  run_sweep(sweep, make_fleet, [&](int shards, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    SweepPoint point{slope_report, sweep.by, static_cast<double>(shards), 0};
    measure_steps_at_rest(instance, point);
    measure_steps_after_leaving(instance, point);
    Publications publications(*instance.published());
    measure_weight_publications(publications, point);
    point.add("whole_set_bytes_sotw", "B", {Sessions(publications.set(), {}, 1).pool.connect(1).bytes});
  });
}

void sweep_services(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"services", {25, 50, 100, 200, 1000, 3000, 9300}, options.max_seconds};
  auto make_fleet = [&](int services) {
    return generate_fleet({.servers = kServersOfOtherSweeps,
                           .services = services,
                           .shard_digits = 2,
                           .subset_size = options.subset_size});
  };
  run_sweep(sweep, make_fleet, [&](int services, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    SweepPoint point{slope_report, sweep.by, static_cast<double>(services), kPlannedServices};
    measure_steps_at_rest(instance, point);
    measure_publications(instance, point);
    measure_steps_after_leaving(instance, point);
  });
}

// A deduplicated service has one route for each shard owner, and one for closed shards.
void sweep_routes(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"routes", {6'012, 12'024, 24'048, 49'098}, options.max_seconds};
  auto make_fleet = [&](int routes) {
    int deduplicated_services = routes / (kServersOfOtherSweeps + 1);
    return generate_fleet({.servers = kServersOfOtherSweeps,
                           .services = deduplicated_services + 2,
                           .deduplicated_services = deduplicated_services,
                           .subset_size = options.subset_size});
  };
  run_sweep(sweep, make_fleet, [&](int routes, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    SweepPoint point{slope_report, sweep.by, static_cast<double>(routes), kPlannedRoutes};
    measure_steps_at_rest(instance, point);
    Publications publications(*instance.published());
    measure_weight_publications(publications, point);
    measure_sessions(publications, xds::ProtocolVariant::kDelta, point);
  });
}

void sweep_tenants(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"tenants", {25, 50, 100, 200, 4000, 40'000, 380'000}, options.max_seconds};
  auto make_fleet = [&](int tenants) {
    return generate_fleet({.servers = kServersOfOtherSweeps,
                           .tenants = tenants,
                           .shard_digits = 2,
                           .subset_size = options.subset_size});
  };
  run_sweep(sweep, make_fleet, [&](int tenants, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    SweepPoint point{slope_report, sweep.by, static_cast<double>(tenants), kPlannedTenants};
    measure_steps_at_rest(instance, point);
    Publications publications(*instance.published());
    point.add("publication_one_share", "ms", repeat(kRepeats, [&](int) {
                publications.change_quota();
                return publications.build_ms();
              }));
    Sessions sessions(publications.set(), {}, 1);
    point.add("whole_set_bytes_sotw", "B", {sessions.pool.connect(1).bytes});
    publications.change_quota();
    sessions.table.publish(publications.set());
    point.add("one_share_bytes_sotw", "B", {sessions.pool.receive_all().bytes});
  });
}

// The callers of a lost machine disconnect at once, and each subscribes again. Connecting, disconnecting and
// reconnecting run once, because this is the longest measurement.
void measure_callers(InstanceUnderLoad& instance, Publications& publications, const SweepPoint& point) {
  const auto count = static_cast<std::size_t>(point.size);
  Sessions sessions(publications.set(), {.variant = xds::ProtocolVariant::kDelta, .clusters = {}}, count);
  double heap = heap_bytes();
  point.add("connect_all", "ms", {measure_cpu_ms([&] { sessions.pool.connect(count); })});
  point.add("sessions_memory", "B", {heap_bytes() - heap});
  point.add("push_all", "ms", repeat(kBurstRepeats, [&](int) {
              publications.change_weight();
              return measure_cpu_ms([&] {
                sessions.table.publish(publications.set());
                sessions.pool.receive_all();
              });
            }));
  point.add("applied_by_all", "ms", repeat(kRepeats, [&](int) {
              return measure_cpu_ms([&] { sessions.table.applied_by_all(kForgetAfter, instance.now()); });
            }));
  point.add("disconnect_all", "ms", {measure_cpu_ms([&] { sessions.pool.disconnect(); })});
  Traffic reconnected;
  point.add("reconnect_all", "ms", {measure_cpu_ms([&] { reconnected = sessions.pool.connect(count); })});
  point.add("reconnect_all_bytes", "B", {reconnected.bytes});
}

void sweep_callers(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"callers", {1'250, 2'500, 5'000, kLostCallers}, options.max_seconds};
  auto make_fleet = [&](int) {
    return generate_fleet(
        {.servers = kServersOfCallerSweep, .shard_digits = 2, .subset_size = options.subset_size});
  };
  run_sweep(sweep, make_fleet, [&](int callers, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    Publications publications(*instance.published());
    measure_callers(instance, publications,
                    {slope_report, sweep.by, static_cast<double>(callers), kPlannedCallers});
  });
}

// ---- Single sizes, comparable with earlier figures

void print_figure(const char* name, std::vector<double> samples, const char* unit, const char* where) {
  std::printf("%s\n", format_figure(name, where, unit, compute_spread(std::move(samples))).c_str());
}

void print_many_services_at_planned_servers(const ControlOptions& options) {
  constexpr const char* kWhere = "servers=6100 services=300 key_shards=256";
  InstanceUnderLoad instance(generate_fleet_with_services(
      {.servers = static_cast<int>(kPlannedServers), .shard_digits = 2, .subset_size = options.subset_size},
      300));
  Publications publications(*instance.published());
  print_figure("publication_first", {publications.build_ms()}, "ms", kWhere);
  Sessions sessions(publications.set(), {}, 1);
  print_figure("whole_set_bytes_sotw", {sessions.pool.connect(1).bytes}, "B", kWhere);
  publications.change_weight();
  print_figure("publication_one_weight", {publications.build_ms()}, "ms", kWhere);
  sessions.table.publish(publications.set());
  print_figure("one_weight_bytes_sotw", {sessions.pool.receive_all().bytes}, "B", kWhere);
}

void print_single_sizes(const ControlOptions& options) {
  InstanceUnderLoad instance(
      generate_fleet({.servers = 500, .shard_digits = 2, .subset_size = options.subset_size}));
  print_figure("step_at_rest", repeat(kRepeats, [&](int) { return instance.measure_step_ms(); }), "ms",
               "servers=500 services=4 key_shards=256");
  print_many_services_at_planned_servers(options);
}

}  // namespace

void measure_control_slopes(const ControlOptions& options, SlopeReport& slope_report) {
  sweep_servers(options, slope_report);
  sweep_key_shards(options, slope_report);
  sweep_services(options, slope_report);
  sweep_routes(options, slope_report);
  sweep_tenants(options, slope_report);
  sweep_callers(options, slope_report);
  print_single_sizes(options);
}

}  // namespace myrtlecroft::capacity
