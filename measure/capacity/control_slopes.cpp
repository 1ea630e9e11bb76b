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
constexpr int kCallersOfSample = 30;  // sample size for the cost of one caller
constexpr int kLostCallers = 10'000;  // callers of one machine
constexpr Nanos kForgetAfter = 600 * kSecond;
constexpr int kCostlyServers = 500;  // in sweeps of other variables
constexpr int kServersOfManyCallers = 250;

template <class Work>
std::vector<double> repeated(int times, Work&& work) {
  std::vector<double> out;
  for (int i = 0; i < times; ++i) out.push_back(work(i));
  return out;
}

// ---- Decision steps

void expect_published(const InstanceUnderLoad& instance, std::uint64_t before, const char* what) {
  if (instance.published()->number == before)
    throw std::runtime_error(std::string("no snapshot was published after: ") + what);
}

double step_after_leaving(InstanceUnderLoad& instance, int server) {
  std::uint64_t before = instance.published()->number;
  instance.leave(server);
  double cost = instance.step_ms();
  expect_published(instance, before, "a server left");
  instance.settle();
  return cost;
}

double step_after_loss(InstanceUnderLoad& instance, int first_server, int servers) {
  std::uint64_t before = instance.published()->number;
  std::size_t in_service = instance.in_service();
  instance.lose(first_server, servers);
  double cost = instance.step_ms();
  expect_published(instance, before, "servers were lost");
  if (instance.in_service() + static_cast<std::size_t>(servers) != in_service)
    throw std::runtime_error("some lost servers are still in service");
  instance.bring_back(first_server, servers);
  instance.settle();
  return cost;
}

void steps_at_rest(InstanceUnderLoad& instance, const At& at) {
  std::uint64_t before = instance.published()->number;
  at.add("step_at_rest", "ms", repeated(kRepeats, [&](int) { return instance.step_ms(); }));
  if (instance.published()->number != before) throw std::runtime_error("a snapshot was published although nothing changed");
}

void steps_after_leaving(InstanceUnderLoad& instance, const At& at) {
  at.add("step_one_leaving", "ms",
         repeated(kBurstRepeats, [&](int i) { return step_after_leaving(instance, i); }));
}

// The first servers leave one by one; racks and zones are lost from the end of the fleet, so they don't overlap.
void steps_after_changes(InstanceUnderLoad& instance, int servers, const At& at) {
  int zone = servers / kZones;
  auto last = [&](int i, int count) { return servers - (i + 1) * count; };
  at.add("step_rack_lost", "ms", repeated(kBurstRepeats, [&](int i) {
           return step_after_loss(instance, last(i, kServersOfRack), kServersOfRack);
         }));
  at.add("step_zone_lost", "ms",
         repeated(kBurstRepeats, [&](int i) { return step_after_loss(instance, last(i, zone), zone); }));
  steps_after_leaving(instance, at);
}

// ---- Publications and the responses that callers receive

// Builds resource sets from an instance's snapshot, changing one weight or one tenant's quota at a time.
class Publications {
 public:
  explicit Publications(const routing::PublishedSnapshot& first) : published_(first) { make(); }

  void change_a_weight() {
    routing::NodeRoute& node = published_.snapshot.nodes[next_server_++ % published_.snapshot.nodes.size()];
    node.weight += 100;
    ++published_.number;
    make();
  }
  void change_a_share() {
    published_.snapshot.tenants.at(0).quota += 1;
    ++published_.number;
    make();
  }
  const SetPtr& set() const { return set_; }
  double last_ms() const { return last_ms_; }

 private:
  void make() {
    std::string fault;
    last_ms_ = cpu_ms_of([&] {
      set_ = xds::build_resource_set(published_, set_.get());
      fault = xds::find_inconsistency(*set_);
    });
    if (!fault.empty()) throw std::runtime_error("inconsistent resource set: " + fault);
  }

  routing::PublishedSnapshot published_;
  SetPtr set_;
  std::size_t next_server_ = 0;
  double last_ms_ = 0;
};

void publications_of_one_weight(Publications& publications, const At& at) {
  at.add("publication_one_weight", "ms", repeated(kRepeats, [&](int) {
           publications.change_a_weight();
           return publications.last_ms();
         }));
}

// The sessions of one size; all use the same protocol variant.
struct Sessions {
  Sessions(const SetPtr& set, CallerPool::Wants wants, std::size_t callers)
      : table([](const std::string&) {}), pool(table, std::move(wants)) {
    table.publish(set);
    pool.reserve(callers);
  }
  xds::SessionTable table;
  CallerPool pool;
};

double per_caller(double all, std::size_t callers) { return all / static_cast<double>(callers); }

std::string suffix(xds::ProtocolVariant variant) {
  return variant == xds::ProtocolVariant::kDelta ? "_delta" : "_sotw";
}

