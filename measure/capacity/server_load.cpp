#include "server_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/address.h"
#include "server_relay.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kConnections = 8;
constexpr Nanos kTurn = kMs;
constexpr Nanos kRetry = 2 * kMs;
constexpr Nanos kOverrun = kSecond;       // after the end of the run, for outstanding answers
constexpr Nanos kPatience = 2 * kSecond;  // client timeout in each request
constexpr Nanos kOpenWithin = 10 * kSecond;

}  // namespace

// One keep-alive connection and the requests in flight on it.
class Load::Kept final : public net::ConnectionOwner {
 public:
  explicit Kept(Load& load) : load_(load) {}

  void open() {
    if (connection_) return;
    sockaddr_in to = net::loopback(load_.to_);
    connection_ = std::make_unique<net::Connection>(load_.loop_.base(), to, *this, load_.log_, "load");
  }
  bool is_open() const { return up_; }
  std::size_t in_flight() const { return requests_.size(); }

  void send(const standin::FastCgiRequestFields& fields) {
    int id = 1;
    while (requests_.contains(id)) ++id;
    std::string bytes = standin::encode_fastcgi_request(fields, id, true);
    requests_[id] = {.sent_at = load_.loop_.now(), .answer = {}};
    connection_->write(bytes);
  }

  void opened(net::Connection& connection) override {
    up_ = true;
    connection.set_reset_on_close();
  }
  std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
    return standin::for_each_fastcgi_record(bytes,
                                            [this](std::uint8_t type, int id, std::string_view content) {
                                              auto request = requests_.find(id);
                                              if (request == requests_.end()) return;
                                              if (type == standin::kFastCgiStdout)
                                                request->second.answer += content;
                                              if (type != standin::kFastCgiEndRequest) return;
                                              load_.answered(request->second.sent_at, request->second.answer);
                                              requests_.erase(request);
                                            });
  }
  void ended(net::Connection&, net::CloseReason) override {
    load_.lost(requests_.size());
    requests_.clear();
    up_ = false;
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
  bool up_ = false;
};

Load::Load(net::Loop& loop, std::uint16_t to, std::function<Names(std::mt19937&)> names)
    : loop_(loop),
      to_(to),
      names_(std::move(names)),
      send_(loop.base(), [this] { send_due(); }),
      turn_(loop.base(), [this] { end_when_answered(); }) {
  for (int i = 0; i < kConnections; ++i) kept_.push_back(std::make_unique<Kept>(*this));
}

Load::~Load() = default;

LoadResult Load::run(const LoadOptions& options, EachTurn each_turn) {
  for (Nanos until = loop_.now() + kOpenWithin; !all_open() && loop_.now() < until;) {
    open_all();
    event_base_loop(loop_.base(), EVLOOP_ONCE);
  }
  each_turn_ = std::move(each_turn);
  begin(options);
  loop_.run();
  lost(in_flight());
  return std::exchange(result_, {});
}

bool Load::wait_for_answer(Nanos within) {
  const Nanos until = loop_.now() + within;
  net::Timer retry(loop_.base(), [&] {
    if (!result_.completed_us.empty() || loop_.now() >= until) return loop_.stop();
    retry.set(kRetry);
    kept_.front()->open();
    if (kept_.front()->is_open() && in_flight() == 0) send_one();
  });
  waiting_for_first_ = true;
  retry.set(0);
  loop_.run();
  waiting_for_first_ = false;
  return !std::exchange(result_, {}).completed_us.empty();
}

void Load::open_all() {
  for (auto& kept : kept_) kept->open();
}

bool Load::all_open() const {
  return std::all_of(kept_.begin(), kept_.end(), [](const auto& kept) { return kept->is_open(); });
}

std::size_t Load::in_flight() const {
  std::size_t count = 0;
  for (const auto& kept : kept_) count += kept->in_flight();
  return count;
}

void Load::begin(const LoadOptions& options) {
  options_ = options;
  result_ = {};
  begun_ = loop_.now();
  next_ = begun_ + next_pause();
  last_answer_ = begun_;
  send_.set(0);
  turn_.set(0);
}

Nanos Load::next_pause() {
  double seconds = 1 / options_.per_second;
  if (options_.spacing == Spacing::kPoisson)
    seconds *= -std::log(1 - std::generate_canonical<double, 32>(random_));
  return static_cast<Nanos>(seconds * 1e9);
}

void Load::send_due() {
  Nanos now = loop_.now();
  while (next_ <= now && next_ < begun_ + options_.duration) {
    send_one();
    next_ += next_pause();
  }
  if (next_ < begun_ + options_.duration) send_.set(std::max<Nanos>(0, next_ - now));
}

void Load::send_one() {
  auto less = [](const auto& one, const auto& other) {
    return std::pair(!one->is_open(), one->in_flight()) < std::pair(!other->is_open(), other->in_flight());
  };
  Kept& kept = **std::min_element(kept_.begin(), kept_.end(), less);
  ++result_.offered;
  if (!kept.is_open()) return lost(1);
  Names names = names_(random_);
  standin::FastCgiRequestFields fields{.path = std::move(names.path),
                                       .trace = ++traces_,
                                       .accepted_unix = net::Loop::unix_now(),
                                       .tenant = std::move(names.tenant),
                                       .wait = kPatience,
                                       .key = {},
                                       .body = "group - 0 0 " + std::to_string(kResultBytes),
                                       .expected_ms = 1};
  kept.send(fields);
}

void Load::end_when_answered() {
  Nanos lasted = loop_.now() - begun_;
  if (each_turn_ && each_turn_(lasted)) options_.duration = std::min(options_.duration, lasted);
  bool over = lasted >= options_.duration && in_flight() == 0;
  if (over || lasted >= options_.duration + kOverrun) return loop_.stop();
  open_all();
  turn_.set(kTurn);
}

void Load::answered(Nanos sent_at, const std::string& answer) {
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
