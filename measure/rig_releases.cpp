#include "rig_releases.h"

#include <algorithm>

#include "rig_files.h"

namespace myrtlecroft::rehearsal {
namespace {

constexpr Nanos kMaxRelease = 120 * kSecond;
constexpr Nanos kHaltPropagation = 1500 * kMs;  // until every server must know of a halt
constexpr Nanos kOperatorReaction = kSecond;    // delay of the operator's reaction to a halt
constexpr int kMaxResumes = 2;                  // resumes of a release without a defect that halted
constexpr int kSmallFleet = 12;                 // servers; with so few, the analysis can't be more exact
// Release phases as they appear in admin answers.
constexpr const char* kHalted = "halted";
constexpr const char* kRollbackHalted = "halted on the way back";
constexpr const char* kRollingBack = "going back";
constexpr const char* kDone = "done";
constexpr const char* kRolledBack = "taken back";

standin::Behaviour behaviour_of(Defect defect) {
  switch (defect) {
    case Defect::kSlow:
      return {.slow = 4, .after = 0, .min_concurrent_runs = 0, .request_class = "", .silent = false};
    case Defect::kSlowUnderLoad:
      return {.slow = 4, .after = 0, .min_concurrent_runs = 2, .request_class = "", .silent = false};
    case Defect::kSlowAfterDelay:
      return {
          .slow = 5, .after = 4 * kSecond, .min_concurrent_runs = 0, .request_class = "", .silent = false};
    case Defect::kSlowRequestClass:
      return {
          .slow = 5, .after = 0, .min_concurrent_runs = 0, .request_class = kReadClasses[1], .silent = false};
    case Defect::kLost:
      return {.slow = 1, .after = 0, .min_concurrent_runs = 0, .request_class = "", .silent = true};
    case Defect::kNone:
      return {};
  }
  return {};
}

bool is_halted(const control::ReleaseRow& row) {
  return row.phase() == kHalted || row.phase() == kRollbackHalted;
}

double seconds(Nanos time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

}  // namespace

bool RigReleases::under_way() const {
  if (!current_) return false;
  bool halted = current_->stopped_at > 0 && current_->outcome.outcome == kHalted;
  return !halted || context_.now() - current_->stopped_at <= kHaltPropagation;
}

std::set<std::string> RigReleases::leased_servers() const {
  std::set<std::string> out;
  control::AdminAnswer status = operator_.status();
  for (const control::MaintenanceLeaseRow& row : status.trips()) out.insert(row.node());
  return out;
}

agreement::Plan RigReleases::plan_of(const PlannedRelease& planned) const {
  const Incident& incident = context_.incident();
  agreement::Plan plan;
  plan.set_name(name_of(planned.defect));
  plan.set_version(static_cast<std::uint32_t>(planned.version));
  plan.set_first_nodes(static_cast<std::uint32_t>(incident.first_nodes));
  for (std::uint32_t thousandths : {100u, 400u, 1000u}) plan.add_waves(thousandths);
  plan.set_soak_ns(incident.soak);
  plan.set_longest_soak_ns(5 * incident.soak);
  plan.set_empty_within_ns(6 * kSecond);
  plan.set_back_within_ns(8 * kSecond);
  plan.set_warm_within_ns(15 * kSecond);
  plan.set_way_back(true);
  plan.set_most_failed(static_cast<std::uint32_t>(std::max(1, incident.nodes / 20)));
  plan.set_least_exchanges(6);
  plan.set_worse_by(100);
  plan.set_good_within(300);
  plan.set_slower_by(250);
  plan.set_false_halts(20);
  plan.set_false_goods(incident.nodes < kSmallFleet ? 200 : 50);
  plan.set_alarm(400);
  plan.set_alarm_for_ns(5 * kSecond);
  plan.set_reserve(50);
  for (const char* read : kReadClasses) plan.add_groups(read);
  return plan;
}

void RigReleases::step() {
  if (!current_) {
    start_next();
    return;
  }
  control::AdminAnswer status = operator_.status();
  const control::ReleaseRow& row = status.release();
  ReleaseOutcome& outcome = current_->outcome;
  if (current_->stopped_at == 0) {
    double updated = servers_.running_version(outcome.planned.version);
    outcome.max_updated_share = std::max(outcome.max_updated_share, updated / servers_.count());
  }
  bool not_started = row.id() < current_->id;
  if (not_started && context_.now() - current_->started_at < kMaxRelease) return;
  update_outcome(row);
  if (is_over(row)) finish();
}

void RigReleases::start_next() {
  std::size_t next = context_.result().releases.size();
  const std::vector<PlannedRelease>& releases = context_.incident().releases;
  if (next >= releases.size() || context_.now() < context_.begin_time() + releases[next].at) return;
  const PlannedRelease& planned = releases[next];
  servers_.set_behaviour(planned.version, behaviour_of(planned.defect));
  CurrentRelease& current = current_.emplace();
  current.outcome.planned = planned;
  current.started_at = context_.now();
  current.id = operator_.status().release().id() + 1;
  operator_.send(planned.instance, releases::release_start_command(plan_of(planned)));
  context_.record_event("release to " + std::to_string(planned.version) + ", " + name_of(planned.defect));
}

void RigReleases::update_outcome(const control::ReleaseRow& row) {
  ReleaseOutcome& outcome = current_->outcome;
  if (outcome.outcome != row.phase()) context_.record_event("release " + row.phase());
  outcome.outcome = row.phase();
  bool halted = is_halted(row);
  bool rolling_back = row.phase() == kRollingBack;
  if ((halted || rolling_back) && current_->stopped_at == 0) {
    current_->stopped_at = context_.now();
    outcome.stopped = true;
    outcome.reason = row.reason();
  }
  if (halted) handle_halt(row);
  if (!halted && !rolling_back && current_->command_sent) {
    current_->stopped_at = 0;
    current_->command_sent = false;
  }
}

void RigReleases::handle_halt(const control::ReleaseRow& row) {
  if (current_->command_sent || context_.now() - current_->stopped_at <= kOperatorReaction) return;
  current_->command_sent = true;
  const PlannedRelease& planned = current_->outcome.planned;
  bool resume = row.phase() == kRollbackHalted;
  if (planned.defect == Defect::kNone) {
    resume = resume || current_->resumes < kMaxResumes;
    ++current_->resumes;
  }
  operator_.send(planned.instance, resume ? "release resume" : "release back");
}

bool RigReleases::is_over(const control::ReleaseRow& row) const {
  return row.phase() == kDone || row.phase() == kRolledBack ||
         context_.now() - current_->started_at > kMaxRelease;
}

void RigReleases::finish() {
  ReleaseOutcome& outcome = current_->outcome;
  outcome.duration_s = seconds(context_.now() - current_->started_at);
  if (current_->stopped_at > 0) outcome.rollback_s = seconds(context_.now() - current_->stopped_at);
  context_.result().releases.push_back(outcome);
  current_.reset();
}

}  // namespace myrtlecroft::rehearsal