// Measures the time and bytes of a caller's complete set and of a push of one changed weight, and the memory of
// its session.
void sessions_of(Publications& publications, xds::ProtocolVariant variant, const At& at) {
  Sessions sessions(publications.set(), {.variant = variant, .clusters = {}}, kCallersOfSample);
  sessions.pool.connect(1);  // allocates what all sessions share
  Traffic whole;
  std::vector<double> memory;
  at.add("whole_set_time_a_caller" + suffix(variant), "ms", repeated(kCallersOfSample - 1, [&](int) {
           double heap = heap_bytes();
           double cost = cpu_ms_of([&] { whole = sessions.pool.connect(1); });
           memory.push_back(heap_bytes() - heap);
           return cost;
         }));
  at.add("session_memory" + suffix(variant), "B", std::move(memory));
  at.add("whole_set_bytes" + suffix(variant), "B", {whole.bytes});
  std::vector<double> bytes;
  at.add("push_time_a_caller" + suffix(variant), "ms", repeated(kRepeats, [&](int) {
           publications.change_a_weight();
           Traffic traffic;
           double cost = cpu_ms_of([&] {
             sessions.table.publish(publications.set());
             traffic = sessions.pool.take_all();
           });
           bytes.push_back(per_caller(traffic.bytes, sessions.pool.size()));
           return per_caller(cost, sessions.pool.size());
         }));
  at.add("one_weight_bytes" + suffix(variant), "B", bytes);
}

// A caller that subscribes to the clusters of a few services by name, as gRPC's client does.
void named_session(Publications& publications, const At& at) {
  CallerPool::Wants wants;
  for (int service : {0, 2}) wants.clusters.push_back(xds::request_class_cluster_name(service_name(service)));
  Sessions sessions(publications.set(), std::move(wants), 1);
  at.add("whole_set_bytes_by_name", "B", {sessions.pool.connect(1).bytes});
  publications.change_a_weight();
  sessions.table.publish(publications.set());
  at.add("one_weight_bytes_by_name", "B", {sessions.pool.take_all().bytes});
}

void publications_of(const InstanceUnderLoad& instance, const At& at) {
  at.add("publication_first", "ms",
         repeated(kBurstRepeats, [&](int) { return Publications(*instance.published()).last_ms(); }));
  Publications publications(*instance.published());
  publications_of_one_weight(publications, at);
  sessions_of(publications, xds::ProtocolVariant::kStateOfTheWorld, at);
  sessions_of(publications, xds::ProtocolVariant::kDelta, at);
  named_session(publications, at);
}

// ---- One sweep for each variable

// Measures everything that one instance does, and its memory.
void by_servers(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"servers", {500, 1000, 2000, 6100}, options.max_seconds};
  auto fleet_of = [&](int servers) {
    return generated_fleet({.servers = servers, .subsetting = options.subsetting});
  };
  run(sweep, fleet_of, [&](int servers, fleet::Fleet fleet) {
    At at{slope_report, sweep.by, static_cast<double>(servers), kPlannedServers};
    double heap = heap_bytes();
    InstanceUnderLoad instance(std::move(fleet));
    {
      Publications publications(*instance.published());
      at.add("instance_memory", "B", {heap_bytes() - heap});
    }
    steps_at_rest(instance, at);
    publications_of(instance, at);
    steps_after_changes(instance, servers, at);
  });
}

void by_key_shards(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"key_shards", {16, 256, 4096, 65'536}, options.max_seconds};
  auto fleet_of = [&](int shards) {
    return fleet_of_shards({.servers = kCostlyServers, .subsetting = options.subsetting}, shards);
  };
  run(sweep, fleet_of, [&](int shards, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    At at{slope_report, sweep.by, static_cast<double>(shards), 0};
    steps_at_rest(instance, at);
    steps_after_leaving(instance, at);
    Publications publications(*instance.published());
    publications_of_one_weight(publications, at);
    at.add("whole_set_bytes_sotw", "B", {Sessions(publications.set(), {}, 1).pool.connect(1).bytes});
  });
}

void by_services(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"services", {25, 50, 100, 200, 1000, 3000, 9300}, options.max_seconds};
  auto fleet_of = [&](int services) {
    return generated_fleet({.servers = kCostlyServers,
                            .services = services,
                            .shard_digits = 2,
                            .subsetting = options.subsetting});
  };
  run(sweep, fleet_of, [&](int services, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    At at{slope_report, sweep.by, static_cast<double>(services), kPlannedServices};
    steps_at_rest(instance, at);
    publications_of(instance, at);
    steps_after_leaving(instance, at);
  });
}

// A deduplicated service has one route for each shard owner, and one for closed shards.
void by_routes(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"routes", {6'012, 12'024, 24'048, 49'098}, options.max_seconds};
  auto fleet_of = [&](int routes) {
    int deduplicated = routes / (kCostlyServers + 1);
    return generated_fleet({.servers = kCostlyServers,
                            .services = deduplicated + 2,
                            .deduplicated = deduplicated,
                            .subsetting = options.subsetting});
  };
  run(sweep, fleet_of, [&](int routes, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    At at{slope_report, sweep.by, static_cast<double>(routes), kPlannedRoutes};
    steps_at_rest(instance, at);
    Publications publications(*instance.published());
    publications_of_one_weight(publications, at);
    sessions_of(publications, xds::ProtocolVariant::kDelta, at);
  });
}

