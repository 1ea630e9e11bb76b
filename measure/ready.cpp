#include "ready.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "../standin/cgi_client.h"
#include "../standin/child.h"
#include "../standin/engine.h"
#include "../standin/no_log.h"
#include "../standin/node_config.h"
#include "../standin/port_reservations.h"
#include "net/address.h"
#include "net/connection.h"

namespace myrtlecroft::measure {
namespace {

constexpr Nanos kWarmUp = 2 * kSecond;    // from the first start to the kill
constexpr Nanos kMaxWait = 20 * kSecond;  // for servers, after their engines are up
constexpr Nanos kTick = 5 * kMs;
constexpr Nanos kClientTimeout = 2 * kSecond;  // wait field of the load requests
constexpr int kCores = 4;
constexpr int kWorkMs = 4;

// One request on its own connection.
class SingleRequest final : public net::ConnectionOwner {
 public:
  SingleRequest(net::Loop& loop, service::Logger& log, int port, const standin::FastCgiRequestFields& fields)
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
  void ended(net::Connection&, net::CloseReason) override { ended_ = true; }
  bool has_ended() const { return ended_; }
  bool is_completed() const { return answer_.starts_with("Status: 200"); }

 private:
  std::string request_;
  std::string answer_;
  bool ended_ = false;
  net::Connection connection_;
};

// A server, its stand-in engine and the health check under way.
struct ServerProcess {
  std::unique_ptr<standin::Engine> engine;
  standin::ChildProcess child;
  std::string config;
  std::string log;
  int port = 0;
  std::unique_ptr<SingleRequest> health_check;
  Nanos started_at = 0;
  Nanos ready_at = 0;
};

class ReadinessMeasurement {
 public:
  explicit ReadinessMeasurement(const ReadyOptions& options)
      : options_(options),
        database_(loop_, log_),
        tick_(loop_.base(), [this] { tick(); }),
        membership_socket_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
    char folder[] = "/tmp/myrtlecroft-ready-XXXXXX";
    folder_ = ::mkdtemp(folder);
    sockaddr_in address = net::loopback(0);
    socklen_t size = sizeof address;
    ::bind(membership_socket_, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(membership_socket_, reinterpret_cast<sockaddr*>(&address), &size);
    int membership_port = ntohs(address.sin_port);
    if (!options.membership) ::close(std::exchange(membership_socket_, -1));
    for (int i = 0; i < options.server_count; ++i) {
      ServerProcess& server = servers_.emplace_back();
      std::string name = "n" + std::to_string(i);
      server.engine =
          std::make_unique<standin::Engine>(loop_, log_, name, kCores, [](const standin::ObservedRun&) {});
      server.config = folder_ + "/" + name + ".json";
      server.log = folder_ + "/" + name + ".log";
      server.port = ports_.reserve();
      standin::write_server_config(
          server.config,
          {.name = name,
           .port = server.port,
           .engine = server.engine->port(),
           .database = database_.port(),
           .members = membership_port,
           .request_classes = R"({"name":"look-up","effect":"idempotent","gain":1,"goalTimeNs":500000000,)"
                              R"("hardLimitNs":2000000000})",
           .family = R"("nCores":4,"ramKb":400000,"blowup":8)"});
    }
  }
  ~ReadinessMeasurement() {
    for (ServerProcess& server : servers_) server.child.end(SIGKILL);
    if (membership_socket_ >= 0) ::close(membership_socket_);
    std::filesystem::remove_all(folder_);
  }

  ReadyResult run() {
    for (ServerProcess& server : servers_) start_server(server, 0);
    kill_at_ = loop_.now() + kWarmUp;
    tick_.set(0);
    loop_.run();
    for (ServerProcess& server : servers_) {
      if (server.child.has_exited()) {
        ++result_.crashed;
        std::ifstream log(server.log);
        for (std::string line; std::getline(log, line);) result_.last_log_line = line;
      }
      if (!server.ready_at) continue;
      double took_ms = static_cast<double>(server.ready_at - server.started_at) / 1e6;
      result_.ready_ms.push_back(took_ms);
      result_.own_startup_ms.push_back(
          std::max(0.0, took_ms - static_cast<double>(options_.engine_delay) / 1e6));
    }
    std::sort(result_.ready_ms.begin(), result_.ready_ms.end());
    std::sort(result_.own_startup_ms.begin(), result_.own_startup_ms.end());
    return result_;
  }

 private:
  void start_server(ServerProcess& server, Nanos engine_delay) {
    server.started_at = loop_.now();
    server.ready_at = 0;
    server.engine->restart(0);
    server.engine->become_ready_at(server.started_at + engine_delay);
    server.child = standin::ChildProcess({MYRTLECROFT_PROGRAM}, server.log, {{"LB_CONFIG", server.config}});
  }

  void restart_all() {
    for (ServerProcess& server : servers_) server.child.signal(SIGKILL);
    for (ServerProcess& server : servers_) server.child.wait();
    for (ServerProcess& server : servers_) start_server(server, options_.engine_delay);
    has_restarted_ = true;
  }

  void tick() {
    Nanos now = loop_.now();
    tick_.set(kTick);
    if (!has_restarted_ && now >= kill_at_) restart_all();
    bool all_ready = has_restarted_;
    for (ServerProcess& server : servers_) {
      if (server.health_check && server.health_check->has_ended()) {
        if (server.health_check->is_completed() && !server.ready_at) server.ready_at = now;
        server.health_check.reset();
      }
      if (!server.health_check && !server.ready_at)
        server.health_check = std::make_unique<SingleRequest>(
            loop_, log_, server.port,
            standin::FastCgiRequestFields{.path = "/-/healthy", .key = "", .body = ""});
      all_ready = all_ready && server.ready_at;
    }
    send_load(now);
    if (all_ready || (has_restarted_ && now >= kill_at_ + options_.engine_delay + kMaxWait)) loop_.stop();
  }

  void send_load(Nanos now) {
    while (!load_requests_.empty() && load_requests_.front()->has_ended()) {
      result_.completed += load_requests_.front()->is_completed();
      load_requests_.pop_front();
    }
    if (next_request_at_ == 0) next_request_at_ = now;
    for (; next_request_at_ <= now; next_request_at_ += static_cast<Nanos>(1e9 / options_.requests_per_s)) {
      standin::FastCgiRequestFields fields{.path = "/api/v2/look-up",
                                           .trace = ++last_trace_,
                                           .accepted_unix = net::Loop::unix_now(),
                                           .wait = kClientTimeout,
                                           .key = "",
                                           .body = "look-up - " + std::to_string(kWorkMs) + " 0"};
      load_requests_.push_back(
          std::make_unique<SingleRequest>(loop_, log_, servers_[last_trace_ % servers_.size()].port, fields));
    }
  }

  ReadyOptions options_;
  standin::NullLogger log_;
  net::Loop loop_;
  standin::Database database_;
  net::Timer tick_;
  int membership_socket_;
  std::string folder_;
  standin::PortReservations ports_;
  std::deque<ServerProcess> servers_;
  std::deque<std::unique_ptr<SingleRequest>> load_requests_;
  std::uint64_t last_trace_ = 0;
  Nanos next_request_at_ = 0;
  Nanos kill_at_ = 0;
  bool has_restarted_ = false;
  ReadyResult result_;
};

}  // namespace

double ReadyResult::at(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return static_cast<double>(kMaxWait) / 1e6;
  return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

ReadyResult measure_readiness(const ReadyOptions& options) { return ReadinessMeasurement(options).run(); }

}  // namespace myrtlecroft::measure
