// Measures how slow callers of every kind affect a normal load near capacity: one server, a stand-in engine,
// real sockets. Runs the normal load alone, with slow callers, and with slow callers against an earlier
// build.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <thread>

#include "../standin/cgi_client.h"
#include "../standin/child.h"
#include "../standin/engine.h"
#include "../standin/no_log.h"
#include "../standin/node_config.h"
#include "net/address.h"

namespace {

using namespace myrtlecroft;

constexpr int kCores = 4;
constexpr double kWorkMs = 8;
constexpr double kRequestsPerSecond = 440;  // the cores can do 500
constexpr int kConnections = 16;
constexpr int kMaxOpen = 32;
constexpr Nanos kLatencyObjective = 300 * kMs;
constexpr Nanos kTimeout = 2 * kSecond;
constexpr Nanos kWarmUp = 4 * kSecond;
constexpr Nanos kMeasuredTime = 15 * kSecond;
constexpr int kMemoryMb = 192;

// Figures of one run; only requests after the warm-up count.
struct Result {
  double benefit = 0;
  double p99_ms = 0;
  long rss_kb = 0;
  int lost = 0;
  int duplicate_runs = 0;
  int offered = 0;
  int rejected = 0;
  int failed = 0;
  int dropped = 0;     // connections of slow callers that the server closed
  int ended_idle = 0;  // connections of normal callers that it closed without an open request
};

std::string hex(std::uint64_t number) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(number));
  return out;
}

// One caller that is slow in one way, and reconnects after the server closes its connection.
class SlowCaller {
 public:
  enum class Kind {
    kSendsNothing,
    kStopsInHeader,
    kStopsInParameters,
    kStopsInBody,
    kStopsBeforeLastByte,
    kSendsByteByByte,
    kSendsPadding,
    kReadsNothing,
    kReadsByteByByte,
    kFloods,
    kHalfCloses,
    kResets,
    kSteadySender,
    kCount
  };
  SlowCaller(Kind kind, int number, const sockaddr_in& server_address)
      : kind_(kind), number_(number), server_address_(server_address) {}
  ~SlowCaller() { close(false); }

  // Performs the next step of the caller and returns when the next one is due. Increments `ended` when the
  // server has closed the connection.
  Nanos step(Nanos now, std::uint64_t& last_trace, int& ended) {
    if (socket_ < 0) return open(now, last_trace);
    pollfd connection_state{.fd = socket_, .events = POLLRDHUP, .revents = 0};
    if (poll(&connection_state, 1, 0) > 0 && connection_state.revents & (POLLRDHUP | POLLHUP | POLLERR)) {
      ++ended;
      close(false);
      return now + 500 * kMs;
    }
    switch (kind_) {
      case Kind::kSendsByteByByte:
        send(1);
        return now + 450 * kMs;
      case Kind::kSendsPadding:
        if (sent_ == bytes_.size()) sent_ = 0;
        send(2);
        return now + 200 * kMs;
      case Kind::kReadsNothing:
      case Kind::kReadsByteByByte: {
        char byte;
        if (kind_ == Kind::kReadsByteByByte && recv(socket_, &byte, 1, MSG_DONTWAIT) < 0)
          return now + 200 * kMs;
        if (sent_ == bytes_.size()) prepare_request(last_trace);
        send(bytes_.size());
        return now + 200 * kMs;
      }
      case Kind::kFloods:  // as fast as the server reads
        for (int i = 0; i < 4; ++i) {
          if (sent_ == bytes_.size()) prepare_request(last_trace);
          send(bytes_.size());
        }
        return now + 20 * kMs;
      case Kind::kHalfCloses:
      case Kind::kResets:
        read_all();
        if (now < close_at_) return now + 50 * kMs;
        close(kind_ == Kind::kResets);
        return now + 500 * kMs;
      case Kind::kSteadySender:
        read_all();
        if (sent_ == bytes_.size()) prepare_request(last_trace);
        send(120);
        return now + 100 * kMs;
      default:
        return now + 200 * kMs;
    }
  }