void by_tenants(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"tenants", {25, 50, 100, 200, 4000, 40'000, 380'000}, options.max_seconds};
  auto fleet_of = [&](int tenants) {
    return generated_fleet(
        {.servers = kCostlyServers, .tenants = tenants, .shard_digits = 2, .subsetting = options.subsetting});
  };
  run(sweep, fleet_of, [&](int tenants, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    At at{slope_report, sweep.by, static_cast<double>(tenants), kPlannedTenants};
    steps_at_rest(instance, at);
    Publications publications(*instance.published());
    at.add("publication_one_share", "ms", repeated(kRepeats, [&](int) {
             publications.change_a_share();
             return publications.last_ms();
           }));
    Sessions sessions(publications.set(), {}, 1);
    at.add("whole_set_bytes_sotw", "B", {sessions.pool.connect(1).bytes});
    publications.change_a_share();
    sessions.table.publish(publications.set());
    at.add("one_share_bytes_sotw", "B", {sessions.pool.take_all().bytes});
  });
}

// The callers of a lost machine disconnect at once, and each subscribes again. Connecting, disconnecting and
// reconnecting run once, because this is the longest measurement.
void callers_of(InstanceUnderLoad& instance, Publications& publications, const At& at) {
  const auto count = static_cast<std::size_t>(at.size);
  Sessions sessions(publications.set(), {.variant = xds::ProtocolVariant::kDelta, .clusters = {}}, count);
  double heap = heap_bytes();
  at.add("connect_all", "ms", {cpu_ms_of([&] { sessions.pool.connect(count); })});
  at.add("sessions_memory", "B", {heap_bytes() - heap});
  at.add("push_all", "ms", repeated(kBurstRepeats, [&](int) {
           publications.change_a_weight();
           return cpu_ms_of([&] {
             sessions.table.publish(publications.set());
             sessions.pool.take_all();
           });
         }));
  at.add("applied_by_all", "ms", repeated(kRepeats, [&](int) {
           return cpu_ms_of([&] { sessions.table.applied_by_all(kForgetAfter, instance.now()); });
         }));
  at.add("disconnect_all", "ms", {cpu_ms_of([&] { sessions.pool.disconnect(); })});
  Traffic again;
  at.add("reconnect_all", "ms", {cpu_ms_of([&] { again = sessions.pool.connect(count); })});
  at.add("reconnect_all_bytes", "B", {again.bytes});
}

void by_callers(const ControlOptions& options, SlopeReport& slope_report) {
  Sweep sweep{"callers", {1'250, 2'500, 5'000, kLostCallers}, options.max_seconds};
  auto fleet_of = [&](int) {
    return generated_fleet(
        {.servers = kServersOfManyCallers, .shard_digits = 2, .subsetting = options.subsetting});
  };
  run(sweep, fleet_of, [&](int callers, fleet::Fleet fleet) {
    InstanceUnderLoad instance(std::move(fleet));
    Publications publications(*instance.published());
    callers_of(instance, publications,
               {slope_report, sweep.by, static_cast<double>(callers), kPlannedCallers});
  });
}

// ---- Single sizes, comparable with earlier figures

void print_figure(const char* name, std::vector<double> samples, const char* unit, const char* where) {
  std::printf("%s\n", format_figure(name, where, unit, compute_spread(std::move(samples))).c_str());
}

void many_services_at_planned_servers(const ControlOptions& options) {
  constexpr const char* kWhere = "servers=6100 services=300 key_shards=256";
  InstanceUnderLoad instance(fleet_of_services(
      {.servers = static_cast<int>(kPlannedServers), .shard_digits = 2, .subsetting = options.subsetting},
      300));
  Publications publications(*instance.published());
  print_figure("publication_first", {publications.last_ms()}, "ms", kWhere);
  Sessions sessions(publications.set(), {}, 1);
  print_figure("whole_set_bytes_sotw", {sessions.pool.connect(1).bytes}, "B", kWhere);
  publications.change_a_weight();
  print_figure("publication_one_weight", {publications.last_ms()}, "ms", kWhere);
  sessions.table.publish(publications.set());
  print_figure("one_weight_bytes_sotw", {sessions.pool.take_all().bytes}, "B", kWhere);
}

void single_points(const ControlOptions& options) {
  InstanceUnderLoad instance(
      generated_fleet({.servers = 500, .shard_digits = 2, .subsetting = options.subsetting}));
  print_figure("step_at_rest", repeated(kRepeats, [&](int) { return instance.step_ms(); }), "ms",
               "servers=500 services=4 key_shards=256");
  many_services_at_planned_servers(options);
}

}  // namespace

void control_slopes(const ControlOptions& options, SlopeReport& slope_report) {
  by_servers(options, slope_report);
  by_key_shards(options, slope_report);
  by_services(options, slope_report);
  by_routes(options, slope_report);
  by_tenants(options, slope_report);
  by_callers(options, slope_report);
  single_points(options);
}

}  // namespace myrtlecroft::capacity
