// Callers' proxies in this process, on the sessions of one instance and without a network: each subscribes,
// accepts all it is told, and counts its bytes as they would be written.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "xds/session_table.h"

namespace myrtlecroft::capacity {

struct Traffic {
  double bytes = 0;
  std::size_t responses = 0;
};

class CallerPool {
 public:
  // What a caller asks for: all clusters, or those of some services by name.
  struct Wants {
    xds::ProtocolVariant variant = xds::ProtocolVariant::kStateOfTheWorld;
    std::vector<std::string> clusters;  // empty: all
  };
  CallerPool(xds::SessionTable& table, Wants wants) : table_(table), wants_(std::move(wants)) {}

  // So many more; each has its whole set when it returns.
  Traffic connect(std::size_t callers);
  // All streams break at once.
  void disconnect();
  // Everything that is due to any of them, accepted by each.
  Traffic take_all();
  std::size_t size() const { return callers_.size(); }
  // So that what the callers here keep of their own does not count as the sessions'.
  void reserve(std::size_t callers) { callers_.reserve(callers); }

 private:
  using Names = std::shared_ptr<const std::vector<std::string>>;
  struct Caller {
    xds::StreamId stream = 0;
    std::size_t number = 0;
    Names endpoints;  // that it has asked for
    bool routes = false;
  };
  void take(Caller& caller, Traffic& traffic);
  void accept(Caller& caller, const xds::Response& response);
  void ask_for_endpoints(Caller& caller, const xds::Response& clusters);
  void ask_by_name(Caller& caller, xds::ResourceType type, const std::vector<std::string>& names);
  void say(const Caller& caller, const xds::Request& request);
  Names shared(const std::vector<std::string>& names);

  xds::SessionTable& table_;
  Wants wants_;
  std::vector<Caller> callers_;
  Names last_names_;
  std::string listener_;
  std::size_t opened_ = 0;
  Nanos now_ = 1000 * kSecond;
};

}  // namespace myrtlecroft::capacity
