#include "proxy.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "cgi_client.h"

namespace myrtlecroft::standin {
namespace {

constexpr std::uint32_t kRingPoints = 128;  // of the heaviest endpoint

Nanos time_of(const google::protobuf::Duration& given) { return given.seconds() * kSecond + given.nanos(); }

std::string address_of(const envoy::config::endpoint::v3::LbEndpoint& endpoint) {
  const auto& at = endpoint.endpoint().address().socket_address();
  return at.address() + ":" + std::to_string(at.port_value());
}

bool says(const std::string& list, std::string_view word) {
  for (std::size_t at = 0; at <= list.size();) {
    std::size_t end = std::min(list.find(',', at), list.size());
    if (std::string_view(list).substr(at, end - at) == word) return true;
    at = end + 1;
  }
  return false;
}

}  // namespace

struct Proxy::Going {
  Request request;
  std::function<void(const RequestResult&)> ended;
  RequestResult so_far;
  std::string cluster;
  const envoy::config::route::v3::RetryPolicy* retry = nullptr;
  std::shared_ptr<const AppliedSet> set;  // that it began with; its routes stay while it goes on
  std::set<std::string> tried;
  Nanos until = 0;
  int retries = 0;
};

// One try on a connection of its own.
class Proxy::Try final : public net::ConnectionOwner {
 public:
  Try(Proxy& proxy, std::shared_ptr<Going> going, const sockaddr_in& to, Nanos wait, std::uint64_t trace)
      : proxy_(proxy),
        going_(std::move(going)),
        connection_(proxy.loop_.base(), to, *this, proxy.log_, "try"),
        late_(proxy.loop_.base(), [this] { finish(RequestResult::Kind::kNoAnswer, true); }) {
    const Request& request = going_->request;
    request_ = encode_fastcgi_request({.path = request.path,
                                       .trace = trace,
                                       .accepted_unix = request.accepted_unix,
                                       .client = proxy.number_,
                                       .tenant = request.tenant,
                                       .wait = wait,
                                       .key = request.key,
                                       .body = request.body,
                                       .expected_ms = request.expected_ms});
    late_.set(wait);
  }
  void opened(net::Connection& connection) override {
    sent_ = true;
    connection.write(request_);
  }
  std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
    return for_each_fastcgi_record(bytes, [this](std::uint8_t type, int, std::string_view content) {
      if (type == kFastCgiStdout) answer_ += content;
      if (type == kFastCgiEndRequest)
        answered(static_cast<std::uint8_t>(content[kFastCgiProtocolStatusOffset]));
    });
  }
  void ended(net::Connection&, net::CloseReason) override {
    if (!over_) finish(RequestResult::Kind::kNoAnswer, false);
    proxy_.tries_.remove_if([this](const auto& one) { return one.get() == this; });
  }

 private:
  void answered(std::uint8_t protocol) {
    if (over_) return;
    if (answer_.starts_with("Status: 200")) return finish(RequestResult::Kind::kCompleted, false);
    bool rejected = protocol == 2 || answer_.starts_with("Status: 503") || answer_.starts_with("Status: 429");
    std::size_t advice = answer_.find("Hold-Off-Ms: ");
    if (advice != std::string::npos) {
      std::int64_t ms = 0;
      std::from_chars(answer_.data() + advice + 13, answer_.data() + answer_.size(), ms);
      retry_after_ = ms * kMs;
    }
    finish(rejected ? RequestResult::Kind::kRejected : RequestResult::Kind::kTerminated, false);
  }
  void finish(RequestResult::Kind kind, bool late) {
    over_ = true;
    late_.clear();
    connection_.set_reset_on_close();
    connection_.end(net::CloseReason::kDone);
    if (kind == RequestResult::Kind::kNoAnswer && sent_ && !late) {
      going_->so_far.connection_lost = true;
      going_->so_far.connection_lost_server = going_->so_far.last_node;
    }
    proxy_.tried(going_, kind, !sent_, late, retry_after_);
  }

  Proxy& proxy_;
  std::shared_ptr<Going> going_;
  net::Connection connection_;
  net::Timer late_;
  std::string request_;
  std::string answer_;
  Nanos retry_after_ = 0;
  bool sent_ = false;
  bool over_ = false;
};

