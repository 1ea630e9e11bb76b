// A stand-in proxy: sends real FastCGI requests to servers, routed only by the resource set that it was
// served.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <regex>
#include <set>
#include <string>

#include "ads_client.h"
#include "net/connection.h"

namespace myrtlecroft::standin {

struct Request {
  std::string path;
  std::string key;  // empty: none
  std::string body;
  std::string tenant = "acme";
  Nanos accepted_unix = 0;
  Nanos wait = 0;  // the caller's timeout
  int expected_ms = 20;
};

struct RequestResult {
  enum class Kind { kCompleted, kRejected, kTerminated, kNoAnswer };
  Kind kind = Kind::kNoAnswer;
  Nanos retry_after = 0;
  int attempts = 0;
  std::string last_server;  // address
  // Some attempt was sent to a server and its connection ended without an answer.
  bool connection_lost = false;
  std::string connection_lost_server;  // address of that server
};

// Runs on the loop's thread.
class Proxy {
 public:
  using Set = std::function<std::shared_ptr<const AppliedSet>()>;
  // `number`: sent as the client number of each request; `seed`: of the random choices.
  Proxy(net::Loop& loop, service::Logger& log, Set set, int number, std::uint32_t seed);
  ~Proxy();
  // Sends the request, with retries by the route's retry policy, and calls `ended` once, possibly before
  // returning.
  void send(Request request, std::function<void(const RequestResult&)> ended);
  std::size_t in_flight() const { return attempts_.size(); }

 private:
  struct PendingRequest;
  class Attempt;
  // The route that matches a request.
  struct ChosenRoute {
    const envoy::config::route::v3::Route* route = nullptr;
    std::string cluster;
  };
  ChosenRoute choose_route(const AppliedSet& set, const Request& request);
  std::string pick_endpoint(const AppliedSet& set, const std::string& cluster, const std::string& key,
                            const std::set<std::string>& excluded);
  void start_next_attempt(const std::shared_ptr<PendingRequest>& pending);
  void attempt_ended(const std::shared_ptr<PendingRequest>& pending, RequestResult::Kind kind,
                     bool never_sent, bool timed_out, Nanos retry_after);
  bool matches_pattern(const std::string& pattern, const std::string& key);

  net::Loop& loop_;
  service::Logger& log_;
  Set set_;
  int number_;
  std::mt19937 random_;
  std::list<std::unique_ptr<Attempt>> attempts_;
  std::map<std::string, int> in_flight_;  // by cluster
  int retries_ = 0;                       // retries in flight
  std::map<std::string, std::regex> patterns_;
};

// Returns the address of the endpoint that owns the key on the hash ring, or "" if all are excluded. An
// endpoint's number of ring points is proportional to its weight.
std::string pick_ring_endpoint(const envoy::config::endpoint::v3::ClusterLoadAssignment& endpoints,
                               const std::string& key, const std::set<std::string>& excluded);

}  // namespace myrtlecroft::standin
