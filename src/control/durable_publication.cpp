#include "control/durable_publication.h"

#include <utility>

#include "routing_state/saved_state.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kSaveInterval = 1000 * kMs;  // while no publication is pending or the disk fails

}  // namespace

DurablePublication::DurablePublication(net::Loop& loop, service::Logger& log, const std::string& folder,
                                       Targets targets)
    : loop_(loop), log_(log), folder_(folder), targets_(std::move(targets)) {
  if (folder.empty()) return;
  store_ =
      std::make_unique<StateStore>(folder, loop, [this](SaveResult result) { handle_save_result(result); });
}

std::optional<routing::PersistedState> DurablePublication::restore() {
  if (!store_ || store_->loaded().empty()) return std::nullopt;
  std::optional<routing_state::SavedState> state = routing_state::parse_saved_state(store_->loaded());
  if (!state) {
    log_.line("state folder " + folder_ +
              ": this version can't read the saved state; owners of shards are unknown");
    return std::nullopt;
  }
  targets_.discovery.restore_known_proxies(state->proxies);
  log_.line("restored saved state: " + std::to_string(state->routing.snapshot.nodes.size()) + " servers, " +
            std::to_string(state->proxies.size()) + " proxies");
  return std::move(state->routing);
}

void DurablePublication::step() {
  if (!store_) {
    if (pending_publication_) targets_.publisher.publish(*std::exchange(pending_publication_, nullptr));
    return;
  }
  if (store_->is_saving()) return;
  bool save_now = pending_publication_ && !disk_fails_;
  if (!save_now && loop_.now() - last_attempt_at_ < kSaveInterval) return;
  last_attempt_at_ = loop_.now();
  publication_being_saved_ = pending_publication_;
  state_being_saved_ = routing_state::serialize({targets_.state(), targets_.discovery.known_proxies()});
  if (state_being_saved_ == last_saved_state_) {
    handle_save_result(SaveResult::kDurable);
  } else {
    store_->save(state_being_saved_);
  }
}

void DurablePublication::handle_save_result(SaveResult result) {
  log_disk_change(result);
  disk_fails_ = result == SaveResult::kFailed;
  if (disk_fails_) return;
  last_saved_state_ = std::move(state_being_saved_);
  if (!publication_being_saved_) return;
  targets_.publisher.publish(*publication_being_saved_);
  if (pending_publication_ == publication_being_saved_) pending_publication_.reset();
  publication_being_saved_.reset();
  if (pending_publication_) step();
}

void DurablePublication::log_disk_change(SaveResult result) {
  bool failing = result == SaveResult::kFailed;
  if (failing == disk_fails_) return;
  std::string served_number = std::to_string(targets_.publisher.number());
  log_.line(failing ? "state folder " + folder_ + ": a write failed; publication " + served_number +
                          " is served until a write succeeds"
                    : "state folder " + folder_ + ": writes succeed again");
}

}  // namespace myrtlecroft::control
