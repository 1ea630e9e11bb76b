#include "net/reporter.h"

#include <arpa/inet.h>

#include <algorithm>
#include <utility>

#include "net/address.h"

namespace myrtlecroft::net {
namespace {

constexpr Nanos kMinReconnectDelay = 200 * kMs;
constexpr Nanos kMaxReconnectDelay = 2'000 * kMs;
constexpr Nanos kMaxReportAge = 1'000 * kMs;
constexpr std::size_t kMaxRememberedReports = 64;  // for was_sent_recently()
// Beyond this, reports to a control service are skipped.
constexpr std::size_t kMaxUnsentBytes = std::size_t{16} * 1024;

std::string format_address(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

class LoadReporter::Link final : public ConnectionOwner {
 public:
  Link(LoadReporter& reporter, const sockaddr_in& address)
      : reporter_(reporter),
        loop_(reporter.loop_),
        log_(reporter.log_),
        address_(address),
        reconnect_timer_(loop_.base(), [this] { connect(); }) {
    connect();
  }

  const sockaddr_in& to() const { return address_; }
  std::size_t buffered_bytes() const { return connection_ ? connection_->buffered_bytes() : 0; }

  void send(const std::string& frame) {
    if (!connection_ || !connection_->was_open() || connection_->buffered_bytes() > kMaxUnsentBytes) return;
    connection_->write(frame);
  }

  void opened(Connection&) override { reconnect_delay_ = kMinReconnectDelay; }
  std::size_t bytes_received(Connection& connection, std::string_view bytes) override {
    report::FrameError malformed = report::FrameError::kInvalidBody;
    std::size_t consumed = bytes.size();
    if (reporter_.next_report_.accepts_assignments)
      consumed =
          report::decode(bytes, {.report = {}, .assignment = reporter_.assignment_handler_}, malformed);
    if (malformed != report::FrameError::kNone) connection.end(CloseReason::kMalformed);
    return consumed;
  }
  void ended(Connection&, CloseReason) override {
    connection_.reset();
    reconnect_timer_.set(reconnect_delay_);
    reconnect_delay_ = std::min(kMaxReconnectDelay, 2 * reconnect_delay_);
  }

 private:
  void connect() {
    connection_ = std::make_unique<Connection>(loop_.base(), address_, *this, log_,
                                               "reports to " + format_address(address_));
  }

  LoadReporter& reporter_;
  Loop& loop_;
  service::Logger& log_;
  sockaddr_in address_;
  Nanos reconnect_delay_ = kMinReconnectDelay;
  std::unique_ptr<Connection> connection_;
  Timer reconnect_timer_;
};

LoadReporter::LoadReporter(Loop& loop, service::Logger& log, const service::Service& service,
                           std::string name, const sockaddr_in& listen)
    : loop_(loop), log_(log), service_(service), report_timer_(loop.base(), [this] { send_report(); }) {
  next_report_.node = std::move(name);
  next_report_.address = format_address(listen);
  next_report_.incarnation = static_cast<std::uint64_t>(Loop::unix_now());
}

LoadReporter::~LoadReporter() = default;

void LoadReporter::set_report_settings(const settings::ReportSettings& settings) {
  std::vector<std::unique_ptr<Link>> links;
  for (const sockaddr_in& to : settings.to) {
    auto same = std::find_if(links_.begin(), links_.end(),
                             [&](const auto& link) { return link && same_address(link->to(), to); });
    if (same != links_.end()) {
      links.push_back(std::move(*same));
    } else {
      links.push_back(std::make_unique<Link>(*this, to));
    }
  }
  links_ = std::move(links);
  report_interval_ = settings.report_interval;
  next_report_.accepts_assignments = settings.follows_control_service;
  links_.empty() ? report_timer_.clear() : report_timer_.set(report_interval_);
}

std::size_t LoadReporter::unsent_bytes() const {
  std::size_t out = 0;
  for (const auto& link : links_) out += link->buffered_bytes();
  return out;
}

void LoadReporter::send_report() {
  std::string frame = report::encode(build_report());
  sent_at_.push_back(loop_.now());
  if (sent_at_.size() > kMaxRememberedReports) sent_at_.pop_front();
  for (auto& link : links_) link->send(frame);
  report_timer_.set(report_interval_);
}

bool LoadReporter::was_sent_recently(std::uint64_t sequence) const {
  std::uint64_t ago = next_report_.sequence - sequence;
  return ago < sent_at_.size() &&
         loop_.now() - sent_at_[sent_at_.size() - 1 - static_cast<std::size_t>(ago)] <= kMaxReportAge;
}

report::LoadReport LoadReporter::build_report() {
  ++next_report_.sequence;
  next_report_.sent_unix = Loop::unix_now();
  std::optional<ControllerStats> stats = service_.stats();
  next_report_.engine_up = stats.has_value();
  next_report_.draining = service_.draining();
  if (stats) {
    next_report_.mode = stats->mode;
    next_report_.warming_up = stats->warming_up;
    next_report_.window = static_cast<std::uint32_t>(stats->window);
    next_report_.limit = stats->limit;
    next_report_.queued_requests = static_cast<std::uint32_t>(stats->queued_requests);
    next_report_.running = static_cast<std::uint32_t>(stats->running);
  }
  next_report_.core_time = static_cast<std::uint64_t>(service_.core_time());
  next_report_.request_classes.clear();
  for (std::size_t i = 0; i < service_.counts().size(); ++i) {
    const service::Service::Counts& counts = service_.counts()[i];
    next_report_.request_classes.push_back({service_.config().request_classes[i].name, counts.received,
                                            counts.rejected, counts.completed, counts.completed_in_time,
                                            counts.failed});
  }
  return next_report_;
}

}  // namespace myrtlecroft::net
