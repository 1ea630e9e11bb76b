// Measures the cost and durability of the store on files: appends with group commit, recovery of a gigabyte
// with and without hint files, commits during compaction, and kills at random moments. The baseline is a
// plain log with one sync for each append and a full scan at the start.
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

constexpr Nanos kLongWindow = 1'000'000 * kSecond;

Nanos steady_now() { return std::chrono::steady_clock::now().time_since_epoch().count(); }
double seconds_since(Nanos then) { return static_cast<double>(steady_now() - then) / 1e9; }

// Creates a folder and removes it at the end; throws DiskError if it can't be created.
struct TemporaryFolder {
  explicit TemporaryFolder(const std::string& base) : path(base + "/myrtlecroft_measure_store.XXXXXX") {
    if (!mkdtemp(path.data())) throw DiskError(path + ": can't create the folder", errno);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

double quantile(std::vector<double> values, double at) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
}

// Result of measure_appends(), where `width` concurrent writers each put a record once their last is durable.
struct AppendResult {
  double per_second = 0;
  double p99_ms = 0;
  double sync_per_append = 0;
  double write_amplification = 0;
};
AppendResult measure_appends(const std::string& folder, int width, std::size_t bytes, Nanos duration,
                             Nanos window, bool compacting) {
  FileDisk disk(folder);
  StoreOptions options{.segment_bytes = std::size_t{8} << 20};
  if (!compacting) options.dead_share = 2, options.max_small_segments = 1'000'000;
  Store store(disk, options, steady_now, 1);
  store.open();
  std::vector<double> latencies_ms;
  std::uint64_t done = 0;
  StoreStats before = store.stats();
  {
    std::atomic<bool> has_completions = false;
    GroupCommitter committer(store, {}, steady_now, [&] { has_completions = true; });
    Nanos started_at = steady_now();
    std::mt19937 random(3);
    std::function<void(int)> put = [&](int slot) {
      Nanos since = steady_now();
      committer.put("key" + std::to_string(compacting ? random() % 20'000 : done), std::string(bytes, 'v'),
                    window, [&, slot, since](bool durable) {
                      if (durable) ++done;
                      latencies_ms.push_back(static_cast<double>(steady_now() - since) / 1e6);
                      if (steady_now() - started_at < duration) put(slot);
                    });
    };
    for (int slot = 0; slot < width; ++slot) put(slot);
    while (steady_now() - started_at < duration + 200 * kMs) {
      if (has_completions.exchange(false)) {
        committer.deliver_completions();
      } else {
        std::this_thread::sleep_for(std::chrono::microseconds(50));
      }
    }
    committer.deliver_completions();
  }
  AppendResult out;
  const StoreStats& totals = store.stats();
  out.per_second = static_cast<double>(done) / (static_cast<double>(duration) / 1e9);
  out.p99_ms = quantile(latencies_ms, 0.99);
  out.sync_per_append = static_cast<double>(totals.syncs - before.syncs) /
                        static_cast<double>(std::max<std::uint64_t>(done, 1));
  out.write_amplification = static_cast<double>(totals.written_bytes) /
                            static_cast<double>(std::max<std::uint64_t>(totals.appended_bytes, 1));
  return out;
}

// Measures the time to recover a gigabyte of 1,000-byte records, by hint files and by a scan of the segments.
// A time is -1 where not all records were recovered.
void measure_recovery(const std::string& folder, double& by_hint_s, double& by_scan_s) {
  {
    FileDisk disk(folder);
    Store store(disk, {}, steady_now, 2);
    store.open();
    for (int i = 0; i < 1'000'000; ++i) {
      store.put("key" + std::to_string(i), std::string(1'000, 'v'), kLongWindow);
      if (i % 5'000 == 4'999) store.commit();
    }
  }
  // Each recovery runs in a new process, like a real start, after pending writes are on disk.
  auto open = [&] {
    ::sync();
    int pipe_ends[2];
    if (::pipe(pipe_ends) != 0) return -1.0;
    pid_t child = ::fork();
    if (child == 0) {
      Nanos started_at = steady_now();
      FileDisk disk(folder);
      Store store(disk, {}, steady_now, 3);
      RecoveryStats found = store.open();
      double recovery_s = found.live_records == 1'000'000 ? seconds_since(started_at) : -1;
      if (::write(pipe_ends[1], &recovery_s, sizeof recovery_s) < 0) ::_exit(1);
      ::_exit(0);
    }
    double recovery_s = -1;
    if (::read(pipe_ends[0], &recovery_s, sizeof recovery_s) < 0) recovery_s = -1;
    ::waitpid(child, nullptr, 0);
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
    return recovery_s;
  };
  by_hint_s = open();
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".hint") std::filesystem::remove(entry.path());
  }
  by_scan_s = open();
}

// ---- The baseline: one file, one sync for each append, a full scan at the start

double measure_plain_log(const std::string& folder, std::size_t bytes, Nanos duration, double& recover_gb_s) {
  std::string path = folder + "/plain.log";
  int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::string value(bytes, 'v');
  std::uint64_t done = 0;
  for (Nanos started_at = steady_now(); steady_now() - started_at < duration; ++done) {
    std::string record;
    append_record(
        record,
        {.sequence = done + 1, .window = kLongWindow, .key = "key" + std::to_string(done), .value = value},
        {});
    if (::write(file, record.data(), record.size()) < 0 || ::fdatasync(file) != 0) return -1;
  }
  ::close(file);
  // Measures the start with a gigabyte.
  file = ::open(path.c_str(), O_WRONLY | O_TRUNC, 0600);
  std::string chunk;
  for (std::uint64_t i = 0; i < 1'000'000; ++i) {
    append_record(chunk,
                  {.sequence = i + 1,
                   .window = kLongWindow,
                   .key = "key" + std::to_string(i),
                   .value = std::string(1'000, 'v')},
                  {});
    if (chunk.size() > (std::size_t{1} << 22) || i + 1 == 1'000'000) {
      if (::write(file, chunk.data(), chunk.size()) < 0) return -1;
      chunk.clear();
    }
  }
  ::close(file);
  Nanos started_at = steady_now();
  std::ifstream in(path, std::ios::binary);
  std::unordered_map<std::string, std::string> index;
  std::string bytes_read;
  std::vector<char> buffer(std::size_t{1} << 20);
  while (in.read(buffer.data(), static_cast<std::streamsize>(buffer.size())), in.gcount() > 0) {
    bytes_read.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    std::size_t at = 0;
    for (;;) {
      ParsedRecord parsed = parse_record(std::string_view(bytes_read).substr(at), {});
      if (parsed.status != ParseStatus::kRecord) break;
      index[parsed.record.key] = parsed.record.value;
      at += parsed.size;
    }
    bytes_read.erase(0, at);
  }
  recover_gb_s = seconds_since(started_at);
  if (index.size() != 1'000'000) std::printf("baseline read %zu of 1000000\n", index.size());
  std::filesystem::remove(path);
  return static_cast<double>(done) / (static_cast<double>(duration) / 1e9);
}

// ---- Kills

// One incarnation, in a child process that runs until it is killed. For random keys it writes the intent,
// runs the request by sending a line on the pipe, and writes the outcome. Its answers to callers are also
// sent as lines: S started, R run, A answered, X answered with a wrong result, T outcome unknown.
[[noreturn]] void run_store_process(const std::string& folder, int out, unsigned seed, int keys) {
  FileDisk disk(folder);
  Store store(disk, {.segment_bytes = 200'000}, steady_now, seed);
  store.open();
  IdempotencyRecords records;
  store.for_each([&](const Record& record) { records.restore(record.key, record.value, record.window); });
  auto send_line = [&](char event, const std::string& key) {
    std::string line = event + key + "\n";
    if (::write(out, line.data(), line.size()) < 0) ::_exit(1);
  };
  std::atomic<bool> has_completions = false;
  GroupCommitter committer(store, {}, steady_now, [&] { has_completions = true; });
  std::mt19937 random(seed);
  send_line('S', "");
  std::function<void(const std::string&)> request = [&](const std::string& key) {
    switch (records.handle(key, Event::kRequested, {.window = kLongWindow})) {
      case Action::kRecordIntent:
        committer.put(key, records.encoded(key), kLongWindow, [&, key](bool durable) {
          if (records.handle(key, durable ? Event::kWriteDurable : Event::kWriteLost) != Action::kRun) return;
          send_line('R', key);  // the effect of the run
          records.handle(key, Event::kRunCompleted, {.result = "of " + key});
          committer.put(key, records.encoded(key), kLongWindow, [&, key](bool is_durable) {
            if (is_durable) send_line('A', key);  // answers only once the outcome is durable
          });
        });
        return;
      case Action::kAnswer:
        send_line(records.find(key)->result == "of " + key ? 'A' : 'X', key);
        return;
      case Action::kFail:
        send_line('T', key);
        return;
      default:
        return;
    }
  };
  for (;;) {
    for (int i = 0; i < 20; ++i) request("k" + std::to_string(random() % static_cast<unsigned>(keys)));
    std::this_thread::sleep_for(std::chrono::microseconds(200));
    if (has_completions.exchange(false)) committer.deliver_completions();
  }
}

void measure_kills(const std::string& folder, int count, int& duplicate_runs, int& lost, int& runs) {
  std::map<std::string, int> run_counts;
  std::map<std::string, bool> was_answered;
  std::mt19937 random(9);
  for (int i = 0; i < count; ++i) {
    int pipe_ends[2];
    if (::pipe(pipe_ends) != 0) return;
    pid_t child = ::fork();
    if (child == 0) {
      ::close(pipe_ends[0]);
      run_store_process(folder, pipe_ends[1], 100 + static_cast<unsigned>(i), 400 * (i / 4 + 1));
    }
    ::close(pipe_ends[1]);
    std::string text;
    char buffer[65'536];
    bool started = false;
    Nanos until = 0;
    fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    for (;;) {
      ssize_t received = ::read(pipe_ends[0], buffer, sizeof buffer);
      if (received > 0) text.append(buffer, static_cast<std::size_t>(received));
      if (!started && text.find("S\n") != std::string::npos) {
        started = true;
        until = steady_now() + static_cast<Nanos>(random() % 60'000) * 1'000;
      }
      if (started && steady_now() >= until) break;
      if (received <= 0) std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    fcntl(pipe_ends[0], F_SETFL, 0);
    for (ssize_t received; (received = ::read(pipe_ends[0], buffer, sizeof buffer)) > 0;)
      text.append(buffer, static_cast<std::size_t>(received));
    ::close(pipe_ends[0]);
    for (std::size_t at = 0, end; (end = text.find('\n', at)) != std::string::npos; at = end + 1) {
      std::string key = text.substr(at + 1, end - at - 1);
      if (text[at] == 'R' && ++run_counts[key] > 1) ++duplicate_runs;
      if (text[at] == 'A') was_answered[key] = true;
      // Answered as done once, but its outcome unknown or wrong later.
      if ((text[at] == 'T' && was_answered[key]) || text[at] == 'X') ++lost;
    }
  }
  for (const auto& [key, times] : run_counts) runs += times;
}

// ---- Kills of the whole server under load, with a stand-in engine that counts the runs

// Kills the server at random moments under load and counts what callers and the engine saw.
class ServerKills {
 public:
  struct Counts {
    int kill_count = 0;
    int runs = 0;
    int duplicate_runs = 0;
    int rejected_after_run = 0;
    int answered_from_record = 0;  // from a record, without a run in this incarnation
    int terminated = 0;
  };
  explicit ServerKills(const std::string& folder)
      : folder_(folder),
        random_(13),
        engine_(loop_, log_, "n1", 4, [this](const standin::ObservedRun& run) { record_run(run.key); }),
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

  Counts run(int count) {
    for (int i = 0; i < count; ++i) {
      executed_by_this_process_.clear();
      key_count_ = 60 * (i / 3 + 1);
      engine_.restart(0);
      standin::ChildProcess server(
          {MYRTLECROFT_PROGRAM}, folder_ + "/node.log",
          {{"LB_CONFIG", folder_ + "/node.json"}, {"MYRTLECROFT_SETTINGS", folder_ + "/node.conf"}});
      first_answer_at_ = 0;
      load_duration_ = static_cast<Nanos>(random_() % 120'000) * 1'000;
      started_at_ = loop_.now();
      tick_.set(0);
      loop_.run();
      server.end(SIGKILL);
      // Runs that were already sent to the engine still arrive.
      net::Timer settle_timer(loop_.base(), [this] { loop_.stop(); });
      settle_timer.set(20 * kMs);
      loop_.run();
      caller_.reset();
      counts_.kill_count += first_answer_at_ != 0;
    }
    for (const auto& [key, times] : runs_by_key_) counts_.runs += times;
    return counts_;
  }

 private:
  class Caller final : public net::ConnectionOwner {
   public:
    explicit Caller(ServerKills& owner)
        : owner_(owner), connection_(owner.loop_.base(), owner.address(), *this, owner.log_, "caller") {}
    void opened(net::Connection&) override { up_ = true; }
    std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
      return standin::for_each_fastcgi_record(bytes,
                                              [this](std::uint8_t type, int id, std::string_view content) {
                                                if (type == standin::kFastCgiStdout) answers_[id] += content;
                                                if (type != standin::kFastCgiEndRequest) return;
                                                owner_.record_answer(open_[id], answers_[id]);
                                                open_.erase(id), answers_.erase(id);
                                              });
    }
    void ended(net::Connection&, net::CloseReason) override { ended_ = true; }
    bool has_ended() const { return ended_; }
    void send(const std::string& key, std::uint64_t trace) {
      if (!up_ || ended_ || open_.size() >= 30) return;
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
    ServerKills& owner_;
    net::Connection connection_;
    std::map<int, std::string> open_;
    std::map<int, std::string> answers_;
    bool up_ = false;
    bool ended_ = false;
  };

  sockaddr_in address() const { return net::loopback(static_cast<std::uint16_t>(port_)); }
  void tick() {
    Nanos now = loop_.now();
    bool is_over =
        first_answer_at_ ? now - first_answer_at_ >= load_duration_ : now - started_at_ >= 5 * kSecond;
    if (is_over) return loop_.stop();
    tick_.set(kMs);
    if (caller_ && caller_->has_ended()) caller_.reset();
    if (!caller_) caller_ = std::make_unique<Caller>(*this);
    for (int i = 0; i < 2; ++i) {
      char key[17];
      std::snprintf(key, sizeof key, "%016x",
                    1 + static_cast<unsigned>(random_()) % static_cast<unsigned>(key_count_));
      caller_->send(key, ++last_trace_);
    }
  }
  void record_run(const std::string& key) {
    if (++runs_by_key_[key] > 1) ++counts_.duplicate_runs;
    executed_by_this_process_.insert(key);
  }
  void record_answer(const std::string& key, const std::string& answer) {
    if (!first_answer_at_) first_answer_at_ = loop_.now();
    bool ran_before = runs_by_key_.contains(key) && !executed_by_this_process_.contains(key);
    if (answer.starts_with("Status: 200")) {
      counts_.answered_from_record += ran_before;
    } else if (answer.starts_with("Status: 503")) {
      counts_.rejected_after_run += runs_by_key_.contains(key);
    } else {
      ++counts_.terminated;
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
  int key_count_ = 0;
  std::unique_ptr<Caller> caller_;
  std::map<std::string, int> runs_by_key_;
  std::set<std::string> executed_by_this_process_;
  std::uint64_t last_trace_ = 0;
  Nanos started_at_ = 0;
  Nanos first_answer_at_ = 0;
  Nanos load_duration_ = 0;
  Counts counts_;
};

}  // namespace

// Arguments: a folder on the disk to measure (default: the current one), number of kills.
int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string base = argc > 1 ? argv[1] : ".";
  int kill_target = argc > 2 ? std::atoi(argv[2]) : 120;
  int duplicate_runs = 0;
  int lost = 0;
  int runs = 0;
  {
    TemporaryFolder folder(base);
    measure_kills(folder.path, kill_target, duplicate_runs, lost, runs);
  }
  std::printf("kills %d, runs %d, doubled %d, lost %d\n", kill_target, runs, duplicate_runs, lost);
  ServerKills::Counts server;
  {
    TemporaryFolder folder(base);
    server = ServerKills(folder.path).run(kill_target);
  }
  std::printf(
      "server killed %d times: runs %d, duplicate runs %d, rejected after a run %d; answered from a record "
      "%d, "
      "terminated %d\n",
      server.kill_count, server.runs, server.duplicate_runs, server.rejected_after_run,
      server.answered_from_record, server.terminated);
  AppendResult quiet;
  AppendResult busy;
  {
    TemporaryFolder folder(base);
    quiet = measure_appends(folder.path, 256, 500, 5 * kSecond, kLongWindow, false);
  }
  std::printf("appends without compaction: %.0f a second, p99 %.2f ms, %.4f syncs each\n", quiet.per_second,
              quiet.p99_ms, quiet.sync_per_append);
  {
    TemporaryFolder folder(base);
    busy = measure_appends(folder.path, 256, 500, 5 * kSecond, 3 * kSecond, true);
  }
  std::printf("with compaction (20,000 keys, overwritten): %.0f a second, p99 %.2f ms, amplification %.2f\n",
              busy.per_second, busy.p99_ms, busy.write_amplification);
  double plain_recover = 0;
  double plain = 0;
  {
    TemporaryFolder folder(base);
    plain = measure_plain_log(folder.path, 500, 3 * kSecond, plain_recover);
  }
  std::printf("baseline, a plain log: %.0f appends a second, a gigabyte scanned in %.2f s\n", plain,
              plain_recover);
  double by_hint = 0;
  double by_scan = 0;
  {
    TemporaryFolder folder(base);
    measure_recovery(folder.path, by_hint, by_scan);
  }
  std::printf("recovery of a gigabyte: by hint files %.2f s, by a scan %.2f s\n", by_hint, by_scan);
  std::printf(
      "measured store recover_1gb_s=%.2f recover_scan_1gb_s=%.2f appends_per_s=%.0f commit_p99_ms=%.2f "
      "sync_per_append=%.4f "
      "write_amplification=%.2f compaction_p99_ratio=%.2f kills=%d doubled=%d lost=%d "
      "baseline_appends_per_s=%.0f "
      "baseline_recover_1gb_s=%.2f\n",
      by_hint, by_scan, quiet.per_second, quiet.p99_ms, quiet.sync_per_append, busy.write_amplification,
      busy.p99_ms / quiet.p99_ms, kill_target + server.kill_count, duplicate_runs + server.duplicate_runs,
      lost + server.rejected_after_run, plain, plain_recover);
  return duplicate_runs || lost || server.duplicate_runs || server.rejected_after_run;
}
