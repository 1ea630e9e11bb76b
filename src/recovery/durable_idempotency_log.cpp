#include "recovery/durable_idempotency_log.h"

#include <map>
#include <random>
#include <utility>

#include "recovery/idempotency_records.h"
#include "store/file_disk.h"
#include "store/group_committer.h"

namespace myrtlecroft::recovery {
namespace {

constexpr Nanos kCheckInterval = 100 * kMs;  // for expired windows and the disk's health
// Store key of the shard assignment.
const std::string kAssignmentKey = "order";
constexpr char kSeparator = '\n';  // between request class and key; neither contains it

std::string stored_key(const service::ServerRequest& request) {
  return request.request_class->name + kSeparator + request.key;
}

class StoredIdempotencyLog final : public DurableIdempotencyLog {
 public:
  StoredIdempotencyLog(const std::string& folder, net::Loop& loop, service::Logger& log)
      : loop_(loop),
        log_(log),
        disk_(folder),
        store_(
            disk_, {}, [this] { return loop_.now(); }, std::random_device()()),
        check_timer_(loop.base(), [this] { run_periodic_checks(); }),
        wakeup_(loop.base(), [this] { committer_->deliver_completions(); }) {
    Nanos open_started = loop.now();
    store::RecoveryStats stats = store_.open();
    log_opened(stats, loop.now() - open_started);
  }

  void attach(service::Service& service) override {
    service_ = &service;
    store_.for_each([this](const store::Record& record) { restore(record); });
    // The committer's thread is the only one that uses the store from now on.
    committer_ = std::make_unique<store::GroupCommitter>(
        store_, store::CommitterOptions{}, [this] { return loop_.now(); }, [this] { wakeup_.notify(); });
    check_timer_.set(kCheckInterval);
  }

  std::string saved_assignment() override { return assignment_; }
  void save_assignment(const std::string& assignment) override {
    committer_->put(kAssignmentKey, assignment, 0, {});
  }

  bool accepts_writes() const override {
    return committer_ && committer_->health() != store::DiskHealth::kFailed;
  }

  void record_intent(const service::ServerRequest& request, Nanos window) override {
    std::string key = stored_key(request);
    // The service asks for an intent only if it knows no run of this key, so that an existing entry is left
    // over from a rejected request and is replaced.
    if (records_.handle(key, Event::kRequested, {.window = window}) != Action::kRecordIntent) {
      records_.handle(key, Event::kWindowExpired);
      records_.handle(key, Event::kRequested, {.window = window});
    }
    expiries_.emplace(loop_.now() + window, key);
    std::uint64_t attempt = ++attempts_;
    pending_intents_[key] = attempt;
    committer_->put(key, records_.encoded(key), window, [this, key, id = request.id, attempt](bool durable) {
      intent_written(key, id, attempt, durable);
    });
  }

  void record_outcome(const service::ServerRequest& request, bool completed,
                      std::string_view result) override {
    std::string key = stored_key(request);
    const IdempotencyRecords::Entry* entry = records_.find(key);
    Nanos window = entry ? entry->window : 0;
    Event event = completed ? Event::kRunCompleted : Event::kRunFailed;
    if (records_.handle(key, event, {.result = result}) != Action::kRecordOutcome) return;
    committer_->put(key, records_.encoded(key), window, {});
    records_.forget_result(key);
  }

  void erase_intent(const service::ServerRequest& request) override {
    std::string key = stored_key(request);
    pending_intents_.erase(key);
    if (records_.handle(key, Event::kNeverRan) == Action::kEraseIntent) committer_->erase(key);
  }

 private:
  void restore(const store::Record& record) {
    if (record.key == kAssignmentKey) assignment_ = record.value;
    std::size_t separator = record.key.find(kSeparator);
    if (separator == std::string::npos) return;
    Nanos remaining = record.window - (store_.now() - record.written_at);
    if (records_.restore(record.key, record.value, record.window) !=
        IdempotencyRecords::RestoreResult::kRestored) {
      log_.line("store: record of key '" + record.key.substr(separator + 1) +
                "' has an unknown format; the outcome of its request is unknown");
    }
    const IdempotencyRecords::Entry& entry = *records_.find(record.key);
    service_->restore(record.key.substr(0, separator), record.key.substr(separator + 1),
                      entry.state == State::kCompleted, entry.result, remaining);
    records_.forget_result(record.key);
    expiries_.emplace(loop_.now() + remaining, record.key);
  }

  void intent_written(const std::string& key, const std::string& id, std::uint64_t attempt, bool durable) {
    auto pending = pending_intents_.find(key);
    if (pending == pending_intents_.end() || pending->second != attempt) return;  // erased or superseded
    pending_intents_.erase(pending);
    Action action = records_.handle(key, durable ? Event::kWriteDurable : Event::kWriteLost);
    if (action == Action::kRun || action == Action::kReject) service_->intent_recorded(id, durable);
  }

  void run_periodic_checks() {
    check_timer_.set(kCheckInterval);
    while (!expiries_.empty() && expiries_.begin()->first <= loop_.now()) {
      records_.handle(expiries_.begin()->second, Event::kWindowExpired);
      expiries_.erase(expiries_.begin());
    }
    store::DiskHealth health = committer_->health();
    if (health != health_) log_health(std::exchange(health_, health), health);
  }

  void log_opened(const store::RecoveryStats& stats, Nanos duration) {
    log_.line("store opened in " + std::to_string(duration / kMs) + " ms: " +
              std::to_string(stats.live_records) + " live records in " + std::to_string(stats.segments) +
              " segments, " + std::to_string(stats.segments_from_hints) + " of them from hint files, " +
              std::to_string(stats.bytes) + " bytes, " + std::to_string(stats.skipped_bytes) + " skipped");
  }

  void log_health(store::DiskHealth from, store::DiskHealth to) {
    store::GroupCommitter::Stats stats = committer_->take_stats();
    log_.line(std::string("store disk ") + store::name_of(from) + " -> " + store::name_of(to) + ": " +
              std::to_string(stats.commits) + " commits, " + std::to_string(stats.failed) +
              " failed, longest " + std::to_string(stats.longest_commit / kMs) + " ms, " +
              std::to_string(records_.size()) + " keys known");
  }

  net::Loop& loop_;
  service::Logger& log_;
  service::Service* service_ = nullptr;
  store::FileDisk disk_;
  store::Store store_;
  IdempotencyRecords records_;
  std::multimap<Nanos, std::string> expiries_;            // keys by the end of their windows
  std::map<std::string, std::uint64_t> pending_intents_;  // by key: the attempt whose intent is being written
  std::uint64_t attempts_ = 0;
  std::string assignment_;
  net::Timer check_timer_;
  net::CrossThreadWakeup wakeup_;
  store::DiskHealth health_ = store::DiskHealth::kHealthy;  // as last logged
  std::unique_ptr<store::GroupCommitter> committer_;        // destroyed first: its thread uses the store
};

}  // namespace

std::unique_ptr<DurableIdempotencyLog> open_durable_idempotency_log(const settings::StoreSettings& settings,
                                                                    net::Loop& loop, service::Logger& log) {
  if (settings.folder.empty()) return nullptr;
  return std::make_unique<StoredIdempotencyLog>(settings.folder, loop, log);
}

}  // namespace myrtlecroft::recovery