 private:
  Nanos open(Nanos now, std::uint64_t& last_trace) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (socket_ < 0) return now + kSecond;
    bool has_small_buffer =
        kind_ == Kind::kReadsNothing || kind_ == Kind::kReadsByteByByte || kind_ == Kind::kFloods;
    int receive_buffer_bytes = 2'048;
    if (has_small_buffer)
      setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    int enabled = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&server_address_), sizeof server_address_) !=
            0 &&
        errno != EINPROGRESS) {
      close(false);
      return now + kSecond;
    }
    close_at_ = now + kSecond;
    prepare_request(last_trace);
    std::size_t size = bytes_.size();
    std::size_t body = body_;
    switch (kind_) {
      case Kind::kStopsInHeader:
        send(3);
        break;
      case Kind::kStopsInParameters:
        send(60);
        break;
      case Kind::kStopsInBody:
        send(size - body / 2 - 8);
        break;
      case Kind::kStopsBeforeLastByte:
        send(size - 1);
        break;
      case Kind::kHalfCloses:
      case Kind::kResets:
        send(size);
        break;
      default:
        break;
    }
    if (kind_ == Kind::kHalfCloses) ::shutdown(socket_, SHUT_WR);
    return now + 100 * kMs;
  }
  // Encodes the next request, or a padding record of no request.
  void prepare_request(std::uint64_t& last_trace) {
    sent_ = 0;
    if (kind_ == Kind::kSendsPadding) {
      bytes_ = {1, 9, 0, 0, 0, 0, static_cast<char>(255), 0};
      bytes_.append(255, ' ');
      return;
    }
    std::uint64_t trace = ++last_trace;
    standin::FastCgiRequestFields fields{.path = "/api/v2/claim",
                                         .trace = trace,
                                         .accepted_unix = net::Loop::unix_now(),
                                         .client = 1'000 + number_ % 4,
                                         .wait = kTimeout,
                                         .key = hex(trace) + hex(trace)};
    fields.body = "claim " + fields.key + " 0 0 4000";
    body_ = fields.body.size();
    bytes_ = standin::encode_fastcgi_request(fields, 1 + next_id_++ % kMaxOpen, true);
  }
  void send(std::size_t max_bytes) {
    std::size_t size = std::min(max_bytes, bytes_.size() - sent_);
    ssize_t sent = ::send(socket_, bytes_.data() + sent_, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) sent_ += static_cast<std::size_t>(sent);
  }
  void read_all() {
    char bytes[16'384];
    while (recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT) > 0) continue;
  }
  void close(bool reset) {
    if (socket_ < 0) return;
    linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    if (reset) setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    ::close(std::exchange(socket_, -1));
    bytes_.clear();
    sent_ = 0;
  }

  Kind kind_;
  int number_;
  sockaddr_in server_address_;
  int socket_ = -1;
  std::string bytes_;
  std::size_t sent_ = 0;
  std::size_t body_ = 0;
  int next_id_ = 0;
  Nanos close_at_ = 0;
};

// Runs one server with the normal load and `slow` slow callers, and collects the Result.
class SlowCallerRun {
 public:
  SlowCallerRun(std::string program, int slow, int descriptors)
      : program_(std::move(program)),
        descriptors_(descriptors),
        random_(7),
        engine_(loop_, log_, "n1", kCores, [this](const standin::ObservedRun& run) { record_run(run); }),
        database_(loop_, log_),
        tick_(loop_.base(), [this] { tick(); }) {
    char name[] = "/tmp/myrtlecroft_slow.XXXXXX";
    folder_ = mkdtemp(name);
    port_ = 25'000 + static_cast<int>(::getpid()) % 4'000 * 5 + static_cast<int>(random_() % 5);
    server_address_ = net::loopback(static_cast<std::uint16_t>(port_));
    for (int i = 0; i < slow; ++i) {
      // One caller in a hundred floods: the server must limit it by its unread answers, not by the number of
      // such callers.
      int kind = i % 100 == 0 ? static_cast<int>(SlowCaller::Kind::kFloods)
                              : i % static_cast<int>(SlowCaller::Kind::kCount);
      if (kind == static_cast<int>(SlowCaller::Kind::kFloods) && i % 100) kind = 0;
      slow_callers_.push_back(
          std::make_unique<SlowCaller>(static_cast<SlowCaller::Kind>(kind), i, server_address_));
    }
  }
  ~SlowCallerRun() {
    server_.end(SIGKILL);
    std::filesystem::remove_all(folder_);
  }

  Result run() {
    start_server();
    started_at_ = loop_.now();
    next_arrival_ = started_at_ + kSecond;
    tick_.set(0);
    std::jthread slow([this](const std::stop_token& stop) { run_slow_callers(stop); });
    loop_.run();
    slow.request_stop();
    slow.join();
    compute_result();
    return result_;
  }

