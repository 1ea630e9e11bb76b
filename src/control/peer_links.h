// What instances say to each other, over gRPC: one call from each to each other that stays open. What is lost
// with one is said again by whoever needs it. Nothing is decided here.
#pragma once

#include <grpcpp/grpcpp.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "consensus.grpc.pb.h"
#include "consensus/raft_node.h"
#include "net/loop.h"

namespace myrtlecroft::control {

class PeerLinks final : public consensus::Transport {
 public:
  using FrameHandlers = std::function<void(const consensus::PeerMessage&)>;
  // Listens at `address` ("127.0.0.1:7401"). `came` is called from the loop. Throws std::runtime_error.
  // `reach`: where an instance is reached from here, where that is not the address all know it by.
  PeerLinks(net::Loop& loop, const std::string& address, std::map<consensus::InstanceId, std::string> reach,
            FrameHandlers came);
  ~PeerLinks() override;

  // Beyond what a link takes, the oldest that waits is left out.
  void send(const consensus::PeerMessage& message, const std::string& address) override;
  int port() const { return port_; }
  std::uint64_t left_out() const;  // messages that a link did not take

 private:
  class Service;
  class Listening;
  class Telling;
  struct Link;

  void take();
  void push(consensus::PeerMessage message);
  static void open(const std::shared_ptr<Link>& link);

  FrameHandlers came_;
  std::map<consensus::InstanceId, std::string> reach_;
  mutable std::mutex mutex_;
  std::deque<consensus::PeerMessage> inbox_;
  std::uint64_t left_out_ = 0;
  net::CrossThreadWakeup wake_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::unique_ptr<Service> service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace myrtlecroft::control
