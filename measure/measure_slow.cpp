// Slow callers of every kind beside a normal load near capacity: one server, a stand-in engine, real sockets.
// Plays the normal load alone, with the slow callers, and with them against an earlier build of the server.
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
constexpr double kPerSecond = 440;  // of 500 that the cores can do
constexpr int kConnections = 16;
constexpr int kMaxOpen = 32;
constexpr Nanos kSlo = 300 * kMs;
constexpr Nanos kTimeout = 2 * kSecond;
constexpr Nanos kWarm = 4 * kSecond;
constexpr Nanos kMeasured = 15 * kSecond;
constexpr int kMemoryMb = 192;

struct Result {
  double priority_weight = 0;
  double p99_ms = 0;
  long rss_kb = 0;
  int lost = 0;
  int doubled = 0;
  int offered = 0;
  int rejected = 0;
  int failed = 0;
  int dropped = 0;      // slow callers' connections that the server ended
  int turned_away = 0;  // normal callers' connections that it ended with nothing open
};

std::string hex(std::uint64_t number) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(number));
  return out;
}

// One caller that is slow in some way, and comes again when it was let go.
class SlowCaller {
 public:
  enum class Kind {
    kLost,
    kStopsInHeader,
    kStopsInParameters,
    kStopsInBody,
    kStopsAtTheLastByte,
    kByteByByte,
    kPadding,
    kReadsNothing,
    kReadsByteByByte,
    kFloods,
    kHalfCloses,
    kResets,
    kSteady,
    kCount
  };
  SlowCaller(Kind kind, int number, const sockaddr_in& to) : kind_(kind), number_(number), to_(to) {}
  ~SlowCaller() { close(false); }

  // Does what it does; returns when to come again. `ended` counts connections that the server closed.
  Nanos act(Nanos now, std::uint64_t& traces, int& ended) {
    if (socket_ < 0) return open(now, traces);
    pollfd look{.fd = socket_, .events = POLLRDHUP, .revents = 0};
    if (poll(&look, 1, 0) > 0 && look.revents & (POLLRDHUP | POLLHUP | POLLERR)) {
      ++ended;
      close(false);
      return now + 500 * kMs;
    }
    switch (kind_) {
      case Kind::kByteByByte:
        send(1);
        return now + 450 * kMs;
      case Kind::kPadding:
        if (sent_ == bytes_.size()) sent_ = 0;
        send(2);
        return now + 200 * kMs;
      case Kind::kReadsNothing:
      case Kind::kReadsByteByByte: {
        char byte;
        if (kind_ == Kind::kReadsByteByByte && recv(socket_, &byte, 1, MSG_DONTWAIT) < 0)
          return now + 200 * kMs;
        if (sent_ == bytes_.size()) fill(traces);
        send(bytes_.size());
        return now + 200 * kMs;
      }
      case Kind::kFloods:  // as fast as it is read
        for (int i = 0; i < 4; ++i) {
          if (sent_ == bytes_.size()) fill(traces);
          send(bytes_.size());
        }
        return now + 20 * kMs;
      case Kind::kHalfCloses:
      case Kind::kResets:
        read_all();
        if (now < until_) return now + 50 * kMs;
        close(kind_ == Kind::kResets);
        return now + 500 * kMs;
      case Kind::kSteady:
        read_all();
        if (sent_ == bytes_.size()) fill(traces);
        send(120);
        return now + 100 * kMs;
      default:
        return now + 200 * kMs;
    }
  }

