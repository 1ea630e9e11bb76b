// xDS clients of callers that use the session table of one control instance directly, without a network. Each
// client subscribes, ACKs every response and counts the bytes that the response would have on the wire.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "xds/session_table.h"

namespace myrtlecroft::capacity {

// Responses that callers received, with their encoded size.
struct Traffic {
  double bytes = 0;
  std::size_t responses = 0;
};

// Not thread-safe. Throws std::runtime_error when the session table ends a stream.
class CallerPool {
 public:
  // The clusters that each caller subscribes to: all of them, or some by name.
  struct Wants {
    xds::ProtocolVariant variant = xds::ProtocolVariant::kStateOfTheWorld;
    std::vector<std::string> clusters;  // empty: all
  };
  CallerPool(xds::SessionTable& table, Wants wants) : table_(table), wants_(std::move(wants)) {}

  // Adds callers; on return each has received its complete resource set.
  Traffic connect(std::size_t callers);
  // Closes all streams at once.
  void disconnect();
  // Receives and ACKs all pending responses of every caller.
  Traffic take_all();
  std::size_t size() const { return callers_.size(); }
  // Allocates the callers' own memory in advance, so that it isn't counted as memory of the sessions.
  void reserve(std::size_t callers) { callers_.reserve(callers); }

 private:
  using Names = std::shared_ptr<const std::vector<std::string>>;
  struct Caller {
    xds::StreamId stream = 0;
    std::size_t number = 0;
    Names endpoints;  // names it subscribed to
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