Proxy::Proxy(net::Loop& loop, service::Logger& log, Set set, int number, std::uint32_t seed)
    : loop_(loop), log_(log), set_(std::move(set)), number_(number), random_(seed) {}
Proxy::~Proxy() = default;

bool Proxy::matches(const std::string& pattern, const std::string& key) {
  auto found = patterns_.find(pattern);
  if (found == patterns_.end()) {
    if (patterns_.size() > 4096) patterns_.clear();
    // This library has no "(?i)"; keys here are lower case.
    std::string plain = pattern.starts_with("(?i)") ? pattern.substr(4) : pattern;
    found = patterns_.emplace(pattern, std::regex(plain, std::regex::optimize)).first;
  }
  return std::regex_match(key, found->second);
}

Proxy::Chosen Proxy::choose(const AppliedSet& set, const Request& request) {
  for (const auto& host : set.routes->virtual_hosts()) {
    for (const auto& route : host.routes()) {
      if (route.match().path() != request.path) continue;
      bool fits = true;
      for (const auto& header : route.match().headers()) {
        fits = fits && matches(header.safe_regex_match().regex(), request.key);
      }
      if (route.match().has_runtime_fraction()) {
        auto share = set.fractions.find(route.match().runtime_fraction().runtime_key());
        double draw = static_cast<double>(random_()) / 4294967296.0;
        fits = fits && (share == set.fractions.end() || draw < share->second);
      }
      if (fits) return {&route, route.has_route() ? route.route().cluster() : ""};
    }
  }
  return {};
}

std::string pick_ring_endpoint(const envoy::config::endpoint::v3::ClusterLoadAssignment& endpoints,
                               const std::string& key, const std::set<std::string>& not_these) {
  std::uint32_t heaviest = 1;
  for (const auto& place : endpoints.endpoints())
    heaviest = std::max(heaviest, place.load_balancing_weight().value());
  std::uint64_t at = XXH64(key.data(), key.size(), 0);
  std::uint64_t nearest = ~std::uint64_t{0};
  std::string out;
  for (const auto& place : endpoints.endpoints()) {
    std::string address = address_of(place.lb_endpoints(0));
    if (not_these.contains(address)) continue;
    std::uint32_t points = std::max(1u, kRingPoints * place.load_balancing_weight().value() / heaviest);
    for (std::uint32_t i = 0; i < points; ++i) {
      std::string point = address + "_" + std::to_string(i);
      std::uint64_t ahead = XXH64(point.data(), point.size(), 0) - at;
      if (ahead <= nearest) nearest = ahead, out = address;
    }
  }
  return out;
}

std::string Proxy::pick(const AppliedSet& set, const std::string& cluster, const std::string& key,
                        const std::set<std::string>& not_these) {
  const auto& endpoints = *set.endpoints.at(cluster);
  bool ring = set.clusters.at(cluster)->lb_policy() == AppliedSet::Cluster::RING_HASH && !key.empty();
  if (ring) return pick_ring_endpoint(endpoints, key, not_these);
  double total = 0;
  auto usable = [&](const auto& place) {
    return place.priority() == 0 && !not_these.contains(address_of(place.lb_endpoints(0)));
  };
  for (const auto& place : endpoints.endpoints()) {
    if (usable(place)) total += place.load_balancing_weight().value();
  }
  double draw = total * static_cast<double>(random_()) / 4294967296.0;
  for (const auto& place : endpoints.endpoints()) {
    if (!usable(place)) continue;
    draw -= place.load_balancing_weight().value();
    if (draw < 0) return address_of(place.lb_endpoints(0));
  }
  return "";
}

