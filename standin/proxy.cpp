#include "proxy.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "cgi_client.h"

namespace myrtlecroft::standin {
namespace {

constexpr std::uint32_t kMaxRingPoints = 128;  // ring points of the endpoint with the largest weight

Nanos to_nanos(const google::protobuf::Duration& duration) {
  return duration.seconds() * kSecond + duration.nanos();
}

std::string address_of(const envoy::config::endpoint::v3::LbEndpoint& endpoint) {
  const auto& socket_address = endpoint.endpoint().address().socket_address();
  return socket_address.address() + ":" + std::to_string(socket_address.port_value());
}

bool list_contains(const std::string& list, std::string_view word) {
  for (std::size_t at = 0; at <= list.size();) {
    std::size_t end = std::min(list.find(',', at), list.size());
    if (std::string_view(list).substr(at, end - at) == word) return true;
    at = end + 1;
  }
  return false;
}

}  // namespace

struct Proxy::PendingRequest {
  Request request;
  std::function<void(const RequestResult&)> ended;
  RequestResult result;
  std::string cluster;
  const envoy::config::route::v3::RetryPolicy* retry = nullptr;
  // The set at the start of the request; keeps its routes alive until the request ends.
  std::shared_ptr<const AppliedSet> set;
  std::set<std::string> tried_addresses;
  Nanos deadline = 0;
  int retries = 0;
};

// One attempt, on its own connection.
class Proxy::Attempt final : public net::ConnectionOwner {
 public:
  Attempt(Proxy& proxy, std::shared_ptr<PendingRequest> pending, const sockaddr_in& to, Nanos wait,
          std::uint64_t trace)
      : proxy_(proxy),
        pending_(std::move(pending)),
        connection_(proxy.loop_.base(), to, *this, proxy.log_, "try"),
        timeout_(proxy.loop_.base(), [this] { finish(RequestResult::Kind::kNoAnswer, true); }) {
    const Request& request = pending_->request;
    request_ = encode_fastcgi_request({.path = request.path,
                                       .trace = trace,
                                       .accepted_unix = request.accepted_unix,
                                       .client = proxy.number_,
                                       .tenant = request.tenant,
                                       .wait = wait,
                                       .key = request.key,
                                       .body = request.body,
                                       .expected_ms = request.expected_ms});
    timeout_.set(wait);
  }
  void opened(net::Connection& connection) override {
    sent_ = true;
    connection.write(request_);
  }
  std::size_t bytes_received(net::Connection&, std::string_view bytes) override {
    return for_each_fastcgi_record(bytes, [this](std::uint8_t type, int, std::string_view content) {
      if (type == kFastCgiStdout) answer_ += content;
      if (type == kFastCgiEndRequest)
        handle_end_request(static_cast<std::uint8_t>(content[kFastCgiProtocolStatusOffset]));
    });
  }
  void ended(net::Connection&, net::CloseReason) override {
    if (!finished_) finish(RequestResult::Kind::kNoAnswer, false);
    proxy_.attempts_.remove_if([this](const auto& one) { return one.get() == this; });
  }

 private:
  void handle_end_request(std::uint8_t protocol_status) {
    if (finished_) return;
    if (answer_.starts_with("Status: 200")) return finish(RequestResult::Kind::kCompleted, false);
    bool rejected =
        protocol_status == 2 || answer_.starts_with("Status: 503") || answer_.starts_with("Status: 429");
    std::size_t advice = answer_.find("Hold-Off-Ms: ");
    if (advice != std::string::npos) {
      std::int64_t ms = 0;
      std::from_chars(answer_.data() + advice + 13, answer_.data() + answer_.size(), ms);
      retry_after_ = ms * kMs;
    }
    finish(rejected ? RequestResult::Kind::kRejected : RequestResult::Kind::kTerminated, false);
  }
  void finish(RequestResult::Kind kind, bool timed_out) {
    finished_ = true;
    timeout_.clear();
    connection_.set_reset_on_close();
    connection_.end(net::CloseReason::kDone);
    if (kind == RequestResult::Kind::kNoAnswer && sent_ && !timed_out) {
      pending_->result.connection_lost = true;
      pending_->result.connection_lost_server = pending_->result.last_server;
    }
    proxy_.attempt_ended(pending_, kind, !sent_, timed_out, retry_after_);
  }

