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

constexpr int kRepeats = 5;           // of a step or a publication
constexpr int kBurstRepeats = 3;      // of a rack or a zone
constexpr int kCallersOfSample = 40;  // that the cost of one is taken from
constexpr int kLostCallers = 10'000;  // of one machine
constexpr int kCostlyServers = 500;   // where something else than servers grows

// The variable of a slope, its size now, and where what is measured goes.
struct At {
  Sheet& sheet;
  std::string by;
  double size = 0;
  double planned = 0;
  void add(const std::string& name, const std::string& unit, std::vector<double> samples) const {
    sheet.add({name, by, unit, planned}, size, std::move(samples));
  }
};

template <class Work>
std::vector<double> repeated(int times, Work&& work) {
  std::vector<double> out;
  for (int i = 0; i < times; ++i) out.push_back(work(i));
  return out;
}

// ---- Decision steps

void expect_published(const InstanceUnderLoad& instance, std::uint64_t before, const char* what) {
  if (instance.published()->number == before)
    throw std::runtime_error(std::string("nothing was published: ") + what);
}

double step_after_leaving(InstanceUnderLoad& instance, int server) {
  std::uint64_t before = instance.published()->number;
  instance.leave(server);
  double cost = instance.step_ms();
  expect_published(instance, before, "a server leaves");
  instance.settle();
  return cost;
}

double step_after_loss(InstanceUnderLoad& instance, int first_server, int servers) {
  std::uint64_t before = instance.published()->number;
  std::size_t in_service = instance.in_service();
  instance.lose(first_server, servers);
  double cost = instance.step_ms();
  expect_published(instance, before, "servers are lost");
  if (instance.in_service() + static_cast<std::size_t>(servers) != in_service)
    throw std::runtime_error("not all lost servers are out");
  instance.bring_back(first_server, servers);
  instance.settle();
  return cost;
}

void steps_at_rest(InstanceUnderLoad& instance, const At& at) {
  std::uint64_t before = instance.published()->number;
  at.add("step_at_rest", "ms", repeated(kRepeats, [&](int) { return instance.step_ms(); }));
  if (instance.published()->number != before) throw std::runtime_error("not at rest");
}

// The first servers leave one by one; racks and zones are lost at the other end of the fleet.
void steps_after_changes(InstanceUnderLoad& instance, int servers, const At& at) {
  int zone = servers / kZones;
  auto last = [&](int i, int count) { return servers - (i + 1) * count; };
  at.add("step_rack_lost", "ms", repeated(kBurstRepeats, [&](int i) {
           return step_after_loss(instance, last(i, kServersOfRack), kServersOfRack);
         }));
  at.add("step_zone_lost", "ms",
         repeated(kBurstRepeats, [&](int i) { return step_after_loss(instance, last(i, zone), zone); }));
  at.add("step_one_leaving", "ms",
         repeated(kBurstRepeats, [&](int i) { return step_after_leaving(instance, i); }));
}

// ---- Publications and what callers are told of them

// The snapshot of an instance, changed one weight or one tenant's share at a time, as resource sets.
class Publications {
 public:
  explicit Publications(const routing::Published& first) : published_(first) { make(); }

  void change_a_weight() {
    routing::NodeRoute& node = published_.snapshot.nodes[next_server_++ % published_.snapshot.nodes.size()];
    node.weight += 100;
    ++published_.number;
    make();
  }
  void change_a_share() {
    published_.snapshot.customers.at(0).share += 1;
    ++published_.number;
    make();
  }
  const SetPtr& set() const { return set_; }
  double last_ms() const { return last_ms_; }

 private:
  void make() {
    std::string fault;
    last_ms_ = cpu_ms_of([&] {
      set_ = xds::make_resources(published_, set_.get());
      fault = xds::fault_of(*set_);
    });
    if (!fault.empty()) throw std::runtime_error("a set is not fit to be served: " + fault);
  }

  routing::Published published_;
  SetPtr set_;
  std::size_t next_server_ = 0;
  double last_ms_ = 0;
};

double publication_ms(Publications& publications) {
  publications.change_a_weight();
  return publications.last_ms();
}

// One size's sessions, all of one form.
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

std::string suffix(xds::Form form) { return form == xds::Form::kDelta ? "_delta" : "_sotw"; }

