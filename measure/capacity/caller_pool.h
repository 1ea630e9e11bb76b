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
  struct Subscription {
    xds::ProtocolVariant variant = xds::ProtocolVariant::kStateOfTheWorld;
    std::vector<std::string> clusters;  // empty: all
  };
  CallerPool(xds::SessionTable& table, Subscription subscription)
      : table_(table), subscription_(std::move(subscription)) {}

  // Adds callers; on return each has received its complete resource set.
  Traffic connect(std::size_t callers);
  // Closes all streams at once.
  void disconnect();
  // Receives and ACKs all pending responses of every caller.
  Traffic receive_all();
  std::size_t size() const { return callers_.size(); }
  // Allocates the callers' own memory in advance, so that it isn't counted as memory of the sessions.
  void reserve(std::size_t callers) { callers_.reserve(callers); }

 private:
  using SharedNames = std::shared_ptr<const std::vector<std::string>>;
  struct Caller {
    xds::StreamId stream = 0;
    std::size_t number = 0;
    SharedNames endpoints;  // names it subscribed to
    bool routes = false;
  };
  void receive(Caller& caller, Traffic& traffic);
  void accept(Caller& caller, const xds::Response& response);
  void subscribe_to_endpoints(Caller& caller, const xds::Response& clusters);
  void subscribe_by_name(Caller& caller, xds::ResourceType type, const std::vector<std::string>& names);
  void send_request(const Caller& caller, const xds::Request& request);
  SharedNames share_names(const std::vector<std::string>& names);

  xds::SessionTable& table_;
  Subscription subscription_;
  std::vector<Caller> callers_;
  SharedNames last_names_;
  std::string listener_;
  std::size_t streams_opened_ = 0;
  Nanos now_ = 1000 * kSecond;
};

}  // namespace myrtlecroft::capacity
