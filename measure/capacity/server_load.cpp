#include "server_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/address.h"
#include "server_relay.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kConnections = 8;
constexpr Nanos kTickInterval = kMs;
constexpr Nanos kRetryInterval = 2 * kMs;
constexpr Nanos kAnswerGrace = kSecond;        // after the end of the run, for outstanding answers
constexpr Nanos kClientTimeout = 2 * kSecond;  // sent with each request
constexpr Nanos kOpenLimit = 10 * kSecond;

}  // namespace

// One keep-alive connection and the requests in flight on it.
class Load::KeepAliveConnection final : public net::ConnectionOwner {
 public:
  explicit KeepAliveConnection(Load& load) : load_(load) {}

  void open() {
    if (connection_) return;
    sockaddr_in address = net::loopback(load_.port_);
    connection_ = std::make_unique<net::Connection>(load_.loop_.base(), address, *this, load_.log_, "load");
  }
  bool is_open() const { return is_open_; }
  std::size_t in_flight() const { return requests_.size(); }

  void send(const standin::FastCgiRequestFields& fields) {
    int id = 1;
    while (requests_.contains(id)) ++id;
    std::string bytes = standin::encode_fastcgi_request(fields, id, true);
    requests_[id] = {.sent_at = load_.loop_.now(), .answer = {}};
    connection_->write(bytes);
  }

  void opened(net::Connection& connection) override {
    is_open_ = true;
    connection.set_reset_on_close();
  }
  std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
    return standin::for_each_fastcgi_record(
        bytes, [this](std::uint8_t type, int id, std::string_view content) {
          auto request = requests_.find(id);
          if (request == requests_.end()) return;
          if (type == standin::kFastCgiStdout) request->second.answer += content;
          if (type != standin::kFastCgiEndRequest) return;
          load_.handle_answer(request->second.sent_at, request->second.answer);
          requests_.erase(request);
        });
  }
  void ended(net::Connection&, net::CloseReason) override {
    load_.count_failed(requests_.size());
    requests_.clear();
    is_open_ = false;
    connection_.reset();
  }

 private:
  struct Request {
    Nanos sent_at = 0;
    std::string answer;
  };

  Load& load_;
  std::unique_ptr<net::Connection> connection_;
  std::map<int, Request> requests_;
  bool is_open_ = false;
};

Load::Load(net::Loop& loop, std::uint16_t port, std::function<RequestTarget(std::mt19937&)> draw_target)
    : loop_(loop),
      port_(port),
      draw_target_(std::move(draw_target)),
      send_timer_(loop.base(), [this] { send_due(); }),
      tick_timer_(loop.base(), [this] { end_when_answered(); }) {
  for (int i = 0; i < kConnections; ++i) connections_.push_back(std::make_unique<KeepAliveConnection>(*this));
}

Load::~Load() = default;

LoadResult Load::run(const LoadOptions& options, TickCallback on_tick) {
  for (Nanos deadline = loop_.now() + kOpenLimit; !all_open() && loop_.now() < deadline;) {
    open_all();
    event_base_loop(loop_.base(), EVLOOP_ONCE);
  }
  on_tick_ = std::move(on_tick);
  start_run(options);
  loop_.run();
  count_failed(in_flight());
  return std::exchange(result_, {});
}

bool Load::wait_for_answer(Nanos within) {
  const Nanos deadline = loop_.now() + within;
  net::Timer retry(loop_.base(), [&] {
    if (!result_.completed_us.empty() || loop_.now() >= deadline) return loop_.stop();
    retry.set(kRetryInterval);
    connections_.front()->open();
    if (connections_.front()->is_open() && in_flight() == 0) send_one();
  });
  waiting_for_first_ = true;
  retry.set(0);
  loop_.run();
  waiting_for_first_ = false;
  return !std::exchange(result_, {}).completed_us.empty();
}

void Load::open_all() {
  for (auto& keep_alive : connections_) keep_alive->open();
}

bool Load::all_open() const {
  return std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& keep_alive) { return keep_alive->is_open(); });
}

std::size_t Load::in_flight() const {
  std::size_t count = 0;
  for (const auto& keep_alive : connections_) count += keep_alive->in_flight();
  return count;
}

void Load::start_run(const LoadOptions& options) {
  options_ = options;
  result_ = {};
  run_start_ = loop_.now();
  next_send_at_ = run_start_ + next_interval();
  last_answer_ = run_start_;
  send_timer_.set(0);
  tick_timer_.set(0);
}

Nanos Load::next_interval() {
  double seconds = 1 / options_.per_second;
  if (options_.spacing == Spacing::kPoisson)
    seconds *= -std::log(1 - std::generate_canonical<double, 32>(random_));
  return static_cast<Nanos>(seconds * 1e9);
}

void Load::send_due() {
  Nanos now = loop_.now();
  while (next_send_at_ <= now && next_send_at_ < run_start_ + options_.duration) {
    send_one();
    next_send_at_ += next_interval();
  }
  if (next_send_at_ < run_start_ + options_.duration)
    send_timer_.set(std::max<Nanos>(0, next_send_at_ - now));
}

void Load::send_one() {
  auto less_loaded = [](const auto& one, const auto& other) {
    return std::pair(!one->is_open(), one->in_flight()) < std::pair(!other->is_open(), other->in_flight());
  };
  KeepAliveConnection& keep_alive = **std::min_element(connections_.begin(), connections_.end(), less_loaded);
  ++result_.offered;
  if (!keep_alive.is_open()) return count_failed(1);
  RequestTarget target = draw_target_(random_);
  standin::FastCgiRequestFields fields{.path = std::move(target.path),
                                       .trace = ++last_trace_,
                                       .accepted_unix = net::Loop::unix_now(),
                                       .tenant = std::move(target.tenant),
                                       .wait = kClientTimeout,
                                       .key = {},
                                       .body = "group - 0 0 " + std::to_string(kResultBytes),
                                       .expected_ms = 1};
  keep_alive.send(fields);
}

void Load::end_when_answered() {
  Nanos elapsed = loop_.now() - run_start_;
  if (on_tick_ && on_tick_(elapsed)) options_.duration = std::min(options_.duration, elapsed);
  bool over = elapsed >= options_.duration && in_flight() == 0;
  if (over || elapsed >= options_.duration + kAnswerGrace) return loop_.stop();
  open_all();
  tick_timer_.set(kTickInterval);
}

void Load::handle_answer(Nanos sent_at, const std::string& answer) {
  Nanos now = loop_.now();
  result_.largest_gap = std::max(result_.largest_gap, now - std::exchange(last_answer_, now));
  if (answer.starts_with("Status: 200")) {
    result_.completed_us.push_back(static_cast<double>(now - sent_at) / 1e3);
    if (waiting_for_first_) loop_.stop();
  } else if (answer.starts_with("Status: 503")) {
    ++result_.rejected;
  } else {
    ++result_.failed;
  }
}

}  // namespace myrtlecroft::capacity
