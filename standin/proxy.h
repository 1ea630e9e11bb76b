// A stand-in proxy: sends real requests over FastCGI to servers by the set it was served, and by nothing
// else.
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
  Nanos wait = 0;  // of the caller
  int expected_ms = 20;
};

struct RequestResult {
  enum class Kind { kCompleted, kRejected, kTerminated, kNoAnswer };
  Kind kind = Kind::kNoAnswer;
  Nanos retry_after = 0;
  int tries = 0;
  std::string last_node;         // address
  bool connection_lost = false;  // some try was read by a server and its connection ended with no answer
  std::string connection_lost_server;  // that server's address
};

class Proxy {
 public:
  using Set = std::function<std::shared_ptr<const AppliedSet>()>;
  Proxy(net::Loop& loop, service::Logger& log, Set set, int number, std::uint32_t seed);
  ~Proxy();
  void send(Request request, std::function<void(const RequestResult&)> ended);
  std::size_t in_flight() const { return tries_.size(); }

 private:
  struct Going;
  class Try;
  // What the routes say of an request.
  struct Chosen {
    const envoy::config::route::v3::Route* route = nullptr;
    std::string cluster;
  };
  Chosen choose(const AppliedSet& set, const Request& request);
  std::string pick(const AppliedSet& set, const std::string& cluster, const std::string& key,
                   const std::set<std::string>& not_these);
  void next_try(const std::shared_ptr<Going>& going);
  void tried(const std::shared_ptr<Going>& going, RequestResult::Kind kind, bool never_sent, bool late,
             Nanos retry_after);
  bool matches(const std::string& pattern, const std::string& key);

  net::Loop& loop_;
  service::Logger& log_;
  Set set_;
  int number_;
  std::mt19937 random_;
  std::list<std::unique_ptr<Try>> tries_;
  std::map<std::string, int> in_flight_;  // of each cluster
  int retries_ = 0;                       // in flight
  std::map<std::string, std::regex> patterns_;
};

// The endpoint that a key's place on the ring belongs to. Weights are shares of the points.
std::string pick_ring_endpoint(const envoy::config::endpoint::v3::ClusterLoadAssignment& endpoints,
                               const std::string& key, const std::set<std::string>& not_these);

}  // namespace myrtlecroft::standin
