#include "net/reporter.h"

#include <arpa/inet.h>

#include <algorithm>
#include <utility>

#include "net/address.h"

namespace myrtlecroft::net {
namespace {

constexpr Nanos kFirstWait = 200 * kMs;
constexpr Nanos kLongestWait = 2'000 * kMs;
constexpr Nanos kFresh = 1'000 * kMs;
constexpr std::size_t kMaxSent = 64;                         // reports that are remembered
constexpr std::size_t kMaxWaiting = std::size_t{16} * 1024;  // bytes a control service may leave unread

std::string written(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

class LoadReporter::Link final : public ConnectionOwner {
 public:
  Link(LoadReporter& reporter, const sockaddr_in& to)
      : reporter_(reporter),
        loop_(reporter.loop_),
        log_(reporter.log_),
        to_(to),
        again_(loop_.base(), [this] { connect(); }) {
    connect();
  }

  const sockaddr_in& to() const { return to_; }
  std::size_t bytes_held() const { return connection_ ? connection_->bytes_held() : 0; }

  void send(const std::string& frame) {
    if (!connection_ || !connection_->was_open() || connection_->bytes_held() > kMaxWaiting) return;
    connection_->write(frame);
  }

  void opened(Connection&) override { wait_ = kFirstWait; }
  std::size_t bytes_received(Connection& connection, std::string_view bytes) override {
    report::FrameError malformed = report::FrameError::kInvalidBody;
    std::size_t taken = bytes.size();
    if (reporter_.next_.accepts_assignments)
      taken = report::decode(bytes, {.report = {}, .order = reporter_.ordered_}, malformed);
    if (malformed != report::FrameError::kNone) connection.end(CloseReason::kMalformed);
    return taken;
  }
  void ended(Connection&, CloseReason) override {
    connection_.reset();
    again_.set(wait_);
    wait_ = std::min(kLongestWait, 2 * wait_);
  }

 private:
  void connect() {
    connection_ = std::make_unique<Connection>(loop_.base(), to_, *this, log_, "reports to " + written(to_));
  }

  LoadReporter& reporter_;
  Loop& loop_;
  service::Logger& log_;
  sockaddr_in to_;
  Nanos wait_ = kFirstWait;
  std::unique_ptr<Connection> connection_;
  Timer again_;
};

LoadReporter::LoadReporter(Loop& loop, service::Logger& log, const service::Service& service,
                           std::string name, const sockaddr_in& listen)
    : loop_(loop), log_(log), service_(service), again_(loop.base(), [this] { send(); }) {
  next_.node = std::move(name);
  next_.address = written(listen);
  next_.incarnation = static_cast<std::uint64_t>(Loop::unix_now());
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
  every_ = settings.report_interval;
  next_.accepts_assignments = settings.follows_control_service;
  links_.empty() ? again_.clear() : again_.set(every_);
}

std::size_t LoadReporter::bytes_waiting() const {
  std::size_t out = 0;
  for (const auto& link : links_) out += link->bytes_held();
  return out;
}

void LoadReporter::send() {
  std::string frame = report::encode(report());
  sent_.push_back(loop_.now());
  if (sent_.size() > kMaxSent) sent_.pop_front();
  for (auto& link : links_) link->send(frame);
  again_.set(every_);
}

bool LoadReporter::was_sent_recently(std::uint64_t sequence) const {
  std::uint64_t ago = next_.sequence - sequence;
  return ago < sent_.size() &&
         loop_.now() - sent_[sent_.size() - 1 - static_cast<std::size_t>(ago)] <= kFresh;
}

report::LoadReport LoadReporter::report() {
  ++next_.sequence;
  next_.sent_unix = Loop::unix_now();
  std::optional<ControllerStats> stats = service_.stats();
  next_.engine_up = stats.has_value();
  next_.draining = service_.draining();
  if (stats) {
    next_.mode = stats->mode;
    next_.warming_up = stats->warming_up;
    next_.window = static_cast<std::uint32_t>(stats->window);
    next_.limit = stats->limit;
    next_.queued_requests = static_cast<std::uint32_t>(stats->queued_requests);
    next_.running = static_cast<std::uint32_t>(stats->running);
  }
  next_.core_time = static_cast<std::uint64_t>(service_.core_time());
  next_.request_classes.clear();
  for (std::size_t i = 0; i < service_.counts().size(); ++i) {
    const service::Service::Counts& counts = service_.counts()[i];
    next_.request_classes.push_back({service_.config().request_classes[i].name, counts.read, counts.rejected,
                                     counts.completed, counts.in_time, counts.terminated});
  }
  return next_;
}

}  // namespace myrtlecroft::net