  Proxy& proxy_;
  std::shared_ptr<PendingRequest> pending_;
  net::Connection connection_;
  net::Timer timeout_;
  std::string request_;
  std::string answer_;
  Nanos retry_after_ = 0;
  bool sent_ = false;
  bool finished_ = false;
};

Proxy::Proxy(net::Loop& loop, service::Logger& log, Set set, int number, std::uint32_t seed)
    : loop_(loop), log_(log), set_(std::move(set)), number_(number), random_(seed) {}
Proxy::~Proxy() = default;

bool Proxy::matches_pattern(const std::string& pattern, const std::string& key) {
  auto found = patterns_.find(pattern);
  if (found == patterns_.end()) {
    if (patterns_.size() > 4096) patterns_.clear();
    // std::regex does not support "(?i)"; the keys of the stand-ins are lower case.
    std::string plain = pattern.starts_with("(?i)") ? pattern.substr(4) : pattern;
    found = patterns_.emplace(pattern, std::regex(plain, std::regex::optimize)).first;
  }
  return std::regex_match(key, found->second);
}

Proxy::ChosenRoute Proxy::choose_route(const AppliedSet& set, const Request& request) {
  for (const auto& host : set.routes->virtual_hosts()) {
    for (const auto& route : host.routes()) {
      if (route.match().path() != request.path) continue;
      bool route_matches = true;
      for (const auto& header : route.match().headers()) {
        route_matches = route_matches && matches_pattern(header.safe_regex_match().regex(), request.key);
      }
      if (route.match().has_runtime_fraction()) {
        auto share = set.fractions.find(route.match().runtime_fraction().runtime_key());
        double draw = static_cast<double>(random_()) / 4294967296.0;
        route_matches = route_matches && (share == set.fractions.end() || draw < share->second);
      }
      if (route_matches) return {&route, route.has_route() ? route.route().cluster() : ""};
    }
  }
  return {};
}

std::string pick_ring_endpoint(const envoy::config::endpoint::v3::ClusterLoadAssignment& endpoints,
                               const std::string& key, const std::set<std::string>& excluded) {
  std::uint32_t heaviest = 1;
  for (const auto& locality : endpoints.endpoints())
    heaviest = std::max(heaviest, locality.load_balancing_weight().value());
  std::uint64_t key_position = XXH64(key.data(), key.size(), 0);
  std::uint64_t nearest_distance = ~std::uint64_t{0};
  std::string out;
  for (const auto& locality : endpoints.endpoints()) {
    std::string address = address_of(locality.lb_endpoints(0));
    if (excluded.contains(address)) continue;
    std::uint32_t points = std::max(1u, kMaxRingPoints * locality.load_balancing_weight().value() / heaviest);
    for (std::uint32_t i = 0; i < points; ++i) {
      std::string point = address + "_" + std::to_string(i);
      std::uint64_t distance = XXH64(point.data(), point.size(), 0) - key_position;
      if (distance <= nearest_distance) nearest_distance = distance, out = address;
    }
  }
  return out;
}

std::string Proxy::pick_endpoint(const AppliedSet& set, const std::string& cluster, const std::string& key,
                                 const std::set<std::string>& excluded) {
  const auto& endpoints = *set.endpoints.at(cluster);
  bool ring = set.clusters.at(cluster)->lb_policy() == AppliedSet::Cluster::RING_HASH && !key.empty();
  if (ring) return pick_ring_endpoint(endpoints, key, excluded);
  double total = 0;
  auto usable = [&](const auto& locality) {
    return locality.priority() == 0 && !excluded.contains(address_of(locality.lb_endpoints(0)));
  };
  for (const auto& locality : endpoints.endpoints()) {
    if (usable(locality)) total += locality.load_balancing_weight().value();
  }
  double draw = total * static_cast<double>(random_()) / 4294967296.0;
  for (const auto& locality : endpoints.endpoints()) {
    if (!usable(locality)) continue;
    draw -= locality.load_balancing_weight().value();
    if (draw < 0) return address_of(locality.lb_endpoints(0));
  }
  return "";
}

void Proxy::send(Request request, std::function<void(const RequestResult&)> ended) {
  auto pending = std::make_shared<PendingRequest>();
  pending->request = std::move(request);
  pending->ended = std::move(ended);
  pending->set = set_();
  if (!pending->set) return pending->ended(pending->result);
  ChosenRoute choice = choose_route(*pending->set, pending->request);
  if (!choice.route || choice.cluster.empty()) {
    // Answered by the proxy itself: 503 is a rejection; with any other status the request may have run.
    bool rejected = choice.route && choice.route->direct_response().status() == 503;
    pending->result.kind = rejected ? RequestResult::Kind::kRejected : RequestResult::Kind::kTerminated;
    for (int i = 0; choice.route && i < choice.route->response_headers_to_add_size(); ++i) {
      pending->result.retry_after =
          std::stoll(choice.route->response_headers_to_add(i).header().value()) * kMs;
    }
    return pending->ended(pending->result);
  }
  const auto& endpoints = *pending->set->endpoints.at(choice.cluster);
  for (const auto& drop : endpoints.policy().drop_overloads()) {
    if (static_cast<double>(random_()) / 4294967296.0 * 10'000 < drop.drop_percentage().numerator()) {
      pending->result.kind = RequestResult::Kind::kRejected;
      return pending->ended(pending->result);
    }
  }
  const auto& thresholds = pending->set->clusters.at(choice.cluster)->circuit_breakers().thresholds(0);
  if (thresholds.has_max_requests() &&
      in_flight_[choice.cluster] >= static_cast<int>(thresholds.max_requests().value())) {
    pending->result.kind = RequestResult::Kind::kRejected;
    return pending->ended(pending->result);
  }
  pending->cluster = choice.cluster;
  const auto& action = choice.route->route();
  const auto& host = pending->set->routes->virtual_hosts(0);
  if (action.has_retry_policy()) {
    pending->retry = &action.retry_policy();
  } else if (host.has_retry_policy()) {
    pending->retry = &host.retry_policy();
  }
  Nanos wait = std::min(to_nanos(action.timeout()), pending->request.wait);
  pending->deadline = loop_.now() + wait;
  ++in_flight_[pending->cluster];
  start_next_attempt(pending);
}

void Proxy::start_next_attempt(const std::shared_ptr<PendingRequest>& pending) {
  Nanos wait = pending->deadline - loop_.now();
  if (pending->retry && pending->retry->has_per_try_timeout()) {
    wait = std::min(wait, to_nanos(pending->retry->per_try_timeout()));
  }
  std::string to =
      pick_endpoint(*pending->set, pending->cluster, pending->request.key, pending->tried_addresses);
  if (to.empty()) to = pick_endpoint(*pending->set, pending->cluster, pending->request.key, {});
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::size_t colon = to.rfind(':');
  if (colon == std::string::npos || wait <= 0) {
    --in_flight_[pending->cluster];
    return pending->ended(pending->result);
  }
  inet_pton(AF_INET, to.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(to.substr(colon + 1))));
  pending->tried_addresses.insert(to);
  pending->result.last_server = to;
  ++pending->result.attempts;
  std::uint64_t trace = static_cast<std::uint64_t>(random_()) << 32 | random_();
  attempts_.push_back(std::make_unique<Attempt>(*this, pending, address, wait, trace));
}

