#include "capacity/real_servers.h"

#include <algorithm>

namespace myrtlecroft::capacity {
namespace {

constexpr Nanos kReconnectWait = 200 * kMs;  // the reporter's first delay
constexpr std::uint32_t kWindow = 40;
constexpr double kLimit = 8;

}  // namespace

report::LoadReport report_of(int server, int request_classes) {
  report::LoadReport out;
  out.node = name_of_server(server);
  out.address = address_of_server(server);
  out.incarnation = 1;
  out.engine_up = true;
  out.window = kWindow;
  out.limit = kLimit;
  for (int i = 1; i <= request_classes; ++i)
    out.request_classes.push_back({.request_class = name_of_service(i)});
  return out;
}

class HollowServers::Server final : public net::ConnectionOwner {
 public:
  Server(HollowServers& all, int number, Nanos first_report)
      : all_(all),
        report_(report_of(number, all.options_.request_classes)),
        report_again_(all.loop_.base(), [this] { report(); }),
        connect_again_(all.loop_.base(), [this] { connect(); }) {
    connect();
    report_again_.set(first_report);
  }

  void say(bool draining) {
    report_.draining = draining;
    send();
  }
  void reach(bool up) {
    connect_again_.clear();
    if (connected() && !up) connection_->set_reset_on_close();
    connection_.reset();
    if (up) connect();
  }
  bool connected() const { return connection_ && connection_->was_open(); }

  // Ignores the messages of control.
  std::size_t bytes_received(net::Connection&, std::string_view bytes) override { return bytes.size(); }
  void ended(net::Connection&, net::CloseReason) override {
    connection_.reset();
    connect_again_.set(kReconnectWait);
  }

 private:
  void connect() {
    connection_ = std::make_unique<net::Connection>(all_.loop_.base(), all_.options_.reports, *this,
                                                    all_.log_, "reports");
  }
  // The report timer runs whether the server is connected or not.
  void report() {
    report_again_.set(all_.options_.every);
    send();
  }
  void send() {
    if (!connected()) return;
    ++report_.sequence;
    report_.sent_unix = net::Loop::unix_now();
    std::string frame = report::encode(report_);
    connection_->write(frame);
    ++all_.reports_sent_;
    all_.report_bytes_ += frame.size();
  }

  HollowServers& all_;
  report::LoadReport report_;
  std::unique_ptr<net::Connection> connection_;
  net::Timer report_again_;
  net::Timer connect_again_;
};

HollowServers::HollowServers(net::Loop& loop, const HollowServersOptions& options)
    : loop_(loop), options_(options) {
  for (int i = 0; i < options.count; ++i) {
    int number = options.first + i;
    servers_[static_cast<std::uint32_t>(number)] =
        std::make_unique<Server>(*this, number, options.every * i / options.count);
  }
}

HollowServers::~HollowServers() = default;

void HollowServers::say(const hollow::Command::Say& command) {
  for (std::uint32_t number : command.servers()) {
    if (auto found = servers_.find(number); found != servers_.end()) found->second->say(command.leaving());
  }
}

void HollowServers::reach(const hollow::Command::Reach& command) {
  for (std::uint32_t number : command.servers()) {
    if (auto found = servers_.find(number); found != servers_.end()) found->second->reach(command.up());
  }
}

void HollowServers::fill(hollow::Answer& answer) const {
  auto connected = std::count_if(servers_.begin(), servers_.end(),
                                 [](const auto& one) { return one.second->connected(); });
  answer.set_servers_connected(static_cast<std::uint32_t>(connected));
  answer.set_reports_sent(reports_sent_);
  answer.set_report_bytes(report_bytes_);
}

}  // namespace myrtlecroft::capacity