 private:
  Nanos open(Nanos now, std::uint64_t& traces) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (socket_ < 0) return now + kSecond;
    bool narrow = kind_ == Kind::kReadsNothing || kind_ == Kind::kReadsByteByByte || kind_ == Kind::kFloods;
    int few = 2'048;
    if (narrow) setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &few, sizeof few);
    int yes = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to_), sizeof to_) != 0 &&
        errno != EINPROGRESS) {
      close(false);
      return now + kSecond;
    }
    until_ = now + kSecond;
    fill(traces);
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
      case Kind::kStopsAtTheLastByte:
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
  // The next request, or what stands in its place.
  void fill(std::uint64_t& traces) {
    sent_ = 0;
    if (kind_ == Kind::kPadding) {
      bytes_ = {1, 9, 0, 0, 0, 0, static_cast<char>(255), 0};
      bytes_.append(255, ' ');
      return;
    }
    std::uint64_t trace = ++traces;
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
  void send(std::size_t max) {
    std::size_t size = std::min(max, bytes_.size() - sent_);
    ssize_t sent = ::send(socket_, bytes_.data() + sent_, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) sent_ += static_cast<std::size_t>(sent);
  }
  void read_all() {
    char bytes[16'384];
    while (recv(socket_, bytes, sizeof bytes, MSG_DONTWAIT) > 0) continue;
  }
  void close(bool reset) {
    if (socket_ < 0) return;
    linger at_once{.l_onoff = 1, .l_linger = 0};
    if (reset) setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(std::exchange(socket_, -1));
    bytes_.clear();
    sent_ = 0;
  }

  Kind kind_;
  int number_;
  sockaddr_in to_;
  int socket_ = -1;
  std::string bytes_;
  std::size_t sent_ = 0;
  std::size_t body_ = 0;
  int next_id_ = 0;
  Nanos until_ = 0;
};

class Play {
 public:
  Play(std::string program, int slow, int descriptors)
      : program_(std::move(program)),
        descriptors_(descriptors),
        random_(7),
        engine_(loop_, log_, "n1", kCores, [this](const standin::ObservedRun& run) { ran(run); }),
        database_(loop_, log_),
        tick_(loop_.base(), [this] { tick(); }) {
    char name[] = "/tmp/myrtlecroft_slow.XXXXXX";
    folder_ = mkdtemp(name);
    port_ = 25'000 + static_cast<int>(::getpid()) % 4'000 * 5 + static_cast<int>(random_() % 5);
    to_ = net::loopback(static_cast<std::uint16_t>(port_));
    for (int i = 0; i < slow; ++i) {
      // Of a hundred, one floods: it is held back by what it leaves unread, not by being one of many.
      int kind = i % 100 == 0 ? static_cast<int>(SlowCaller::Kind::kFloods)
                              : i % static_cast<int>(SlowCaller::Kind::kCount);
      if (kind == static_cast<int>(SlowCaller::Kind::kFloods) && i % 100) kind = 0;
      slow_.push_back(std::make_unique<SlowCaller>(static_cast<SlowCaller::Kind>(kind), i, to_));
    }
  }
  ~Play() {
    node_.end(SIGKILL);
    std::filesystem::remove_all(folder_);
  }

  Result run() {
    start_node();
    begun_ = loop_.now();
    next_ = begun_ + kSecond;
    tick_.set(0);
    std::jthread slow([this](const std::stop_token& stop) { be_slow(stop); });
    loop_.run();
    slow.request_stop();
    slow.join();
    finish();
    return result_;
  }

 private:
  struct Sent {
    Nanos at = 0;
    bool counts = false;
    std::string answer;
  };
  // One kept connection of a normal balancer.
  class Kept final : public net::ConnectionOwner {
   public:
    explicit Kept(Play& play) : play_(play) {}
    bool can() const { return up_ && open_.size() < kMaxOpen; }
    std::size_t load() const { return open_.size(); }
    void connect() {
      if (connection_) return;
      connection_ =
          std::make_unique<net::Connection>(play_.loop_.base(), play_.to_, *this, play_.log_, "normal");
    }
    void send(const standin::FastCgiRequestFields& fields, bool counts) {
      int id = 1;
      while (open_.contains(id)) ++id;
      open_[id] = {.at = play_.loop_.now(), .counts = counts, .answer = {}};
      connection_->write(standin::encode_fastcgi_request(fields, id, true));
    }
    void opened(net::Connection&) override { up_ = true; }
    std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
      return standin::for_each_fastcgi_record(
          bytes, [this](std::uint8_t type, int id, std::string_view content) {
            auto sent = open_.find(id);
            if (sent == open_.end()) {
              ++play_.result_.doubled;
            } else if (type == standin::kFastCgiStdout) {
              sent->second.answer += content;
            } else if (type == standin::kFastCgiEndRequest) {
              play_.answered(sent->second, content[standin::kFastCgiProtocolStatusOffset]);
              open_.erase(sent);
            }
          });
    }
    void ended(net::Connection&, net::CloseReason) override {
      for (const auto& [id, sent] : open_) play_.result_.lost += 1;
      if (open_.empty() && up_) ++play_.result_.turned_away;
      open_.clear();
      up_ = false;
      connection_.reset();
    }

   private:
    Play& play_;
    std::unique_ptr<net::Connection> connection_;
    std::map<int, Sent> open_;
    bool up_ = false;
  };

  void start_node() {
    std::string times =
        R"(,"goalTimeNs":)" + std::to_string(kSlo) + R"(,"hardLimitNs":)" + std::to_string(kTimeout);
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
    node_ = standin::ChildProcess({program_}, folder_ + "/node.log", {{"LB_CONFIG", folder_ + "/node.json"}});
    for (int i = 0; i < kConnections; ++i) kept_.push_back(std::make_unique<Kept>(*this));
  }

  // On a thread of its own: on the stand-in engine's it would delay the ends of runs.
  void be_slow(const std::stop_token& stop) {
    using Due = std::pair<Nanos, std::size_t>;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
    std::mt19937 random(11);
    std::uint64_t traces = std::uint64_t{1} << 40;
    for (std::size_t i = 0; i < slow_.size(); ++i) {
      due.emplace(begun_ + kSecond + static_cast<Nanos>(random() % 1'000) * kMs, i);
    }
    while (!stop.stop_requested()) {
      Nanos now = loop_.now();
      while (!due.empty() && due.top().first <= now) {
        std::size_t i = due.top().second;
        due.pop();
        due.emplace(slow_[i]->act(now, traces, result_.dropped), i);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  void tick() {
    Nanos now = loop_.now();
    if (now >= begun_ + kWarm + kMeasured + kTimeout + 200 * kMs) return loop_.stop();
    tick_.set(2 * kMs);
    for (auto& kept : kept_) kept->connect();
    while (next_ <= now && now < begun_ + kWarm + kMeasured) {
      next_ +=
          static_cast<Nanos>(-std::log(1 - std::generate_canonical<double, 32>(random_)) / kPerSecond * 1e9);
      send_normal(now >= begun_ + kWarm);
    }
    result_.rss_kb = std::max(result_.rss_kb, node_.resident_kb());
  }

  void send_normal(bool counts) {
    Kept* best = nullptr;
    for (auto& kept : kept_) {
      if (kept->can() && (!best || kept->load() < best->load())) best = kept.get();
    }
    result_.offered += counts;
    if (!best) {
      result_.failed += counts;
      return;
    }
    std::uint64_t trace = ++traces_;
    bool keyed = random_() % 3 == 0;
    standin::FastCgiRequestFields fields{.path = keyed ? "/api/v2/booking" : "/api/v2/look-up",
                                         .trace = trace,
                                         .accepted_unix = net::Loop::unix_now(),
                                         .client = 1 + static_cast<int>(trace % 4),
                                         .wait = kTimeout,
                                         .key = keyed ? hex(trace) + hex(trace) : ""};
    fields.body = std::string(keyed ? "booking " : "look-up ") + (keyed ? fields.key : "-") + " " +
                  std::to_string(kWorkMs) + " 0 1000";
    best->send(fields, counts);
  }

  void answered(const Sent& sent, int protocol) {
    if (!sent.counts) return;
    Nanos took = loop_.now() - sent.at;
    if (sent.answer.starts_with("Status: 200")) {
      took_.push_back(static_cast<double>(took) / 1e6);
      if (took <= kSlo) result_.priority_weight += 1;
    } else if (protocol == 2 || sent.answer.starts_with("Status: 503")) {
      ++result_.rejected;
    } else {
      ++result_.failed;
    }
  }
  void ran(const standin::ObservedRun& run) {
    if (run.key == "-") return;
    if (!ran_.insert(run.key).second) ++result_.doubled;
  }

  void finish() {
    for (auto& kept : kept_) result_.lost += static_cast<int>(kept->load());
    if (result_.offered) result_.priority_weight /= result_.offered;
    std::sort(took_.begin(), took_.end());
    if (!took_.empty())
      result_.p99_ms = took_[static_cast<std::size_t>(0.99 * static_cast<double>(took_.size() - 1))];
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
  sockaddr_in to_{};
  standin::ChildProcess node_;
  std::vector<std::unique_ptr<Kept>> kept_;
  std::vector<std::unique_ptr<SlowCaller>> slow_;
  std::uint64_t traces_ = 0;
  Nanos begun_ = 0;
  Nanos next_ = 0;
  std::vector<double> took_;
  std::set<std::string> ran_;
  Result result_;
};

Result play(const char* what, const std::string& program, int slow, int descriptors) {
  Result result = Play(program, slow, descriptors).run();
  std::printf(
      "%-14s offered %d benefit %.4f p99 %.1f ms denied %d failed %d lost %d doubled %d, slow ended %d, "
      "normal ended %d, node %ld kB\n",
      what, result.offered, result.priority_weight, result.p99_ms, result.rejected, result.failed,
      result.lost, result.doubled, result.dropped, result.turned_away, result.rss_kb);
  std::fflush(stdout);
  return result;
}

}  // namespace

// Arguments: the server of an earlier version (none: not compared), how many slow callers, how many
// descriptors.
int main(int argc, char** argv) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  std::string before = argc > 1 ? argv[1] : "";
  int peers = argc > 2 ? std::atoi(argv[2]) : 1'000;
  int descriptors = argc > 3 ? std::atoi(argv[3]) : 1'024;
  Result alone = play("alone", MYRTLECROFT_PROGRAM, 0, descriptors);
  Result mixed = play("mixed", MYRTLECROFT_PROGRAM, peers, descriptors);
  Result earlier;
  if (!before.empty()) earlier = play("mixed, before", before, peers, descriptors);
  std::printf(
      "measured slow peers=%d alone=%.4f mixed=%.4f mixed_before=%.4f p99_ratio=%.3f rss_kb_max=%ld "
      "lost=%d doubled=%d limit_kb=%d p99_before_ratio=%.3f\n",
      peers, alone.priority_weight, mixed.priority_weight, earlier.priority_weight,
      mixed.p99_ms / alone.p99_ms, std::max(alone.rss_kb, mixed.rss_kb), alone.lost + mixed.lost,
      alone.doubled + mixed.doubled, kMemoryMb * 1024, earlier.p99_ms / alone.p99_ms);
  return 0;
}
