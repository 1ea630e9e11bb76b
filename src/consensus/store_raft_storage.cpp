#include "consensus/store_raft_storage.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

#include "store/numbers.h"

namespace myrtlecroft::consensus {
namespace {

const std::string kOwnerKey = "owner";
const std::string kVoteKey = "vote";
const std::string kSnapshotKey = "snapshot";
constexpr std::string_view kEntryKey = "entry/";
constexpr std::size_t kNumberBytes = 8;  // of a number in a key or value
constexpr const char* kUnwritable = "the folder of the log can't be written";
// Longest wait for a durable write of the vote.
constexpr auto kMaxVoteWait = std::chrono::milliseconds(1000);
constexpr auto kPollInterval = std::chrono::microseconds(100);

std::string key_of(std::uint64_t index) {
  std::string out(kEntryKey);
  store::put_number(out, index);
  return out;
}

std::string vote_of(std::uint64_t term, ReplicaId voted_for) {
  Vote out;
  out.set_term(term);
  out.set_voted_for(voted_for);
  return out.SerializeAsString();
}

}  // namespace

StoreRaftStorage::StoreRaftStorage(const std::string& folder, std::function<Nanos()> clock,
                                   std::function<void()> wake)
    : disk_(folder), store_(disk_, {}, clock, std::random_device()()) {
  store_.open();
  recover();
  committer_ = std::make_unique<store::GroupCommitter>(store_, store::CommitterOptions{}, std::move(clock),
                                                       std::move(wake));
}

StoreRaftStorage::~StoreRaftStorage() = default;

void StoreRaftStorage::recover() {
  std::map<std::uint64_t, LogEntry> entries;
  store_.for_each([&](const store::Record& record) { read_record(record, entries); });
  std::uint64_t base = persisted_.snapshot ? persisted_.snapshot->index() : 0;
  if (!entries.empty()) highest_ = entries.rbegin()->first;
  // The snapshot's last entry is stored with another term: the snapshot replaced it and all that follows.
  auto at_base = entries.find(base);
  if (at_base != entries.end() && at_base->second.term() != persisted_.snapshot->term()) entries.clear();
  if (!entries.empty() && entries.rbegin()->first < base) entries.clear();
  persisted_.first = entries.empty() ? base + 1 : entries.begin()->first;
  if (persisted_.first > base + 1) {
    throw std::runtime_error("the log has a gap: entries " + std::to_string(base + 1) + " to " +
                             std::to_string(persisted_.first - 1) + " are not there");
  }
  std::uint64_t next = persisted_.first;
  std::uint64_t term = 0;
  for (auto& [index, entry] : entries) {
    // After a gap, or of an earlier term than the entry before it: left over from a truncation.
    if (index != next || entry.term() < term) break;
    term = entry.term();
    ++next;
    persisted_.entries.push_back(std::move(entry));
  }
}

void StoreRaftStorage::read_record(const store::Record& record, std::map<std::uint64_t, LogEntry>& entries) {
  if (record.key == kOwnerKey && record.value.size() >= kNumberBytes)
    owner_ = store::get_number<std::uint64_t>(record.value);
  if (record.key == kVoteKey) {
    Vote vote;
    if (!vote.ParseFromString(record.value))
      throw std::runtime_error("the vote makes no sense to this version");
    persisted_.term = vote.term();
    persisted_.voted_for = vote.voted_for();
  }
  if (record.key == kSnapshotKey) {
    LogSnapshot snapshot;
    if (!snapshot.ParseFromString(record.value))
      throw std::runtime_error("the snapshot makes no sense to this version");
    persisted_.snapshot = std::move(snapshot);
  }
  if (record.key.starts_with(kEntryKey) && record.key.size() == kEntryKey.size() + kNumberBytes) {
    LogEntry entry;
    if (!entry.ParseFromString(record.value))
      throw std::runtime_error("an entry makes no sense to this version");
    entries[store::get_number<std::uint64_t>(std::string_view(record.key).substr(kEntryKey.size()))] =
        std::move(entry);
  }
}

void StoreRaftStorage::set_owner(ReplicaId id) {
  std::string value;
  store::put_number(value, id);
  if (!put_and_wait(kOwnerKey, value)) throw std::runtime_error(kUnwritable);
  owner_ = id;
}

// Blocks the loop: a member must not answer before its vote is durable. A completion after the time limit
// writes to `result`, which it shares.
bool StoreRaftStorage::put_and_wait(const std::string& key, const std::string& value) {
  auto result = std::make_shared<std::optional<bool>>();
  put(key, value, [result](bool durable) { *result = durable; });
  auto until = std::chrono::steady_clock::now() + kMaxVoteWait;
  for (;;) {
    committer_->deliver_completions();
    if (*result) return **result;
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
}

PersistentState StoreRaftStorage::load() {
  if (failed_) {
    // Erases entries whose writes may have succeeded, before anything else is written.
    for (std::uint64_t index = persisted_.first + persisted_.entries.size(); index <= highest_; ++index)
      drop_entry(index);
    highest_ = persisted_.first + persisted_.entries.size() - 1;
  }
  ++generation_;
  failed_ = false;
  return persisted_;
}

bool StoreRaftStorage::is_writable() const { return committer_->health() != store::DiskHealth::kFailed; }

void StoreRaftStorage::put(const std::string& key, const std::string& value, std::function<void(bool)> done) {
  committer_->put(key, value, 0, std::move(done));
}

void StoreRaftStorage::drop_entry(std::uint64_t index) { committer_->erase(key_of(index)); }

// Callbacks run from run_completions() only: neither within the call that wrote nor while a vote is awaited.
RaftStorage::WriteCallback StoreRaftStorage::in_order(WriteCallback done, std::function<void()> on_durable) {
  return [this, done = std::move(done), on_durable = std::move(on_durable),
          generation = generation_](bool durable) {
    if (generation != generation_) return;
    failed_ = failed_ || !durable;
    if (!failed_ && on_durable) on_durable();
    if (done) finished_.push_back({done, !failed_});
  };
}

void StoreRaftStorage::run_completions() {
  committer_->deliver_completions();
  while (!finished_.empty()) {
    Finished one = std::move(finished_.front());
    finished_.pop_front();
    one.done(one.durable);
  }
}

bool StoreRaftStorage::save_vote(std::uint64_t term, ReplicaId voted_for) {
  if (failed_) return false;
  if (!put_and_wait(kVoteKey, vote_of(term, voted_for))) {
    failed_ = true;
    return false;
  }
  persisted_.term = term;
  persisted_.voted_for = voted_for;
  return true;
}

void StoreRaftStorage::append(std::uint64_t first, std::vector<LogEntry> entries, WriteCallback done) {
  std::size_t count = entries.size();
  for (std::size_t i = 0; i < count; ++i) {
    std::function<void()> on_durable = [this, index = first + i, entry = entries[i]] {
      std::size_t place = static_cast<std::size_t>(index - persisted_.first);
      if (place < persisted_.entries.size()) persisted_.entries.resize(place);
      persisted_.entries.push_back(entry);
    };
    highest_ = std::max(highest_, first + i);
    put(key_of(first + i), entries[i].SerializeAsString(),
        in_order(i + 1 == count ? done : WriteCallback(), std::move(on_durable)));
  }
}

void StoreRaftStorage::truncate(std::uint64_t from) {
  for (std::uint64_t index = from; index <= highest_; ++index) drop_entry(index);
  // The store reports no completion of an erase; a write of the vote after it stands for one.
  put(kVoteKey, vote_of(persisted_.term, persisted_.voted_for), in_order({}, [this, from] {
        std::size_t place = from > persisted_.first ? static_cast<std::size_t>(from - persisted_.first) : 0;
        if (place < persisted_.entries.size()) persisted_.entries.resize(place);
      }));
}

void StoreRaftStorage::save_snapshot(const LogSnapshot& snapshot, std::uint64_t first_retained,
                                     WriteCallback done) {
  put(kSnapshotKey, snapshot.SerializeAsString(), in_order(std::move(done), [this, snapshot, first_retained] {
        persisted_.snapshot = snapshot;
        while (persisted_.first < first_retained && !persisted_.entries.empty()) {
          drop_entry(persisted_.first++);
          persisted_.entries.erase(persisted_.entries.begin());
        }
        persisted_.first = std::max(persisted_.first, first_retained);
      }));
}

void StoreRaftStorage::replace(const PersistentState& state) {
  for (std::uint64_t index = persisted_.first; index <= highest_; ++index) drop_entry(index);
  for (std::size_t i = 0; i < state.entries.size(); ++i) {
    put(key_of(state.first + i), state.entries[i].SerializeAsString(), {});
    highest_ = std::max(highest_, state.first + i);
  }
  if (!put_and_wait(kVoteKey, vote_of(state.term, state.voted_for))) throw std::runtime_error(kUnwritable);
  persisted_ = state;
}

}  // namespace myrtlecroft::consensus