// A caller's whole set, the memory of its session, and the push of one changed weight: time and bytes.
void sessions_of(Publications& publications, xds::Form form, const At& at) {
  Sessions sessions(publications.set(), {.form = form, .clusters = {}}, kCallersOfSample);
  Traffic whole;
  sessions.pool.connect(1);  // what they share is there once the first has come
  double heap = heap_bytes();
  double connecting = cpu_ms_of([&] { whole = sessions.pool.connect(kCallersOfSample - 1); });
  const std::size_t callers = sessions.pool.size() - 1;
  at.add("session_memory" + suffix(form), "B", {per_caller(heap_bytes() - heap, callers)});
  at.add("whole_set_time_a_caller" + suffix(form), "ms", {per_caller(connecting, callers)});
  at.add("whole_set_bytes" + suffix(form), "B", {per_caller(whole.bytes, callers)});
  std::vector<double> bytes;
  at.add("push_time_a_caller" + suffix(form), "ms", repeated(kRepeats, [&](int) {
           publications.change_a_weight();
           Traffic traffic;
           double cost = cpu_ms_of([&] {
             sessions.table.publish(publications.set());
             traffic = sessions.pool.take_all();
           });
           bytes.push_back(per_caller(traffic.bytes, sessions.pool.size()));
           return per_caller(cost, sessions.pool.size());
         }));
  at.add("one_weight_bytes" + suffix(form), "B", bytes);
}

// A caller that asks for the clusters of a few services by name, as gRPC's own client does.
void named_session(Publications& publications, const At& at) {
  CallerPool::Wants wants;
  for (int service : {0, 2}) wants.clusters.push_back(xds::cluster_of_group(service_name(service)));
  Sessions sessions(publications.set(), std::move(wants), 1);
  at.add("whole_set_bytes_by_name", "B", {sessions.pool.connect(1).bytes});
  publications.change_a_weight();
  sessions.table.publish(publications.set());
  at.add("one_weight_bytes_by_name", "B", {sessions.pool.take_all().bytes});
}

void publications_of(const InstanceUnderLoad& instance, const At& at) {
  Publications publications(*instance.published());
  at.add("publication_first", "ms", {publications.last_ms()});
  at.add("publication_one_weight", "ms",
         repeated(kRepeats, [&](int) { return publication_ms(publications); }));
  sessions_of(publications, xds::Form::kStateOfTheWorld, at);
  sessions_of(publications, xds::Form::kDelta, at);
  named_session(publications, at);
}

// ---- The variables

// All there is to one fleet's instance, with the memory of it.
void whole_instance(const FleetSize& size, const At& at) {
  double heap = heap_bytes();
  InstanceUnderLoad instance(generated_fleet(size));
  {
    Publications publications(*instance.published());
    at.add("instance_memory", "B", {heap_bytes() - heap});
  }
  steps_at_rest(instance, at);
  publications_of(instance, at);
  steps_after_changes(instance, size.servers, at);
}

void by_servers(const ControlOptions& options, Sheet& sheet) {
  Sweep sweep{"servers", {500, 1000, 2000, 4000, 6100}, options.most_seconds};
  run(sweep, [&](int servers) {
    whole_instance({.servers = servers, .subsetting = options.subsetting},
                   {sheet, sweep.by, static_cast<double>(servers), kPlannedServers});
  });
}