void Proxy::attempt_ended(const std::shared_ptr<PendingRequest>& pending, RequestResult::Kind kind,
                          bool never_sent, bool timed_out, Nanos retry_after) {
  pending->result.kind = kind;
  pending->result.retry_after = retry_after;
  if (pending->retries > 0) --retries_;
  bool should_retry = false;
  if (pending->retry && kind != RequestResult::Kind::kCompleted &&
      pending->retries < static_cast<int>(pending->retry->num_retries().value())) {
    const std::string& retry_on = pending->retry->retry_on();
    should_retry =
        (never_sent && list_contains(retry_on, "connect-failure")) ||
        (kind == RequestResult::Kind::kRejected && list_contains(retry_on, "retriable-status-codes")) ||
        (kind == RequestResult::Kind::kNoAnswer && !never_sent && !timed_out &&
         list_contains(retry_on, "reset")) ||
        (timed_out && !never_sent && list_contains(retry_on, "gateway-error"));
  }
  const auto& budget =
      pending->set->clusters.at(pending->cluster)->circuit_breakers().thresholds(0).retry_budget();
  double allowed = std::max(budget.min_retry_concurrency().value() * 1.0,
                            budget.budget_percent().value() / 100 * in_flight_[pending->cluster]);
  should_retry = should_retry && retries_ < allowed && loop_.now() + 20 * kMs < pending->deadline;
  if (!should_retry) {
    --in_flight_[pending->cluster];
    pending->ended(pending->result);
    return;
  }
  ++pending->retries;
  ++retries_;
  start_next_attempt(pending);
}

}  // namespace myrtlecroft::standin
