#include "rig_context.h"

#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <utility>

namespace myrtlecroft::rehearsal {
namespace {

constexpr Nanos kPollInterval = 5 * kMs;

}  // namespace

RigContext::RigContext(const RigOptions& options) : options_(options), random_(options.seed) {
  std::string folder = "/tmp/myrtlecroft_rig.XXXXXX";
  folder_ = ::mkdtemp(folder.data());
}

void RigContext::run_due_tasks() {
  while (!tasks_.empty() && tasks_.begin()->first <= loop_.now()) {
    auto task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    task();
  }
}

void RigContext::wait_for(const std::function<bool()>& condition, Nanos timeout) {
  Nanos deadline = loop_.now() + timeout;
  net::Timer poll(loop_.base(), [&] {
    if (condition() || loop_.now() > deadline) {
      loop_.stop();
    } else {
      poll.set(kPollInterval);
    }
  });
  poll.set(0);
  loop_.run();
}

void RigContext::record_violation(int RigViolations::*counter, const std::string& description) {
  ++(result_.violations.*counter);
  if (!result_.first_violation.empty()) return;
  result_.first_violation = std::to_string((loop_.now() - begin_time_) / kMs) + " ms: " + description;
}

void RigContext::count_offered() {
  ++result_.load.offered;
  ++seconds_[second_of(loop_.now())].offered;
}

void RigContext::count_completed(Nanos offered_at) {
  ++result_.load.completed;
  ++seconds_[second_of(offered_at)].completed;
}

void RigContext::record_event(const std::string& event) {
  std::string& events = seconds_[second_of(loop_.now())].events;
  events += (events.empty() ? "" : "; ") + event;
}

std::string RigContext::timeline() const {
  std::ostringstream out;
  out << "second offered completed  what\n";
  for (const auto& [at, second] : seconds_) {
    if (at < 0) continue;
    out << std::setw(6) << at << std::setw(8) << second.offered << std::setw(10) << second.completed << "  "
        << second.events << "\n";
  }
  return out.str();
}

}  // namespace myrtlecroft::rehearsal
