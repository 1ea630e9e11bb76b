// Messages between control replicas over gRPC: from each to each other one call that stays open. A message
// that is lost with a call is not sent again from here. Owned by ReplicatedControl; used on the loop's
// thread, while gRPC's threads write and read. Owns the listener and the calls.
#pragma once

#include <grpcpp/grpcpp.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "consensus.grpc.pb.h"
#include "consensus/raft_node.h"
#include "net/loop.h"

namespace myrtlecroft::control {

class PeerLinks final : public consensus::Transport {
 public:
  using MessageHandler = std::function<void(const consensus::PeerMessage&)>;
  // Listens at `address` ("127.0.0.1:7401"). `received` is called on the loop's thread. `address_overrides`:
  // where a replica is reached from here, where that is not the address the cluster knows. Throws
  // ListenError.
  PeerLinks(net::Loop& loop, const std::string& address,
            std::map<consensus::ReplicaId, std::string> address_overrides, MessageHandler received);
  ~PeerLinks() override;

  // Queues the message. Beyond the queue's bounds the oldest ones are dropped.
  void send(const consensus::PeerMessage& message, const std::string& address) override;
  int port() const { return port_; }
  // Messages dropped since the start, because a link or the loop did not take them.
  std::uint64_t dropped() const;

 private:
  class Service;
  class InboundCall;
  class OutboundCall;
  struct Link;

  void deliver();
  void enqueue(consensus::PeerMessage message);
  static std::shared_ptr<Link> make_link(const std::string& address);
  static void enqueue(Link& link, const consensus::PeerMessage& message);
  static void open(const std::shared_ptr<Link>& link);

  MessageHandler received_;
  std::map<consensus::ReplicaId, std::string> address_overrides_;
  mutable std::mutex mutex_;
  std::deque<consensus::PeerMessage> inbox_;
  std::uint64_t dropped_ = 0;  // from the inbox
  net::CrossThreadWakeup inbox_wakeup_;
  std::map<std::string, std::shared_ptr<Link>> links_;  // by address
  std::unique_ptr<Service> service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace myrtlecroft::control
