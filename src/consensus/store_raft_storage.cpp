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
constexpr const char* kUnwritable = "the folder of the log can't be written";
// To wait for the disk: a vote that is not there is none.
constexpr auto kLongestWait = std::chrono::milliseconds(1000);
constexpr auto kLook = std::chrono::microseconds(100);

std::string key_of(std::uint64_t index) {
  std::string out(kEntryKey);
  store::put_number(out, index);
  return out;
}

std::string vote_of(std::uint64_t term, InstanceId voted_for) {
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
  store_.for_each([&](const store::Record& record) {
    if (record.key == kOwnerKey && record.value.size() >= 8)
      owner_ = store::get_number<std::uint64_t>(record.value);
    if (record.key == kVoteKey) {
      Vote vote;
      if (!vote.ParseFromString(record.value))
        throw std::runtime_error("the vote makes no sense to this version");
      kept_.term = vote.term();
      kept_.voted_for = vote.voted_for();
    }
    if (record.key == kSnapshotKey) {
      LogSnapshot snapshot;
      if (!snapshot.ParseFromString(record.value))
        throw std::runtime_error("the snapshot makes no sense to this version");
      kept_.snapshot = std::move(snapshot);
    }
    if (record.key.starts_with(kEntryKey) && record.key.size() == kEntryKey.size() + 8) {
      LogEntry entry;
      if (!entry.ParseFromString(record.value))
        throw std::runtime_error("an entry makes no sense to this version");
      entries[store::get_number<std::uint64_t>(std::string_view(record.key).substr(kEntryKey.size()))] =
          std::move(entry);
    }
  });
  std::uint64_t base = kept_.snapshot ? kept_.snapshot->index() : 0;
  if (!entries.empty()) highest_ = entries.rbegin()->first;
  // An entry that the snapshot stands for, but of another term: all that follows it was replaced by the
  // snapshot.
  auto at_base = entries.find(base);
  if (at_base != entries.end() && at_base->second.term() != kept_.snapshot->term()) entries.clear();
  if (!entries.empty() && entries.rbegin()->first < base) entries.clear();
  kept_.first = entries.empty() ? base + 1 : entries.begin()->first;
  if (kept_.first > base + 1) {
    throw std::runtime_error("the log has a gap: entries " + std::to_string(base + 1) + " to " +
                             std::to_string(kept_.first - 1) + " are not there");
  }
  std::uint64_t next = kept_.first;
  std::uint64_t term = 0;
  for (auto& [index, entry] : entries) {
    // Behind a gap, or of an earlier term than what stands before it: a rest of what was truncated.
    if (index != next || entry.term() < term) break;
    term = entry.term();
    ++next;
    kept_.entries.push_back(std::move(entry));
  }
}

void StoreRaftStorage::set_owner(InstanceId id) {
  std::string value;
  store::put_number(value, id);
  if (!put_and_wait(kOwnerKey, value)) throw std::runtime_error(kUnwritable);
  owner_ = id;
}

// The loop stands still meanwhile: an instance has nothing to say before its vote is on the disk. What is
// told comes too late for nobody but us, as it has a place of its own.
bool StoreRaftStorage::put_and_wait(const std::string& key, const std::string& value) {
  auto told = std::make_shared<std::optional<bool>>();
  put(key, value, [told](bool durable) { *told = durable; });
  auto until = std::chrono::steady_clock::now() + kLongestWait;
  for (;;) {
    committer_->deliver_completions();
    if (*told) return **told;
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(kLook);
  }
}

PersistentState StoreRaftStorage::load() {
  if (failed_) {
    // What was sent and is not known to be there is taken back, before anything else is written.
    for (std::uint64_t index = kept_.first + kept_.entries.size(); index <= highest_; ++index)
      drop_entry(index);
    highest_ = kept_.first + kept_.entries.size() - 1;
  }
  ++generation_;
  failed_ = false;
  return kept_;
}

bool StoreRaftStorage::is_writable() const { return committer_->health() != store::DiskHealth::kFailed; }

void StoreRaftStorage::put(const std::string& key, const std::string& value, std::function<void(bool)> done) {
  committer_->put(key, value, 0, std::move(done));
}

void StoreRaftStorage::drop_entry(std::uint64_t index) { committer_->erase(key_of(index)); }

// Never out of the call that asked, nor out of one that waits for a vote: what is done is told by
// take_done().
RaftStorage::Done StoreRaftStorage::in_order(Done done, std::function<void()> kept) {
  return [this, done = std::move(done), kept = std::move(kept), generation = generation_](bool durable) {
    if (generation != generation_) return;
    failed_ = failed_ || !durable;
    if (!failed_ && kept) kept();
    if (done) finished_.push_back({done, !failed_});
  };
}

void StoreRaftStorage::take_done() {
  committer_->deliver_completions();
  while (!finished_.empty()) {
    Finished one = std::move(finished_.front());
    finished_.pop_front();
    one.done(one.durable);
  }
}

bool StoreRaftStorage::save_vote(std::uint64_t term, InstanceId voted_for) {
  if (failed_) return false;
  if (!put_and_wait(kVoteKey, vote_of(term, voted_for))) {
    failed_ = true;
    return false;
  }
  kept_.term = term;
  kept_.voted_for = voted_for;
  return true;
}

void StoreRaftStorage::append(std::uint64_t first, std::vector<LogEntry> entries, Done done) {
  std::size_t count = entries.size();
  for (std::size_t i = 0; i < count; ++i) {
    std::function<void()> kept = [this, index = first + i, entry = entries[i]] {
      std::size_t place = static_cast<std::size_t>(index - kept_.first);
      if (place < kept_.entries.size()) kept_.entries.resize(place);
      kept_.entries.push_back(entry);
    };
    highest_ = std::max(highest_, first + i);
    put(key_of(first + i), entries[i].SerializeAsString(),
        in_order(i + 1 == count ? std::move(done) : Done(), std::move(kept)));
  }
}

void StoreRaftStorage::truncate(std::uint64_t from) {
  for (std::uint64_t index = from; index <= highest_; ++index) drop_entry(index);
  // Known to be done only with what is written next, which is why it waits for a write of its own.
  put(kVoteKey, vote_of(kept_.term, kept_.voted_for), in_order({}, [this, from] {
        std::size_t place = from > kept_.first ? static_cast<std::size_t>(from - kept_.first) : 0;
        if (place < kept_.entries.size()) kept_.entries.resize(place);
      }));
}

void StoreRaftStorage::save_snapshot(const LogSnapshot& snapshot, std::uint64_t first_retained, Done done) {
  put(kSnapshotKey, snapshot.SerializeAsString(), in_order(std::move(done), [this, snapshot, first_retained] {
        kept_.snapshot = snapshot;
        while (kept_.first < first_retained && !kept_.entries.empty()) {
          drop_entry(kept_.first++);
          kept_.entries.erase(kept_.entries.begin());
        }
        kept_.first = std::max(kept_.first, first_retained);
      }));
}

void StoreRaftStorage::replace(const PersistentState& kept) {
  for (std::uint64_t index = kept_.first; index <= highest_; ++index) drop_entry(index);
  for (std::size_t i = 0; i < kept.entries.size(); ++i) {
    put(key_of(kept.first + i), kept.entries[i].SerializeAsString(), {});
    highest_ = std::max(highest_, kept.first + i);
  }
  if (!put_and_wait(kVoteKey, vote_of(kept.term, kept.voted_for))) throw std::runtime_error(kUnwritable);
  kept_ = kept;
}

}  // namespace myrtlecroft::consensus