void Proxy::send(Request request, std::function<void(const RequestResult&)> ended) {
  auto going = std::make_shared<Going>();
  going->request = std::move(request);
  going->ended = std::move(ended);
  going->set = set_();
  if (!going->set) return going->ended(going->so_far);
  Chosen chosen = choose(*going->set, going->request);
  if (!chosen.route || chosen.cluster.empty()) {
    // Answered by the proxy itself: a rejection, or for what may have run no promise at all.
    bool rejected = chosen.route && chosen.route->direct_response().status() == 503;
    going->so_far.kind = rejected ? RequestResult::Kind::kRejected : RequestResult::Kind::kTerminated;
    for (int i = 0; chosen.route && i < chosen.route->response_headers_to_add_size(); ++i) {
      going->so_far.retry_after = std::stoll(chosen.route->response_headers_to_add(i).header().value()) * kMs;
    }
    return going->ended(going->so_far);
  }
  const auto& endpoints = *going->set->endpoints.at(chosen.cluster);
  for (const auto& drop : endpoints.policy().drop_overloads()) {
    if (static_cast<double>(random_()) / 4294967296.0 * 10'000 < drop.drop_percentage().numerator()) {
      going->so_far.kind = RequestResult::Kind::kRejected;
      return going->ended(going->so_far);
    }
  }
  const auto& bounds = going->set->clusters.at(chosen.cluster)->circuit_breakers().thresholds(0);
  if (bounds.has_max_requests() &&
      in_flight_[chosen.cluster] >= static_cast<int>(bounds.max_requests().value())) {
    going->so_far.kind = RequestResult::Kind::kRejected;
    return going->ended(going->so_far);
  }
  going->cluster = chosen.cluster;
  const auto& action = chosen.route->route();
  const auto& host = going->set->routes->virtual_hosts(0);
  if (action.has_retry_policy()) {
    going->retry = &action.retry_policy();
  } else if (host.has_retry_policy()) {
    going->retry = &host.retry_policy();
  }
  Nanos wait = std::min(time_of(action.timeout()), going->request.wait);
  going->until = loop_.now() + wait;
  ++in_flight_[going->cluster];
  next_try(going);
}

void Proxy::next_try(const std::shared_ptr<Going>& going) {
  Nanos wait = going->until - loop_.now();
  if (going->retry && going->retry->has_per_try_timeout()) {
    wait = std::min(wait, time_of(going->retry->per_try_timeout()));
  }
  std::string to = pick(*going->set, going->cluster, going->request.key, going->tried);
  if (to.empty()) to = pick(*going->set, going->cluster, going->request.key, {});
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::size_t colon = to.rfind(':');
  if (colon == std::string::npos || wait <= 0) {
    --in_flight_[going->cluster];
    return going->ended(going->so_far);
  }
  inet_pton(AF_INET, to.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(to.substr(colon + 1))));
  going->tried.insert(to);
  going->so_far.last_node = to;
  ++going->so_far.tries;
  std::uint64_t trace = static_cast<std::uint64_t>(random_()) << 32 | random_();
  tries_.push_back(std::make_unique<Try>(*this, going, address, wait, trace));
}

void Proxy::tried(const std::shared_ptr<Going>& going, RequestResult::Kind kind, bool never_sent, bool late,
                  Nanos retry_after) {
  going->so_far.kind = kind;
  going->so_far.retry_after = retry_after;
  if (going->retries > 0) --retries_;
  bool again = false;
  if (going->retry && kind != RequestResult::Kind::kCompleted &&
      going->retries < static_cast<int>(going->retry->num_retries().value())) {
    const std::string& on = going->retry->retry_on();
    again = (never_sent && says(on, "connect-failure")) ||
            (kind == RequestResult::Kind::kRejected && says(on, "retriable-status-codes")) ||
            (kind == RequestResult::Kind::kNoAnswer && !never_sent && !late && says(on, "reset")) ||
            (late && !never_sent && says(on, "gateway-error"));
  }
  const auto& budget =
      going->set->clusters.at(going->cluster)->circuit_breakers().thresholds(0).retry_budget();
  double allowed = std::max(budget.min_retry_concurrency().value() * 1.0,
                            budget.budget_percent().value() / 100 * in_flight_[going->cluster]);
  again = again && retries_ < allowed && loop_.now() + 20 * kMs < going->until;
  if (!again) {
    --in_flight_[going->cluster];
    going->ended(going->so_far);
    return;
  }
  ++going->retries;
  ++retries_;
  next_try(going);
}

}  // namespace myrtlecroft::standin
