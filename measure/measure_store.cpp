// What the store costs and keeps, on files: appends with shared syncs, recovery of a gigabyte with and
// without hints, commits beside compaction, and kills at random moments. Beside it, as the baseline, a plain
// log with one sync for each append and a full scan at the start.
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <thread>
#include <unordered_map>

#include "../standin/cgi_client.h"
#include "../standin/child.h"
#include "../standin/engine.h"
#include "../standin/no_log.h"
#include "../standin/node_config.h"
#include "net/address.h"
#include "recovery/idempotency_records.h"
#include "store/file_disk.h"
#include "store/group_committer.h"

namespace {

using namespace myrtlecroft;
using namespace myrtlecroft::store;
using recovery::Action;
using recovery::Event;
using recovery::IdempotencyRecords;

constexpr Nanos kLong = 1'000'000 * kSecond;

Nanos steady() { return std::chrono::steady_clock::now().time_since_epoch().count(); }
double seconds_since(Nanos then) { return static_cast<double>(steady() - then) / 1e9; }

struct Folder {
  explicit Folder(const std::string& base) : path(base + "/myrtlecroft_measure_store.XXXXXX") {
    if (!mkdtemp(path.data())) throw DiskError(path + ": can't be made", errno);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

double quantile(std::vector<double> values, double at) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
}

// Commits by `width` at once, each put again as soon as it is durable, for so long.
struct Load {
  double per_second = 0;
  double p99_ms = 0;
  double sync_per_append = 0;
  double amplification = 0;
};
Load load(const std::string& folder, int width, std::size_t bytes, Nanos how_long, Nanos window,
          bool compacting) {
  FileDisk disk(folder);
  StoreOptions options{.segment_bytes = std::size_t{8} << 20};
  if (!compacting) options.dead_share = 2, options.max_small_segments = 1'000'000;
  Store store(disk, options, steady, 1);
  store.open();
  std::vector<double> took;
  std::uint64_t done = 0;
  StoreStats before = store.stats();
  {
    std::atomic<bool> woken = false;
    GroupCommitter committer(store, {}, steady, [&] { woken = true; });
    Nanos begun = steady();
    std::mt19937 random(3);
    std::function<void(int)> put = [&](int slot) {
      Nanos since = steady();
      committer.put("key" + std::to_string(compacting ? random() % 20'000 : done), std::string(bytes, 'v'),
                    window, [&, slot, since](bool durable) {
                      if (durable) ++done;
                      took.push_back(static_cast<double>(steady() - since) / 1e6);
                      if (steady() - begun < how_long) put(slot);
                    });
    };
    for (int slot = 0; slot < width; ++slot) put(slot);
    while (steady() - begun < how_long + 200 * kMs) {
      if (woken.exchange(false)) {
        committer.deliver_completions();
      } else {
        std::this_thread::sleep_for(std::chrono::microseconds(50));
      }
    }
    committer.deliver_completions();
  }
  Load out;
  const StoreStats& totals = store.stats();
  out.per_second = static_cast<double>(done) / (static_cast<double>(how_long) / 1e9);
  out.p99_ms = quantile(took, 0.99);
  out.sync_per_append = static_cast<double>(totals.syncs - before.syncs) /
                        static_cast<double>(std::max<std::uint64_t>(done, 1));
  out.amplification = static_cast<double>(totals.written_bytes) /
                      static_cast<double>(std::max<std::uint64_t>(totals.appended_bytes, 1));
  return out;
}

// A gigabyte of records of 1,000 bytes; the time to know them all again, by hints and by reading.
void recovery_of_a_gigabyte(const std::string& folder, double& by_hint_s, double& by_scan_s) {
  {
    FileDisk disk(folder);
    Store store(disk, {}, steady, 2);
    store.open();
    for (int i = 0; i < 1'000'000; ++i) {
      store.put("key" + std::to_string(i), std::string(1'000, 'v'), kLong);
      if (i % 5'000 == 4'999) store.commit();
    }
  }
  // Each in a process of its own, as a start is, after the disk has caught up.
  auto open = [&] {
    ::sync();
    int ends[2];
    if (::pipe(ends) != 0) return -1.0;
    pid_t child = ::fork();
    if (child == 0) {
      Nanos begun = steady();
      FileDisk disk(folder);
      Store store(disk, {}, steady, 3);
      RecoveryStats found = store.open();
      double took = found.live_records == 1'000'000 ? seconds_since(begun) : -1;
      if (::write(ends[1], &took, sizeof took) < 0) ::_exit(1);
      ::_exit(0);
    }
    double took = -1;
    if (::read(ends[0], &took, sizeof took) < 0) took = -1;
    ::waitpid(child, nullptr, 0);
    ::close(ends[0]);
    ::close(ends[1]);
    return took;
  };
  by_hint_s = open();
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".hint") std::filesystem::remove(entry.path());
  }
  by_scan_s = open();
}

// ---- The baseline: one file, one sync for each append, read whole at the start.

double plain_log(const std::string& folder, std::size_t bytes, Nanos how_long, double& recover_gb_s) {
  std::string path = folder + "/plain.log";
  int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::string value(bytes, 'v');
  std::uint64_t done = 0;
  for (Nanos begun = steady(); steady() - begun < how_long; ++done) {
    std::string record;
    append_record(
        record, {.sequence = done + 1, .window = kLong, .key = "key" + std::to_string(done), .value = value},
        {});
    if (::write(file, record.data(), record.size()) < 0 || ::fdatasync(file) != 0) return -1;
  }
  ::close(file);
  // Its start over a gigabyte.
  file = ::open(path.c_str(), O_WRONLY | O_TRUNC, 0600);
  std::string chunk;
  for (std::uint64_t i = 0; i < 1'000'000; ++i) {
    append_record(chunk,
                  {.sequence = i + 1,
                   .window = kLong,
                   .key = "key" + std::to_string(i),
                   .value = std::string(1'000, 'v')},
                  {});
    if (chunk.size() > (std::size_t{1} << 22) || i + 1 == 1'000'000) {
      if (::write(file, chunk.data(), chunk.size()) < 0) return -1;
      chunk.clear();
    }
  }
  ::close(file);
  Nanos begun = steady();
  std::ifstream in(path, std::ios::binary);
  std::unordered_map<std::string, std::string> known;
  std::string bytes_read;
  std::vector<char> buffer(std::size_t{1} << 20);
  while (in.read(buffer.data(), static_cast<std::streamsize>(buffer.size())), in.gcount() > 0) {
    bytes_read.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    std::size_t at = 0;
    for (;;) {
      ParsedRecord parsed = parse_record(std::string_view(bytes_read).substr(at), {});
      if (parsed.status != ParseStatus::kRecord) break;
      known[parsed.record.key] = parsed.record.value;
      at += parsed.size;
    }
    bytes_read.erase(0, at);
  }
  recover_gb_s = seconds_since(begun);
  if (known.size() != 1'000'000) std::printf("baseline read %zu of 1000000\n", known.size());
  std::filesystem::remove(path);
  return static_cast<double>(done) / (static_cast<double>(how_long) / 1e9);
}

// ---- Kills

// One life: takes keys from 1 up, writes intents, "runs" by a line on the pipe, writes outcomes. What its
// callers were told goes over the pipe as well. It lives until it is killed.
[[noreturn]] void incarnation(const std::string& folder, int out, unsigned seed, int keys) {
  FileDisk disk(folder);
  Store store(disk, {.segment_bytes = 200'000}, steady, seed);
  store.open();
  IdempotencyRecords records;
  store.for_each([&](const Record& record) { records.restore(record.key, record.value, record.window); });
  auto tell = [&](char what, const std::string& key) {
    std::string line = what + key + "\n";
    if (::write(out, line.data(), line.size()) < 0) ::_exit(1);
  };
  std::atomic<bool> woken = false;
  GroupCommitter committer(store, {}, steady, [&] { woken = true; });
  std::mt19937 random(seed);
  tell('S', "");
  std::function<void(const std::string&)> want = [&](const std::string& key) {
    switch (records.handle(key, Event::kRequested, {.window = kLong})) {
      case Action::kRecordIntent:
        committer.put(key, records.encoded(key), kLong, [&, key](bool durable) {
          if (records.handle(key, durable ? Event::kWriteDurable : Event::kWriteLost) != Action::kRun) return;
          tell('R', key);  // its effect
          records.handle(key, Event::kRunCompleted, {.result = "of " + key});
          committer.put(key, records.encoded(key), kLong, [&, key](bool kept) {
            if (kept) tell('A', key);  // answered only now: what was told to be done stays done
          });
        });
        return;
      case Action::kAnswer:
        tell(records.find(key)->result == "of " + key ? 'A' : 'X', key);
        return;
      case Action::kFail:
        tell('T', key);
        return;
      default:
        return;
    }
  };
  for (;;) {
    for (int i = 0; i < 20; ++i) want("k" + std::to_string(random() % static_cast<unsigned>(keys)));
    std::this_thread::sleep_for(std::chrono::microseconds(200));
    if (woken.exchange(false)) committer.deliver_completions();
  }
}

void kills(const std::string& folder, int count, int& doubled, int& lost, int& runs) {
  std::map<std::string, int> ran;
  std::map<std::string, bool> answered;
  std::mt19937 random(9);
  for (int i = 0; i < count; ++i) {
    int ends[2];
    if (::pipe(ends) != 0) return;
    pid_t child = ::fork();
    if (child == 0) {
      ::close(ends[0]);
      incarnation(folder, ends[1], 100 + static_cast<unsigned>(i), 400 * (i / 4 + 1));
    }
    ::close(ends[1]);
    std::string text;
    char buffer[65'536];
    bool started = false;
    Nanos until = 0;
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    for (;;) {
      ssize_t got = ::read(ends[0], buffer, sizeof buffer);
      if (got > 0) text.append(buffer, static_cast<std::size_t>(got));
      if (!started && text.find("S\n") != std::string::npos) {
        started = true;
        until = steady() + static_cast<Nanos>(random() % 60'000) * 1'000;
      }
      if (started && steady() >= until) break;
      if (got <= 0) std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    fcntl(ends[0], F_SETFL, 0);
    for (ssize_t got; (got = ::read(ends[0], buffer, sizeof buffer)) > 0;)
      text.append(buffer, static_cast<std::size_t>(got));
    ::close(ends[0]);
    for (std::size_t at = 0, end; (end = text.find('\n', at)) != std::string::npos; at = end + 1) {
      std::string key = text.substr(at + 1, end - at - 1);
      if (text[at] == 'R' && ++ran[key] > 1) ++doubled;
      if (text[at] == 'A') answered[key] = true;
      // Told to be done once, and not known to be later.
      if ((text[at] == 'T' && answered[key]) || text[at] == 'X') ++lost;
    }
  }
  for (const auto& [key, times] : ran) runs += times;
}

// ---- The whole server killed under load, with a stand-in engine that counts what runs

class NodeKills {
 public:
  struct Figures {
    int kills = 0;
    int runs = 0;
    int doubled = 0;
    int rejected_after_run = 0;
    int answered_again = 0;  // from a record, with no run in this life
    int terminated = 0;
  };
  explicit NodeKills(const std::string& folder)
      : folder_(folder),
        random_(13),
        engine_(loop_, log_, "n1", 4, [this](const standin::ObservedRun& run) { ran(run.key); }),
        database_(loop_, log_),
        tick_(loop_.base(), [this] { tick(); }) {
    port_ = 26'000 + static_cast<int>(::getpid()) % 5'000;
    std::ofstream(folder_ + "/node.conf")
        << "version = 1; store = { folder = \"" << folder_ << "/store\"; };\n";
    standin::write_server_config(
        folder_ + "/node.json",
        {.port = port_,
         .engine = engine_.port(),
         .database = database_.port(),
         .descriptors = 256,
         .request_classes =
             R"({"name":"booking","effect":"deduplicated","gain":1,"goalTimeNs":400000000,"hardLimitNs":1500000000,)"
             R"("dedupWindowNs":600000000000})",
         .family = R"("nCores":4,"ramKb":400000,"blowup":8,"keyKb":0.1,"idleNs":30000000000)"});
  }

  Figures run(int kills) {
    for (int i = 0; i < kills; ++i) {
      ran_here_.clear();
      keys_ = 60 * (i / 3 + 1);
      engine_.restart(0);
      standin::ChildProcess node(
          {MYRTLECROFT_PROGRAM}, folder_ + "/node.log",
          {{"LB_CONFIG", folder_ + "/node.json"}, {"MYRTLECROFT_SETTINGS", folder_ + "/node.conf"}});
      first_answer_ = 0;
      last_ = static_cast<Nanos>(random_() % 120'000) * 1'000;
      begun_ = loop_.now();
      tick_.set(0);
      loop_.run();
      node.end(SIGKILL);
      // What was on its way still comes.
      net::Timer enough(loop_.base(), [this] { loop_.stop(); });
      enough.set(20 * kMs);
      loop_.run();
      caller_.reset();
      figures_.kills += first_answer_ != 0;
    }
    for (const auto& [key, times] : ran_) figures_.runs += times;
    return figures_;
  }

 private:
  class Caller final : public net::ConnectionOwner {
   public:
    explicit Caller(NodeKills& all)
        : all_(all), connection_(all.loop_.base(), all.address(), *this, all.log_, "caller") {}
    void opened(net::Connection&) override { up_ = true; }
    std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
      return standin::for_each_fastcgi_record(bytes,
                                              [this](std::uint8_t type, int id, std::string_view content) {
                                                if (type == standin::kFastCgiStdout) answers_[id] += content;
                                                if (type != standin::kFastCgiEndRequest) return;
                                                all_.answered(open_[id], answers_[id]);
                                                open_.erase(id), answers_.erase(id);
                                              });
    }
    void ended(net::Connection&, net::CloseReason) override { gone_ = true; }
    bool gone() const { return gone_; }
    void send(const std::string& key, std::uint64_t trace) {
      if (!up_ || gone_ || open_.size() >= 30) return;
      int id = 1;
      while (open_.contains(id)) ++id;
      open_[id] = key;
      standin::FastCgiRequestFields fields{.path = "/api/v2/booking",
                                           .trace = trace,
                                           .accepted_unix = net::Loop::unix_now(),
                                           .wait = 1500 * kMs,
                                           .key = key,
                                           .body = "booking " + key + " 2 0"};
      connection_.write(standin::encode_fastcgi_request(fields, id, true));
    }

   private:
    NodeKills& all_;
    net::Connection connection_;
    std::map<int, std::string> open_;
    std::map<int, std::string> answers_;
    bool up_ = false;
    bool gone_ = false;
  };

  sockaddr_in address() const { return net::loopback(static_cast<std::uint16_t>(port_)); }
  void tick() {
    Nanos now = loop_.now();
    bool over = first_answer_ ? now - first_answer_ >= last_ : now - begun_ >= 5 * kSecond;
    if (over) return loop_.stop();
    tick_.set(kMs);
    if (caller_ && caller_->gone()) caller_.reset();
    if (!caller_) caller_ = std::make_unique<Caller>(*this);
    for (int i = 0; i < 2; ++i) {
      char key[17];
      std::snprintf(key, sizeof key, "%016x",
                    1 + static_cast<unsigned>(random_()) % static_cast<unsigned>(keys_));
      caller_->send(key, ++traces_);
    }
  }
  void ran(const std::string& key) {
    if (++ran_[key] > 1) ++figures_.doubled;
    ran_here_.insert(key);
  }
  void answered(const std::string& key, const std::string& answer) {
    if (!first_answer_) first_answer_ = loop_.now();
    bool ran_before = ran_.contains(key) && !ran_here_.contains(key);
    if (answer.starts_with("Status: 200")) {
      figures_.answered_again += ran_before;
    } else if (answer.starts_with("Status: 503")) {
      figures_.rejected_after_run += ran_.contains(key);
    } else {
      ++figures_.terminated;
    }
  }

  std::string folder_;
  std::mt19937 random_;
  standin::NullLogger log_;
  net::Loop loop_;
  standin::Engine engine_;
  standin::Database database_;
  net::Timer tick_;
  int port_ = 0;
  int keys_ = 0;
  std::unique_ptr<Caller> caller_;
  std::map<std::string, int> ran_;
  std::set<std::string> ran_here_;
  std::uint64_t traces_ = 0;
  Nanos begun_ = 0;
  Nanos first_answer_ = 0;
  Nanos last_ = 0;
  Figures figures_;
};

}  // namespace

// Arguments: a folder on the disk to measure (the current one when left out), how many kills.
int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string base = argc > 1 ? argv[1] : ".";
  int kill_count = argc > 2 ? std::atoi(argv[2]) : 120;
  int doubled = 0;
  int lost = 0;
  int runs = 0;
  {
    Folder folder(base);
    kills(folder.path, kill_count, doubled, lost, runs);
  }
  std::printf("kills %d, runs %d, doubled %d, lost %d\n", kill_count, runs, doubled, lost);
  NodeKills::Figures node;
  {
    Folder folder(base);
    node = NodeKills(folder.path).run(kill_count);
  }
  std::printf(
      "the node killed %d times: runs %d, doubled %d, denied after a run %d; answered from a record %d, "
      "terminated %d\n",
      node.kills, node.runs, node.doubled, node.rejected_after_run, node.answered_again, node.terminated);
  Load quiet;
  Load busy;
  {
    Folder folder(base);
    quiet = load(folder.path, 256, 500, 5 * kSecond, kLong, false);
  }
  std::printf("appends without compaction: %.0f a second, p99 %.2f ms, %.4f syncs each\n", quiet.per_second,
              quiet.p99_ms, quiet.sync_per_append);
  {
    Folder folder(base);
    busy = load(folder.path, 256, 500, 5 * kSecond, 3 * kSecond, true);
  }
  std::printf("with compaction (20,000 keys over and over): %.0f a second, p99 %.2f ms, amplification %.2f\n",
              busy.per_second, busy.p99_ms, busy.amplification);
  double plain_recover = 0;
  double plain = 0;
  {
    Folder folder(base);
    plain = plain_log(folder.path, 500, 3 * kSecond, plain_recover);
  }
  std::printf("baseline, a plain log: %.0f appends a second, a gigabyte read in %.2f s\n", plain,
              plain_recover);
  double by_hint = 0;
  double by_scan = 0;
  {
    Folder folder(base);
    recovery_of_a_gigabyte(folder.path, by_hint, by_scan);
  }
  std::printf("a gigabyte: by hints %.2f s, read %.2f s\n", by_hint, by_scan);
  std::printf(
      "measured store recover_1gb_s=%.2f recover_scan_1gb_s=%.2f appends_per_s=%.0f commit_p99_ms=%.2f "
      "sync_per_append=%.4f "
      "write_amplification=%.2f compaction_p99_ratio=%.2f kills=%d doubled=%d lost=%d "
      "baseline_appends_per_s=%.0f "
      "baseline_recover_1gb_s=%.2f\n",
      by_hint, by_scan, quiet.per_second, quiet.p99_ms, quiet.sync_per_append, busy.amplification,
      busy.p99_ms / quiet.p99_ms, kill_count + node.kills, doubled + node.doubled,
      lost + node.rejected_after_run, plain, plain_recover);
  return doubled || lost || node.doubled || node.rejected_after_run;
}