void by_key_shards(const ControlOptions& options, Sheet& sheet) {
  // The fleet file takes up to three digits; the fourth is set past it, to have a fourth size.
  constexpr int kMostDigits = 3;
  Sweep sweep{"key_shards", {16, 256, 4096, 65'536}, options.most_seconds};
  run(sweep, [&](int shards) {
    int digits = shards == 16 ? 1 : shards == 256 ? 2 : shards == 4096 ? 3 : 4;
    fleet::Fleet fleet = generated_fleet({.servers = kCostlyServers,
                                          .shard_digits = std::min(digits, kMostDigits),
                                          .subsetting = options.subsetting});
    fleet.bounds.shard_digits = digits;
    InstanceUnderLoad instance(std::move(fleet));
    At at{sheet, sweep.by, static_cast<double>(shards), 4096};
    steps_at_rest(instance, at);
    at.add("step_one_leaving", "ms",
           repeated(kBurstRepeats, [&](int i) { return step_after_leaving(instance, i); }));
    Publications publications(*instance.published());
    at.add("publication_one_weight", "ms",
           repeated(kRepeats, [&](int) { return publication_ms(publications); }));
    at.add("instance_whole_set", "B", {Sessions(publications.set(), {}, 1).pool.connect(1).bytes});
  });
}

void by_services(const ControlOptions& options, Sheet& sheet) {
  Sweep sweep{"services", {25, 50, 100, 200, 1000, 3000, 9300}, options.most_seconds};
  run(sweep, [&](int services) {
    InstanceUnderLoad instance(generated_fleet({.servers = kCostlyServers,
                                                .services = services,
                                                .shard_digits = 2,
                                                .subsetting = options.subsetting}));
    At at{sheet, sweep.by, static_cast<double>(services), kPlannedServices};
    steps_at_rest(instance, at);
    at.add("step_one_leaving", "ms",
           repeated(kBurstRepeats, [&](int i) { return step_after_leaving(instance, i); }));
    publications_of(instance, at);
  });
}

// A deduplicated service has a route to each owner of a shard, and one for shards that are closed.
void by_routes(const ControlOptions& options, Sheet& sheet) {
  constexpr int kServers = 500;
  Sweep sweep{"routes", {6'012, 12'024, 24'048, 49'098}, options.most_seconds};
  run(sweep, [&](int routes) {
    int deduplicated = routes / (kServers + 1);
    InstanceUnderLoad instance(generated_fleet({.servers = kServers,
                                                .services = deduplicated + 2,
                                                .deduplicated = deduplicated,
                                                .subsetting = options.subsetting}));
    At at{sheet, sweep.by, static_cast<double>(routes), kPlannedRoutes};
    steps_at_rest(instance, at);
    Publications publications(*instance.published());
    at.add("publication_first", "ms", {publications.last_ms()});
    at.add("publication_one_weight", "ms",
           repeated(kRepeats, [&](int) { return publication_ms(publications); }));
    sessions_of(publications, xds::Form::kDelta, at);
  });
}

void by_tenants(const ControlOptions& options, Sheet& sheet) {
  Sweep sweep{"tenants", {25, 50, 100, 200, 4000, 40'000, 380'000}, options.most_seconds};
  run(sweep, [&](int tenants) {
    InstanceUnderLoad instance(generated_fleet({.servers = kCostlyServers,
                                                .tenants = tenants,
                                                .shard_digits = 2,
                                                .subsetting = options.subsetting}));
    At at{sheet, sweep.by, static_cast<double>(tenants), kPlannedTenants};
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

// Of both forms by turns. Those of one machine go at once, and each subscribes anew.
void by_callers(const ControlOptions& options, Sheet& sheet) {
  InstanceUnderLoad instance(
      generated_fleet({.servers = kCostlyServers, .shard_digits = 2, .subsetting = options.subsetting}));
  Publications publications(*instance.published());
  Sweep sweep{"callers", {1'250, 2'500, 5'000, kLostCallers}, options.most_seconds};
  run(sweep, [&](int callers) {
    At at{sheet, sweep.by, static_cast<double>(callers), kPlannedCallers};
    Sessions sessions(publications.set(), {.form = xds::Form::kDelta, .clusters = {}},
                      static_cast<std::size_t>(callers));
    const auto count = static_cast<std::size_t>(callers);
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
             return cpu_ms_of([&] { sessions.table.applied_by_all(600 * kSecond, instance.now()); });
           }));
    at.add("disconnect_all", "ms", {cpu_ms_of([&] { sessions.pool.disconnect(); })});
    Traffic again;
    at.add("reconnect_all", "ms", {cpu_ms_of([&] { again = sessions.pool.connect(count); })});
    at.add("reconnect_all_bytes", "B", {again.bytes});
  });
}

}  // namespace

void control_slopes(const ControlOptions& options, Sheet& sheet) {
  by_servers(options, sheet);
  by_key_shards(options, sheet);
  by_services(options, sheet);
  by_routes(options, sheet);
  by_tenants(options, sheet);
  by_callers(options, sheet);
}

}  // namespace myrtlecroft::capacity
