// Raft messages between control replicas over gRPC: each replica keeps one client-streaming call open to each
// other. A message lost with a call is not sent again by this class. Owned by ReplicatedControl and used on
// the loop's thread; gRPC's threads read and write. Owns the listener and the calls.
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

// The transport of a RaftNode.
class PeerLinks final : public consensus::Transport {
 public:
  using MessageHandler = std::function<void(const consensus::PeerMessage&)>;
  // Listens at `address` ("127.0.0.1:7401"). `on_message` is called on the loop's thread. `address_overrides`
  // has the replicas that this one reaches at another address than the cluster knows. Throws ListenError.
  PeerLinks(net::Loop& loop, const std::string& address,
            std::map<consensus::ReplicaId, std::string> address_overrides, MessageHandler on_message);
  ~PeerLinks() override;

  // Queues the message. Above 512 messages or 16 MiB in the queue, the oldest messages are dropped.
  void send(const consensus::PeerMessage& message, const std::string& address) override;
  int port() const { return port_; }
  // Messages dropped since the start because a link's queue or the inbox was full.
  std::uint64_t dropped() const;

 private:
  class Service;
  class InboundCall;
  class OutboundCall;
  struct Link;

  void deliver_inbox();
  void enqueue(consensus::PeerMessage message);
  static std::shared_ptr<Link> make_link(const std::string& address);
  static void enqueue(Link& link, const consensus::PeerMessage& message);
  static void open_call(const std::shared_ptr<Link>& link);

  MessageHandler on_message_;
  std::map<consensus::ReplicaId, std::string> address_overrides_;
  mutable std::mutex mutex_;
  std::deque<consensus::PeerMessage> inbox_;
  std::uint64_t dropped_ = 0;  // messages dropped from the inbox
  net::CrossThreadWakeup inbox_wakeup_;
  std::map<std::string, std::shared_ptr<Link>> links_;  // by address
  std::unique_ptr<Service> service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace myrtlecroft::control
