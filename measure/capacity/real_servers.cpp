#include "capacity/real_servers.h"

#include <algorithm>

namespace myrtlecroft::capacity {
namespace {

constexpr Nanos kReconnectDelay = 200 * kMs;  // the reporter's first delay
constexpr std::uint32_t kWindow = 40;
constexpr double kLimit = 8;

}  // namespace

report::LoadReport make_report(int server, int request_classes) {
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
  Server(HollowServers& owner, int number, Nanos first_report)
      : owner_(owner),
        report_(make_report(number, owner.options_.request_classes)),
        report_timer_(owner.loop_.base(), [this] { report(); }),
        connect_timer_(owner.loop_.base(), [this] { connect(); }) {
    connect();
    report_timer_.set(first_report);
  }

  void set_draining(bool draining) {
    report_.draining = draining;
    send();
  }
  void set_reachable(bool up) {
    connect_timer_.clear();
    if (connected() && !up) connection_->set_reset_on_close();
    connection_.reset();
    if (up) connect();
  }
  bool connected() const { return connection_ && connection_->was_open(); }

  // Ignores the messages of control.
  std::size_t bytes_received(net::Connection&, std::string_view bytes) override { return bytes.size(); }
  void ended(net::Connection&, net::CloseReason) override {
    connection_.reset();
    connect_timer_.set(kReconnectDelay);
  }

 private:
  void connect() {
    connection_ = std::make_unique<net::Connection>(owner_.loop_.base(), owner_.options_.control_address,
                                                    *this, owner_.log_, "reports");
  }
  // The report timer runs whether the server is connected or not.
  void report() {
    report_timer_.set(owner_.options_.report_interval);
    send();
  }
  void send() {
    if (!connected()) return;
    ++report_.sequence;
    report_.sent_unix = net::Loop::unix_now();
    std::string frame = report::encode(report_);
    connection_->write(frame);
    ++owner_.reports_sent_;
    owner_.report_bytes_ += frame.size();
  }

  HollowServers& owner_;
  report::LoadReport report_;
  std::unique_ptr<net::Connection> connection_;
  net::Timer report_timer_;
  net::Timer connect_timer_;
};

HollowServers::HollowServers(net::Loop& loop, const HollowServersOptions& options)
    : loop_(loop), options_(options) {
  for (int i = 0; i < options.count; ++i) {
    int number = options.first + i;
    servers_[static_cast<std::uint32_t>(number)] =
        std::make_unique<Server>(*this, number, options.report_interval * i / options.count);
  }
}

HollowServers::~HollowServers() = default;

void HollowServers::set_draining(const hollow::Command::Say& command) {
  for (std::uint32_t number : command.servers()) {
    if (auto found = servers_.find(number); found != servers_.end())
      found->second->set_draining(command.leaving());
  }
}

void HollowServers::set_reachable(const hollow::Command::Reach& command) {
  for (std::uint32_t number : command.servers()) {
    if (auto found = servers_.find(number); found != servers_.end())
      found->second->set_reachable(command.up());
  }
}

void HollowServers::fill_answer(hollow::Answer& answer) const {
  auto connected = std::count_if(servers_.begin(), servers_.end(),
                                 [](const auto& one) { return one.second->connected(); });
  answer.set_servers_connected(static_cast<std::uint32_t>(connected));
  answer.set_reports_sent(reports_sent_);
  answer.set_report_bytes(report_bytes_);
}

}  // namespace myrtlecroft::capacity