 private:
  struct SentRequest {
    Nanos at = 0;
    bool is_measured = false;
    std::string answer;
  };
  // A keep-alive connection of a normal balancer.
  class BalancerConnection final : public net::ConnectionOwner {
   public:
    explicit BalancerConnection(SlowCallerRun& run) : run_(run) {}
    bool can_send() const { return up_ && open_.size() < kMaxOpen; }
    std::size_t load() const { return open_.size(); }
    void connect() {
      if (connection_) return;
      connection_ = std::make_unique<net::Connection>(run_.loop_.base(), run_.server_address_, *this,
                                                      run_.log_, "normal");
    }
    void send(const standin::FastCgiRequestFields& fields, bool is_measured) {
      int id = 1;
      while (open_.contains(id)) ++id;
      open_[id] = {.at = run_.loop_.now(), .is_measured = is_measured, .answer = {}};
      connection_->write(standin::encode_fastcgi_request(fields, id, true));
    }
    void opened(net::Connection&) override { up_ = true; }
    std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
      return standin::for_each_fastcgi_record(
          bytes, [this](std::uint8_t type, int id, std::string_view content) {
            auto sent = open_.find(id);
            if (sent == open_.end()) {
              ++run_.result_.duplicate_runs;
            } else if (type == standin::kFastCgiStdout) {
              sent->second.answer += content;
            } else if (type == standin::kFastCgiEndRequest) {
              run_.record_answer(sent->second, content[standin::kFastCgiProtocolStatusOffset]);
              open_.erase(sent);
            }
          });
    }
    void ended(net::Connection&, net::CloseReason) override {
      for (const auto& [id, sent] : open_) run_.result_.lost += 1;
      if (open_.empty() && up_) ++run_.result_.ended_idle;
      open_.clear();
      up_ = false;
      connection_.reset();
    }

