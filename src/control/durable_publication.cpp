#include "control/durable_publication.h"

#include <utility>

#include "routing_state/saved_state.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kSaveInterval = 1000 * kMs;  // where no publication waits, or the disk fails

}  // namespace

DurablePublication::DurablePublication(net::Loop& loop, service::Logger& log, const std::string& folder,
                                       Targets targets)
    : loop_(loop), log_(log), folder_(folder), targets_(std::move(targets)) {
  if (folder.empty()) return;
  store_ = std::make_unique<StateStore>(folder, loop, [this](SaveResult result) { saved(result); });
}

std::optional<routing::PersistedState> DurablePublication::restore() {
  if (!store_ || store_->loaded().empty()) return std::nullopt;
  std::optional<routing_state::SavedState> state = routing_state::parse_saved_state(store_->loaded());
  if (!state) {
    log_.line("state folder " + folder_ +
              ": this version can't read the saved state; owners of shards are unknown");
    return std::nullopt;
  }
  targets_.discovery.restore_known(state->proxies);
  log_.line("restored saved state: " + std::to_string(state->routing.snapshot.nodes.size()) + " servers, " +
            std::to_string(state->proxies.size()) + " proxies");
  return std::move(state->routing);
}

void DurablePublication::step() {
  if (!store_) {
    if (pending_) targets_.publisher.publish(*std::exchange(pending_, nullptr));
    return;
  }
  if (store_->is_saving()) return;
  bool at_once = pending_ && !disk_fails_;
  if (!at_once && loop_.now() - attempted_at_ < kSaveInterval) return;
  attempted_at_ = loop_.now();
  covered_ = pending_;
  saving_ = routing_state::serialize({targets_.state(), targets_.discovery.known_proxies()});
  if (saving_ == saved_) {
    saved(SaveResult::kDurable);
  } else {
    store_->save(saving_);
  }
}

void DurablePublication::saved(SaveResult result) {
  log_disk_change(result);
  disk_fails_ = result == SaveResult::kFailed;
  if (disk_fails_) return;
  saved_ = std::move(saving_);
  if (!covered_) return;
  targets_.publisher.publish(*covered_);
  if (pending_ == covered_) pending_.reset();
  covered_.reset();
  if (pending_) step();
}

void DurablePublication::log_disk_change(SaveResult result) {
  bool fails = result == SaveResult::kFailed;
  if (fails == disk_fails_) return;
  std::string served = std::to_string(targets_.publisher.number());
  log_.line(fails ? "state folder " + folder_ + ": a write failed; publication " + served +
                        " is served until a write succeeds"
                  : "state folder " + folder_ + ": writes succeed again");
}

}  // namespace myrtlecroft::control
