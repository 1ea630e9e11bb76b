#include "control/control.h"

#include <malloc.h>
#include <xxhash.h>

#include <exception>
#include <fstream>
#include <iterator>
#include <utility>

#include "fleet/fleet_file.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kStepInterval = 100 * kMs;
constexpr Nanos kHeapTrimInterval = 5000 * kMs;  // returns memory to the system after a burst of connections

// Hashes a file's bytes. Replicas compare the hashes to detect different fleet files.
std::uint64_t hash_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(in)), {});
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

ControlService::ControlService(net::Loop& loop, service::Logger& log, ControlOptions options)
    : loop_(loop),
      log_(log),
      options_(std::move(options)),
      discovery_([this](const std::string& line) { log_.write_rate_limited(line); }),
      publisher_(loop, log, discovery_),
      durable_publication_(loop, log, options_.state_folder,
                           {.discovery = discovery_,
                            .publisher = publisher_,
                            .state = [this] { return router_.persisted_state(); }}),
      standalone_router_(make_router()),
      replicated_(make_replica()),
      router_(standalone_router_ ? *standalone_router_ : replicated_->replica().router()),
      report_receiver_(
          loop, log, options_.addresses.reports,
          {.router = router_, .replica = replica(), .mode_changed = [this] { request_decision(); }}),
      proxy_monitor_(discovery_, load_reporting_, router_, replica()),
      admin_server_(loop, log, options_.addresses.admin,
                    {.router = router_,
                     .discovery = discovery_,
                     .replicated = replicated_.get(),
                     .status = [this] { return status(); }}),
      step_timer_(loop.base(), [this] { step(); }) {
  step();
  discovery_server_ =
      std::make_unique<DiscoveryServer>(options_.addresses.discovery, discovery_, load_reporting_);
}

std::unique_ptr<routing::Router> ControlService::make_router() {
  if (options_.agreement.id != 0) return nullptr;
  return std::make_unique<routing::Router>(fleet::read_fleet(options_.fleet_path),
                                           durable_publication_.restore(), options_.first_start, loop_.now(),
                                           [this](const std::string& line) { log_.line(line); });
}

std::unique_ptr<ReplicatedControl> ControlService::make_replica() {
  if (options_.agreement.id == 0) return nullptr;
  return std::make_unique<ReplicatedControl>(
      loop_, log_, options_.agreement,
      ReplicatedControl::InitialFleet{.fleet = fleet::read_fleet(options_.fleet_path),
                                      .first_start = options_.first_start,
                                      .fleet_file_hash = hash_file(options_.fleet_path)},
      [this] { serve_agreed_state(); });
}

void ControlService::reload() {
  try {
    fleet::Fleet fleet = fleet::read_fleet(options_.fleet_path);
    std::size_t servers = fleet.nodes.size();
    if (replicated_) {
      replicated_->replica().update_fleet(std::move(fleet), hash_file(options_.fleet_path));
    } else {
      router_.update_fleet(std::move(fleet), loop_.now());
    }
    log_.line("reload: fleet file applied, " + std::to_string(servers) + " servers");
  } catch (const std::exception& error) {
    log_.line(std::string("reload failed, the previous fleet file stays in use: ") + error.what());
  }
}

void ControlService::transfer_leadership(std::function<void()> done) {
  if (replicated_) {
    replicated_->transfer_leadership(std::move(done));
  } else {
    done();
  }
}

void ControlService::request_decision() {
  if (replicated_) replicated_->replica().request_decision();
  step_timer_.set(0);
}

void ControlService::step() {
  step_timer_.set(kStepInterval);
  proxy_monitor_.step(loop_.now());
  if (replicated_) {
    serve_agreed_state();
  } else {
    step_standalone();
  }
}

void ControlService::step_standalone() {
  if (!publisher_.may_publish()) {
    router_.observe(loop_.now());
  } else if (auto published = router_.step(loop_.now())) {
    durable_publication_.set_pending_publication(std::move(published));
  }
  if (!durable_publication_.has_pending_publication() && loop_.now() - last_trim_at_ > kHeapTrimInterval) {
    last_trim_at_ = loop_.now();
    malloc_trim(0);
  }
  durable_publication_.step();
}

void ControlService::serve_agreed_state() {
  admin_server_.tick();
  publisher_.publish_agreed(replicated_->replica());
}

ControlStatus ControlService::status() const {
  return {.published = publisher_.number(),
          .applied_by_all = proxy_monitor_.applied_by_all(),
          .disk_fails = durable_publication_.disk_fails()};
}

}  // namespace myrtlecroft::control
