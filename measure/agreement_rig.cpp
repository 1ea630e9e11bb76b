#include "agreement_rig.h"

#include <filesystem>
#include <memory>

#include "rig_context.h"
#include "rig_faults.h"
#include "rig_instances.h"
#include "rig_load.h"
#include "rig_proxies.h"
#include "rig_releases.h"
#include "rig_servers.h"

namespace myrtlecroft::rehearsal {
namespace {

constexpr Nanos kStepInterval = kMs;
constexpr Nanos kCheckInterval = 10 * kMs;
constexpr Nanos kStartTimeout = 30 * kSecond;
constexpr Nanos kHealAfter = 4 * kSecond;  // after the last fault
constexpr Nanos kEndAfter = 8 * kSecond;   // after the last fault

int share_of(double share, double count) { return static_cast<int>(share * count + 1e-9); }

// One run of an incident: creates the components, steps them and collects the result.
class Rig {
 public:
  explicit Rig(const RigOptions& options)
      : context_(options),
        proxies_(context_),
        instances_(context_),
        servers_(context_, proxies_, instances_.report_ports(),
                 {.run_started = [this](const standin::ObservedRun& run) { load_.run_started(run); },
                  .release_under_way = [this] { return releases_ && releases_->under_way(); }}),
        load_(context_, proxies_,
              [this](const std::string& address) { servers_.handle_connection_lost(address); }),
        faults_(context_, {.instances = instances_,
                           .servers = servers_,
                           .proxies = proxies_,
                           .send_command =
                               [this](int instance, const std::string& command) {
                                 releases_->send_command(instance, command);
                               }}),
        step_timer_(context_.loop().base(), [this] { step(); }) {}

  ~Rig() {
    releases_.reset();
    proxies_.close();
    servers_.close();
    instances_.close();
    if (context_.result().violations.total() == 0) std::filesystem::remove_all(context_.folder());
  }

  RigResult run() {
    start();
    set_allowed();
    context_.begin();
    load_.begin();
    faults_.begin();
    step_timer_.set(0);
    context_.loop().run();
    finish();
    return context_.result();
  }

 private:
  void start() {
    servers_.write_files();
    instances_.start_all();
    servers_.start_all();
    for (int i = 0; i < context_.incident().proxies; ++i) proxies_.add(instances_.discovery(i));
    context_.wait_for([this] { return load_.is_ready(); }, kStartTimeout);
    if (context_.options().replicated)
      releases_ = std::make_unique<RigReleases>(context_, servers_, instances_.admin_ports());
  }

  void set_allowed() {
    const Incident& incident = context_.incident();
    RigUnavailable& unavailable = context_.result().unavailable;
    unavailable.allowed = share_of(incident.max_unavailable, incident.nodes);
    if (incident.services == 0) return;
    unavailable.service_allowed =
        share_of(incident.service_max_unavailable * incident.nodes / incident.services, 1);
  }

  void step() {
    step_timer_.set(kStepInterval);
    context_.run_due_tasks();
    load_.offer_due();
    faults_.play_due();
    if (context_.now() - checked_at_ > kCheckInterval) check();
    const Nanos faults_end = context_.begin_time() + context_.incident().length;
    if (context_.now() > faults_end + kHealAfter && !healed_) {
      healed_ = true;
      instances_.heal_links();
      servers_.heal_links();
    }
    bool releasing = releases_ && releases_->has_current();
    if (context_.now() > faults_end + kEndAfter && !releasing) context_.loop().stop();
  }

  void check() {
    checked_at_ = context_.now();
    proxies_.check_owners();
    servers_.check_logs();
    instances_.check_exits();
    instances_.check_logs();
    servers_.restart_exited();
    servers_.check_budgets(releases_ ? releases_->leased_servers() : std::set<std::string>());
    if (context_.options().fixed_batch_restarts) {
      servers_.restart_next_batch();
    } else if (releases_) {
      releases_->step();
    }
  }

  void finish() {
    releases_.reset();
    step_timer_.clear();  // its steps would stop the loop during the waits of the check below
    context_.result().failovers = instances_.failovers();
    context_.result().timeline = context_.timeline();
    if (context_.options().replicated) instances_.check_recovered();
    if (context_.result().violations.total() > 0) context_.result().folder = context_.folder();
  }

  RigContext context_;
  RigProxies proxies_;
  RigInstances instances_;
  RigServers servers_;
  RigLoad load_;
  std::unique_ptr<RigReleases> releases_;  // nullptr: each instance decides alone
  RigFaults faults_;
  net::Timer step_timer_;
  Nanos checked_at_ = 0;
  bool healed_ = false;
};

}  // namespace

RigResult play(const RigOptions& options) { return Rig(options).run(); }

}  // namespace myrtlecroft::rehearsal
