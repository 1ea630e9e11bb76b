#include "ready.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <string>

#include "../standin/cgi_client.h"
#include "../standin/child.h"
#include "../standin/control_fleet.h"
#include "../standin/engine.h"
#include "../standin/no_log.h"
#include "../standin/node_config.h"
#include "net/address.h"
#include "net/connection.h"

namespace myrtlecroft::measure {
namespace {

constexpr Nanos kBefore = 2 * kSecond;    // from the first start to the kill
constexpr Nanos kLongest = 20 * kSecond;  // that a server is waited for
constexpr Nanos kTick = 5 * kMs;
constexpr Nanos kPatience = 2 * kSecond;  // of callers
constexpr int kCores = 4;
constexpr int kWorkMs = 4;

// One request on a connection of its own.
class Ask final : public net::ConnectionOwner {
 public:
  Ask(net::Loop& loop, service::Logger& log, int port, const standin::FastCgiRequestFields& fields)
      : request_(standin::encode_fastcgi_request(fields)),
        connection_(loop.base(), net::loopback(static_cast<std::uint16_t>(port)), *this, log, "ask") {}
  void opened(net::Connection& connection) override {
    connection.set_reset_on_close();
    connection.write(request_);
  }
  std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
    return standin::for_each_fastcgi_record(bytes, [this](std::uint8_t type, int, std::string_view content) {
      if (type == standin::kFastCgiStdout) answer_ += content;
    });
  }
  void ended(net::Connection&, net::CloseReason) override { over_ = true; }
  bool over() const { return over_; }
  bool good() const { return answer_.starts_with("Status: 200"); }

 private:
  std::string request_;
  std::string answer_;
  bool over_ = false;
  net::Connection connection_;
};

struct Node {
  std::unique_ptr<standin::Engine> engine;
  standin::ChildProcess child;
  std::string config;
  std::string log;
  int port = 0;
  std::unique_ptr<Ask> check;
  Nanos exec_at = 0;
  Nanos ready_at = 0;
};

class Play {
 public:
  explicit Play(const ReadyOptions& options)
      : options_(options),
        database_(loop_, log_),
        tick_(loop_.base(), [this] { tick(); }),
        members_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
    char folder[] = "/tmp/myrtlecroft-ready-XXXXXX";
    folder_ = ::mkdtemp(folder);
    sockaddr_in address = net::loopback(0);
    socklen_t size = sizeof address;
    ::bind(members_, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(members_, reinterpret_cast<sockaddr*>(&address), &size);
    int members = ntohs(address.sin_port);
    if (!options.membership) ::close(std::exchange(members_, -1));
    for (int i = 0; i < options.nodes; ++i) {
      Node& node = nodes_.emplace_back();
      std::string name = "n" + std::to_string(i);
      node.engine =
          std::make_unique<standin::Engine>(loop_, log_, name, kCores, [](const standin::ObservedRun&) {});
      node.config = folder_ + "/" + name + ".json";
      node.log = folder_ + "/" + name + ".log";
      node.port = standin::free_port(taken_);
      standin::write_server_config(
          node.config,
          {.name = name,
           .port = node.port,
           .engine = node.engine->port(),
           .database = database_.port(),
           .members = members,
           .request_classes = R"({"name":"look-up","effect":"idempotent","gain":1,"goalTimeNs":500000000,)"
                              R"("hardLimitNs":2000000000})",
           .family = R"("nCores":4,"ramKb":400000,"blowup":8)"});
    }
  }
  ~Play() {
    for (Node& node : nodes_) node.child.end(SIGKILL);
    if (members_ >= 0) ::close(members_);
    std::filesystem::remove_all(folder_);
  }

  ReadyResult run() {
    for (Node& node : nodes_) start(node, 0);
    kill_at_ = loop_.now() + kBefore;
    tick_.set(0);
    loop_.run();
    for (Node& node : nodes_) {
      if (node.child.has_exited()) {
        ++result_.crashed;
        std::ifstream log(node.log);
        for (std::string line; std::getline(log, line);) result_.last_words = line;
      }
      if (!node.ready_at) continue;
      double took = static_cast<double>(node.ready_at - node.exec_at) / 1e6;
      result_.ready_ms.push_back(took);
      result_.own_ms.push_back(std::max(0.0, took - static_cast<double>(options_.engine_after) / 1e6));
    }
    std::sort(result_.ready_ms.begin(), result_.ready_ms.end());
    std::sort(result_.own_ms.begin(), result_.own_ms.end());
    return result_;
  }

 private:
  void start(Node& node, Nanos engine_after) {
    node.exec_at = loop_.now();
    node.ready_at = 0;
    node.engine->restart(0);
    node.engine->become_ready_at(node.exec_at + engine_after);
    node.child = standin::ChildProcess({MYRTLECROFT_PROGRAM}, node.log, {{"LB_CONFIG", node.config}});
  }

  void kill_all() {
    for (Node& node : nodes_) node.child.signal(SIGKILL);
    for (Node& node : nodes_) node.child.wait();
    for (Node& node : nodes_) start(node, options_.engine_after);
    killed_ = true;
  }

  void tick() {
    Nanos now = loop_.now();
    tick_.set(kTick);
    if (!killed_ && now >= kill_at_) kill_all();
    bool all = killed_;
    for (Node& node : nodes_) {
      if (node.check && node.check->over()) {
        if (node.check->good() && !node.ready_at) node.ready_at = now;
        node.check.reset();
      }
      if (!node.check && !node.ready_at)
        node.check =
            std::make_unique<Ask>(loop_, log_, node.port,
                                  standin::FastCgiRequestFields{.path = "/-/healthy", .key = "", .body = ""});
      all = all && node.ready_at;
    }
    load(now);
    if (all || (killed_ && now >= kill_at_ + options_.engine_after + kLongest)) loop_.stop();
  }

  void load(Nanos now) {
    while (!load_.empty() && load_.front()->over()) {
      result_.completed += load_.front()->good();
      load_.pop_front();
    }
    if (next_ == 0) next_ = now;
    for (; next_ <= now; next_ += static_cast<Nanos>(1e9 / options_.per_second)) {
      standin::FastCgiRequestFields fields{.path = "/api/v2/look-up",
                                           .trace = ++traces_,
                                           .accepted_unix = net::Loop::unix_now(),
                                           .wait = kPatience,
                                           .key = "",
                                           .body = "look-up - " + std::to_string(kWorkMs) + " 0"};
      load_.push_back(std::make_unique<Ask>(loop_, log_, nodes_[traces_ % nodes_.size()].port, fields));
    }
  }

  ReadyOptions options_;
  standin::NullLogger log_;
  net::Loop loop_;
  standin::Database database_;
  net::Timer tick_;
  int members_;
  std::string folder_;
  std::set<int> taken_;
  std::deque<Node> nodes_;
  std::deque<std::unique_ptr<Ask>> load_;
  std::uint64_t traces_ = 0;
  Nanos next_ = 0;
  Nanos kill_at_ = 0;
  bool killed_ = false;
  ReadyResult result_;
};

}  // namespace

double ReadyResult::at(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return static_cast<double>(kLongest) / 1e6;
  return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

ReadyResult play_ready(const ReadyOptions& options) { return Play(options).run(); }

}  // namespace myrtlecroft::measure
