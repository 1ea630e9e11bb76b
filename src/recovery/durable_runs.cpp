#include "recovery/durable_runs.h"

#include <map>
#include <random>
#include <utility>
#include <vector>

#include "recovery/run_records.h"
#include "store/file_disk.h"
#include "store/group_committer.h"

namespace myrtlecroft::recovery {
namespace {

constexpr Nanos kLookEvery = 100 * kMs;
const std::string kOrderKey = "order";
constexpr char kBetween = '\n';  // a group's name and a key, neither of which holds one

std::string name_of_run(const std::string& request_class, const std::string& key) {
  return request_class + kBetween + key;
}

class StoredRuns final : public DurableRuns {
 public:
  StoredRuns(const std::string& folder, net::Loop& loop, service::Logger& log)
      : loop_(loop),
        log_(log),
        disk_(folder),
        store_(
            disk_, {}, [this] { return loop_.now(); }, std::random_device()()),
        look_(loop.base(), [this] { look(); }),
        wake_(loop.base(), [this] { committer_->deliver_completions(); }) {
    Nanos begun = loop.now();
    store::RecoveryStats found = store_.open();
    log.line("store open in " + std::to_string((loop.now() - begun) / kMs) + " ms: " +
             std::to_string(found.live_records) + " records known, " + std::to_string(found.segments) +
             " segments, " + std::to_string(found.segments_from_hints) + " by hints, " +
             std::to_string(found.bytes) + " bytes, " + std::to_string(found.skipped_bytes) + " passed over");
  }

  void serve(service::Service& service) override {
    service_ = &service;
    store_.for_each([&](const store::Record& record) {
      if (record.key == kOrderKey) order_ = record.value;
      std::size_t cut = record.key.find(kBetween);
      if (cut == std::string::npos) return;
      Nanos left = record.window - (store_.now() - record.at);
      if (!records_.recovered(record.key, record.value, record.window)) {
        log_.line(
            "store: a record that makes no sense to this version; its exchange is taken for one that may "
            "have run");
      }
      const RunRecords::Entry& entry = *records_.find(record.key);
      service.restore(record.key.substr(0, cut), record.key.substr(cut + 1), entry.state == State::kDone,
                      entry.result, left);
      records_.forget_result(record.key);
      over_.emplace(loop_.now() + left, record.key);
    });
    // From here on the store is the thread's.
    committer_ = std::make_unique<store::GroupCommitter>(
        store_, store::CommitterOptions{}, [this] { return loop_.now(); }, [this] { wake_.fire(); });
    look_.set(kLookEvery);
  }

  std::string order() override { return order_; }
  void keep_order(const std::string& order) override { committer_->put(kOrderKey, order, 0, {}); }

  bool accepts_writes() const override {
    return committer_ && committer_->health() != store::DiskHealth::kFailed;
  }

  void record_intent(const service::ServerRequest& request, Nanos window) override {
    std::string name = name_of_run(request.request_class->name, request.key);
    std::string id = request.id;
    // The key table has no entry of it: what is left here is of a run that was rejected.
    if (records_.take(name, Input::kWanted, window) != Idempotency::kIntend) {
      records_.take(name, Input::kOver);
      records_.take(name, Input::kWanted, window);
    }
    over_.emplace(loop_.now() + window, name);
    std::uint64_t attempt = ++attempts_;
    open_[name] = attempt;
    committer_->put(name, records_.record_of(name), window, [this, name, id, attempt](bool durable) {
      auto open = open_.find(name);
      if (open == open_.end() || open->second != attempt) return;  // taken back meanwhile
      open_.erase(open);
      Idempotency idempotency = records_.take(name, durable ? Input::kDurable : Input::kLost);
      if (idempotency == Idempotency::kRun || idempotency == Idempotency::kReject)
        service_->intent_recorded(id, durable);
    });
  }
  void record_outcome(const service::ServerRequest& request, bool good, std::string_view result) override {
    std::string name = name_of_run(request.request_class->name, request.key);
    const RunRecords::Entry* entry = records_.find(name);
    Nanos window = entry ? entry->window : 0;
    if (records_.take(name, good ? Input::kEndedWell : Input::kEndedBadly, 0, result) != Idempotency::kKeep)
      return;
    committer_->put(name, records_.record_of(name), window, {});
    records_.forget_result(name);
  }
  void erase_intent(const service::ServerRequest& request) override {
    std::string name = name_of_run(request.request_class->name, request.key);
    open_.erase(name);
    if (records_.take(name, Input::kNeverRan) == Idempotency::kTakeBack) committer_->erase(name);
  }

 private:
  void look() {
    look_.set(kLookEvery);
    while (!over_.empty() && over_.begin()->first <= loop_.now()) {
      records_.take(over_.begin()->second, Input::kOver);
      over_.erase(over_.begin());
    }
    store::DiskHealth health = committer_->health();
    if (health == health_) return;
    store::GroupCommitter::Counts counts = committer_->counts();
    log_.line(std::string("store: ") + store::name_of(health_) + " -> " + store::name_of(health) +
              "; commits " + std::to_string(counts.commits) + ", failed " + std::to_string(counts.failed) +
              ", longest " + std::to_string(counts.longest / kMs) + " ms, known " +
              std::to_string(records_.size()));
    health_ = health;
  }

  net::Loop& loop_;
  service::Logger& log_;
  service::Service* service_ = nullptr;
  store::FileDisk disk_;
  store::Store store_;
  RunRecords records_;
  std::multimap<Nanos, std::string> over_;     // when windows end
  std::map<std::string, std::uint64_t> open_;  // intents on their way, by the attempt that wrote them
  std::uint64_t attempts_ = 0;
  std::string order_;
  net::Timer look_;
  net::CrossThreadWakeup wake_;
  store::DiskHealth health_ = store::DiskHealth::kHealthy;
  std::unique_ptr<store::GroupCommitter> committer_;  // last: its thread goes first
};

}  // namespace

std::unique_ptr<DurableRuns> open_durable_runs(const settings::StoreSettings& settings, net::Loop& loop,
                                               service::Logger& log) {
  if (settings.folder.empty()) return nullptr;
  return std::make_unique<StoredRuns>(settings.folder, loop, log);
}

}  // namespace myrtlecroft::recovery
