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
constexpr std::size_t kNumberBytes = 8;  // size of a number in a key or value
constexpr const char* kUnwritable = "the log folder is not writable";
// Longest wait for a durable write of the vote or owner.
constexpr auto kMaxVoteWait = std::chrono::milliseconds(1000);
constexpr auto kPollInterval = std::chrono::microseconds(100);

std::string entry_key(std::uint64_t index) {
  std::string out(kEntryKey);
  store::put_number(out, index);
  return out;
}

std::string encode_vote(std::uint64_t term, ReplicaId voted_for) {
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
  if (!entries.empty()) highest_written_ = entries.rbegin()->first;
  // If the entry at the snapshot's index has another term, the snapshot replaced it and all entries after it.
  auto at_base = entries.find(base);
  if (at_base != entries.end() && at_base->second.term() != persisted_.snapshot->term()) entries.clear();
  if (!entries.empty() && entries.rbegin()->first < base) entries.clear();
  persisted_.first = entries.empty() ? base + 1 : entries.begin()->first;
  if (persisted_.first > base + 1) {
    throw std::runtime_error("the log has a gap: entries " + std::to_string(base + 1) + " to " +
                             std::to_string(persisted_.first - 1) + " are missing");
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
    if (!vote.ParseFromString(record.value)) throw std::runtime_error("the stored vote is malformed");
    persisted_.term = vote.term();
    persisted_.voted_for = vote.voted_for();
  }
  if (record.key == kSnapshotKey) {
    LogSnapshot snapshot;
    if (!snapshot.ParseFromString(record.value)) throw std::runtime_error("the stored snapshot is malformed");
    persisted_.snapshot = std::move(snapshot);
  }
  if (record.key.starts_with(kEntryKey) && record.key.size() == kEntryKey.size() + kNumberBytes) {
    LogEntry entry;
    if (!entry.ParseFromString(record.value)) throw std::runtime_error("a stored log entry is malformed");
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

// Blocks the event loop, because a member must not answer before its vote is durable. The callback shares
// ownership of `result`: the write may complete after the time limit.
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
  if (write_failed_) {
    // Erases entries whose writes may have succeeded, before anything else is written.
    for (std::uint64_t index = persisted_.first + persisted_.entries.size(); index <= highest_written_;
         ++index)
      erase_entry(index);
    highest_written_ = persisted_.first + persisted_.entries.size() - 1;
  }
  ++generation_;
  write_failed_ = false;
  return persisted_;
}

bool StoreRaftStorage::is_writable() const { return committer_->health() != store::DiskHealth::kFailed; }

void StoreRaftStorage::put(const std::string& key, const std::string& value, std::function<void(bool)> done) {
  committer_->put(key, value, 0, std::move(done));
}

void StoreRaftStorage::erase_entry(std::uint64_t index) { committer_->erase(entry_key(index)); }

// Returns a callback that queues `done` for run_completions(), so that it runs neither within the call that
// wrote nor while put_and_wait() waits for a vote.
RaftStorage::WriteCallback StoreRaftStorage::ordered_completion(WriteCallback done,
                                                                std::function<void()> on_durable) {
  return [this, done = std::move(done), on_durable = std::move(on_durable),
          generation = generation_](bool durable) {
    if (generation != generation_) return;
    write_failed_ = write_failed_ || !durable;
    if (!write_failed_ && on_durable) on_durable();
    if (done) completions_.push_back({done, !write_failed_});
  };
}

void StoreRaftStorage::run_completions() {
  committer_->deliver_completions();
  while (!completions_.empty()) {
    Completion completion = std::move(completions_.front());
    completions_.pop_front();
    completion.done(completion.durable);
  }
}

bool StoreRaftStorage::save_vote(std::uint64_t term, ReplicaId voted_for) {
  if (write_failed_) return false;
  if (!put_and_wait(kVoteKey, encode_vote(term, voted_for))) {
    write_failed_ = true;
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
      std::size_t offset = static_cast<std::size_t>(index - persisted_.first);
      if (offset < persisted_.entries.size()) persisted_.entries.resize(offset);
      persisted_.entries.push_back(entry);
    };
    highest_written_ = std::max(highest_written_, first + i);
    put(entry_key(first + i), entries[i].SerializeAsString(),
        ordered_completion(i + 1 == count ? done : WriteCallback(), std::move(on_durable)));
  }
}

void StoreRaftStorage::truncate(std::uint64_t from) {
  for (std::uint64_t index = from; index <= highest_written_; ++index) erase_entry(index);
  // The store reports no completion of an erase; a write of the vote after it stands for one.
  put(kVoteKey, encode_vote(persisted_.term, persisted_.voted_for), ordered_completion({}, [this, from] {
        std::size_t offset = from > persisted_.first ? static_cast<std::size_t>(from - persisted_.first) : 0;
        if (offset < persisted_.entries.size()) persisted_.entries.resize(offset);
      }));
}

void StoreRaftStorage::save_snapshot(const LogSnapshot& snapshot, std::uint64_t first_retained,
                                     WriteCallback done) {
  put(kSnapshotKey, snapshot.SerializeAsString(),
      ordered_completion(std::move(done), [this, snapshot, first_retained] {
        persisted_.snapshot = snapshot;
        while (persisted_.first < first_retained && !persisted_.entries.empty()) {
          erase_entry(persisted_.first++);
          persisted_.entries.erase(persisted_.entries.begin());
        }
        persisted_.first = std::max(persisted_.first, first_retained);
      }));
}

void StoreRaftStorage::replace(const PersistentState& state) {
  for (std::uint64_t index = persisted_.first; index <= highest_written_; ++index) erase_entry(index);
  for (std::size_t i = 0; i < state.entries.size(); ++i) {
    put(entry_key(state.first + i), state.entries[i].SerializeAsString(), {});
    highest_written_ = std::max(highest_written_, state.first + i);
  }
  if (!put_and_wait(kVoteKey, encode_vote(state.term, state.voted_for)))
    throw std::runtime_error(kUnwritable);
  persisted_ = state;
}

}  // namespace myrtlecroft::consensus