   private:
    SlowCallerRun& run_;
    std::unique_ptr<net::Connection> connection_;
    std::map<int, SentRequest> open_;
    bool up_ = false;
  };

  void start_server() {
    std::string times = R"(,"goalTimeNs":)" + std::to_string(kLatencyObjective) + R"(,"hardLimitNs":)" +
                        std::to_string(kTimeout);
    std::string window = times + R"(,"dedupWindowNs":5000000000})";
    standin::write_server_config(
        folder_ + "/node.json",
        {.port = port_,
         .engine = engine_.port(),
         .database = database_.port(),
         .memory_mb = kMemoryMb,
         .descriptors = descriptors_,
         .request_classes = R"({"name":"look-up","effect":"idempotent","gain":1)" + times +
                            R"(},{"name":"booking","effect":"deduplicated","gain":1)" + window +
                            R"(,{"name":"claim","effect":"deduplicated","gain":0.02)" + window,
         .family = R"("nCores":)" + std::to_string(kCores) +
                   R"(,"ramKb":400000,"blowup":8,"keyKb":4,"idleNs":30000000000)"});
    server_ =
        standin::ChildProcess({program_}, folder_ + "/node.log", {{"LB_CONFIG", folder_ + "/node.json"}});
    for (int i = 0; i < kConnections; ++i)
      connections_.push_back(std::make_unique<BalancerConnection>(*this));
  }

  // Runs on its own thread: on the thread of the stand-in engine it would delay the ends of runs.
  void run_slow_callers(const std::stop_token& stop) {
    using Due = std::pair<Nanos, std::size_t>;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
    std::mt19937 random(11);
    std::uint64_t last_trace = std::uint64_t{1} << 40;
    for (std::size_t i = 0; i < slow_callers_.size(); ++i) {
      due.emplace(started_at_ + kSecond + static_cast<Nanos>(random() % 1'000) * kMs, i);
    }
    while (!stop.stop_requested()) {
      Nanos now = loop_.now();
      while (!due.empty() && due.top().first <= now) {
        std::size_t i = due.top().second;
        due.pop();
        due.emplace(slow_callers_[i]->step(now, last_trace, result_.dropped), i);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void tick() {
    Nanos now = loop_.now();
    if (now >= started_at_ + kWarmUp + kMeasuredTime + kTimeout + 200 * kMs) return loop_.stop();
    tick_.set(2 * kMs);
    for (auto& connection : connections_) connection->connect();
    while (next_arrival_ <= now && now < started_at_ + kWarmUp + kMeasuredTime) {
      next_arrival_ += static_cast<Nanos>(-std::log(1 - std::generate_canonical<double, 32>(random_)) /
                                          kRequestsPerSecond * 1e9);
      send_normal(now >= started_at_ + kWarmUp);
    }
    result_.rss_kb = std::max(result_.rss_kb, server_.resident_kb());
  }

  void send_normal(bool is_measured) {
    BalancerConnection* least_loaded = nullptr;
    for (auto& connection : connections_) {
      if (connection->can_send() && (!least_loaded || connection->load() < least_loaded->load()))
        least_loaded = connection.get();
    }
    result_.offered += is_measured;
    if (!least_loaded) {
      result_.failed += is_measured;
      return;
    }
    std::uint64_t trace = ++last_trace_;
    bool keyed = random_() % 3 == 0;
    standin::FastCgiRequestFields fields{.path = keyed ? "/api/v2/booking" : "/api/v2/look-up",
                                         .trace = trace,
                                         .accepted_unix = net::Loop::unix_now(),
                                         .client = 1 + static_cast<int>(trace % 4),
                                         .wait = kTimeout,
                                         .key = keyed ? hex(trace) + hex(trace) : ""};
    fields.body = std::string(keyed ? "booking " : "look-up ") + (keyed ? fields.key : "-") + " " +
                  std::to_string(kWorkMs) + " 0 1000";
    least_loaded->send(fields, is_measured);
  }

  void record_answer(const SentRequest& sent, int protocol) {
    if (!sent.is_measured) return;
    Nanos latency = loop_.now() - sent.at;
    if (sent.answer.starts_with("Status: 200")) {
      latencies_ms_.push_back(static_cast<double>(latency) / 1e6);
      if (latency <= kLatencyObjective) result_.benefit += 1;
    } else if (protocol == 2 || sent.answer.starts_with("Status: 503")) {
      ++result_.rejected;
    } else {
      ++result_.failed;
    }
  }
  void record_run(const standin::ObservedRun& run) {
    if (run.key == "-") return;
    if (!executed_keys_.insert(run.key).second) ++result_.duplicate_runs;
  }

  void compute_result() {
    for (auto& connection : connections_) result_.lost += static_cast<int>(connection->load());
    if (result_.offered) result_.benefit /= result_.offered;
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    if (!latencies_ms_.empty())
      result_.p99_ms =
          latencies_ms_[static_cast<std::size_t>(0.99 * static_cast<double>(latencies_ms_.size() - 1))];
  }

  std::string program_;
  int descriptors_;
  std::mt19937 random_;
  standin::NullLogger log_;
  net::Loop loop_;
  standin::Engine engine_;
  standin::Database database_;
  net::Timer tick_;
  std::string folder_;
  int port_ = 0;
  sockaddr_in server_address_{};
  standin::ChildProcess server_;
  std::vector<std::unique_ptr<BalancerConnection>> connections_;
  std::vector<std::unique_ptr<SlowCaller>> slow_callers_;
  std::uint64_t last_trace_ = 0;
  Nanos started_at_ = 0;
  Nanos next_arrival_ = 0;
  std::vector<double> latencies_ms_;
  std::set<std::string> executed_keys_;
  Result result_;
};

Result run_and_print(const char* label, const std::string& program, int slow, int descriptors) {
  Result result = SlowCallerRun(program, slow, descriptors).run();
  std::printf(
      "%-14s offered %d benefit %.4f p99 %.1f ms denied %d failed %d lost %d doubled %d, slow ended %d, "
      "normal ended %d, node %ld kB\n",
      label, result.offered, result.benefit, result.p99_ms, result.rejected, result.failed, result.lost,
      result.duplicate_runs, result.dropped, result.ended_idle, result.rss_kb);
  std::fflush(stdout);
  return result;
}

}  // namespace

// Arguments: path of an earlier server program (empty: no comparison), number of slow callers, descriptor
// limit of the server.
int main(int argc, char** argv) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  std::string earlier_program = argc > 1 ? argv[1] : "";
  int slow_callers = argc > 2 ? std::atoi(argv[2]) : 1'000;
  int descriptors = argc > 3 ? std::atoi(argv[3]) : 1'024;
  Result alone = run_and_print("alone", MYRTLECROFT_PROGRAM, 0, descriptors);
  Result mixed = run_and_print("mixed", MYRTLECROFT_PROGRAM, slow_callers, descriptors);
  Result earlier;
  if (!earlier_program.empty())
    earlier = run_and_print("mixed, before", earlier_program, slow_callers, descriptors);
  std::printf(
      "measured slow peers=%d alone=%.4f mixed=%.4f mixed_before=%.4f p99_ratio=%.3f rss_kb_max=%ld "
      "lost=%d doubled=%d limit_kb=%d p99_before_ratio=%.3f\n",
      slow_callers, alone.benefit, mixed.benefit, earlier.benefit, mixed.p99_ms / alone.p99_ms,
      std::max(alone.rss_kb, mixed.rss_kb), alone.lost + mixed.lost,
      alone.duplicate_runs + mixed.duplicate_runs, kMemoryMb * 1024, earlier.p99_ms / alone.p99_ms);
  return 0;
}
