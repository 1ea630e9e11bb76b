#include "control/peer_links.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "control/listen_error.h"

namespace myrtlecroft::control {
namespace {

using consensus::Acknowledgement;
using consensus::PeerMessage;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxInbox = 4'096;           // messages that the loop has not handled
constexpr std::size_t kMaxQueued = 512;            // messages of one link
constexpr std::size_t kMaxQueuedBytes = 16 << 20;  // of one link
constexpr int kMaxMessageBytes = 32 << 20;
constexpr int kMinBackoffMs = 100;
constexpr int kMaxBackoffMs = 500;
constexpr auto kReopenDelay = std::chrono::milliseconds(100);  // a call that ended
// A write that takes longer: the link is taken for dead, though TCP has not noticed.
constexpr auto kWriteTimeout = std::chrono::milliseconds(2'000);

}  // namespace

// One other replica. Its calls may outlive the PeerLinks, so that they share it.
struct PeerLinks::Link {
  std::mutex mutex;
  std::unique_ptr<consensus::Peers::Stub> stub;
  std::deque<PeerMessage> queue;
  std::size_t queued_bytes = 0;
  OutboundCall* call = nullptr;  // that is open
  Clock::time_point ended_at{};
  Clock::time_point writing_since{};
  bool closing = false;
  std::uint64_t dropped = 0;
};

class PeerLinks::OutboundCall final : public grpc::ClientWriteReactor<PeerMessage> {
 public:
  explicit OutboundCall(std::shared_ptr<Link> link) : link_(std::move(link)) {}
  // With the link's mutex locked. Writes begin on the loop's thread too, not only in gRPC's callbacks: the
  // hold keeps OnDone from being called meanwhile.
  void begin() {
    link_->stub->async()->Tell(&context_, &acknowledgement_, this);
    AddHold();
    write_next();
    StartCall();
  }
  void write_next() {
    if (writing_ || released_ || link_->queue.empty()) return;
    out_ = std::move(link_->queue.front());
    link_->queue.pop_front();
    link_->queued_bytes -= out_.ByteSizeLong();
    writing_ = true;
    link_->writing_since = Clock::now();
    StartWrite(&out_);
  }
  bool is_stalled(Clock::time_point now) const {
    return writing_ && !released_ && now - link_->writing_since > kWriteTimeout;
  }
  void cancel() {
    context_.TryCancel();
    if (!writing_) release_hold();  // else OnWriteDone does
  }

  void OnWriteDone(bool ok) override {
    std::lock_guard lock(link_->mutex);
    writing_ = false;
    if (ok) {
      write_next();
    } else {
      release_hold();
    }
  }
  void OnDone(const grpc::Status&) override {
    {
      std::lock_guard lock(link_->mutex);
      link_->call = nullptr;
      link_->ended_at = Clock::now();
    }
    delete this;
  }

 private:
  void release_hold() {
    if (!std::exchange(released_, true)) RemoveHold();
  }

  std::shared_ptr<Link> link_;
  grpc::ClientContext context_;
  Acknowledgement acknowledgement_;
  PeerMessage out_;
  bool writing_ = false;
  bool released_ = false;
};

class PeerLinks::InboundCall final : public grpc::ServerReadReactor<PeerMessage> {
 public:
  explicit InboundCall(PeerLinks& links) : links_(links) { StartRead(&in_); }
  void OnReadDone(bool ok) override {
    if (!ok) {
      end();
      return;
    }
    links_.enqueue(std::move(in_));
    in_ = {};
    StartRead(&in_);
  }
  void OnCancel() override { end(); }
  void OnDone() override { delete this; }

 private:
  void end() {
    if (!ending_.exchange(true)) Finish(grpc::Status::OK);
  }
  PeerLinks& links_;
  PeerMessage in_;
  std::atomic<bool> ending_ = false;
};

class PeerLinks::Service final : public consensus::Peers::CallbackService {
 public:
  explicit Service(PeerLinks& links) : links_(links) {}
  grpc::ServerReadReactor<PeerMessage>* Tell(grpc::CallbackServerContext*, Acknowledgement*) override {
    return new InboundCall(links_);
  }

 private:
  PeerLinks& links_;
};

PeerLinks::PeerLinks(net::Loop& loop, const std::string& address,
                     std::map<consensus::ReplicaId, std::string> address_overrides, MessageHandler received)
    : received_(std::move(received)),
      address_overrides_(std::move(address_overrides)),
      inbox_wakeup_(loop.base(), [this] { deliver(); }),
      service_(std::make_unique<Service>(*this)) {
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port_);
  builder.RegisterService(service_.get());
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  server_ = builder.BuildAndStart();
  if (!server_ || port_ == 0) throw ListenError("other instances", address);
}

PeerLinks::~PeerLinks() {
  for (auto& [address, link] : links_) {
    std::lock_guard lock(link->mutex);
    link->closing = true;
    if (link->call) link->call->cancel();
  }
  server_->Shutdown(std::chrono::system_clock::now());
}

void PeerLinks::enqueue(PeerMessage message) {
  {
    std::lock_guard lock(mutex_);
    if (inbox_.size() >= kMaxInbox) {
      inbox_.pop_front();
      ++dropped_;
    }
    inbox_.push_back(std::move(message));
  }
  inbox_wakeup_.notify();
}

void PeerLinks::deliver() {
  std::deque<PeerMessage> messages;
  {
    std::lock_guard lock(mutex_);
    messages.swap(inbox_);
  }
  for (const PeerMessage& message : messages) received_(message);
}

std::uint64_t PeerLinks::dropped() const {
  std::uint64_t out = 0;
  for (const auto& [address, link] : links_) {
    std::lock_guard lock(link->mutex);
    out += link->dropped;
  }
  std::lock_guard lock(mutex_);
  return out + dropped_;
}

// With the link's mutex locked.
void PeerLinks::open(const std::shared_ptr<Link>& link) {
  if (link->closing || link->call || Clock::now() - link->ended_at < kReopenDelay) return;
  link->call = new OutboundCall(link);
  link->call->begin();
}

std::shared_ptr<PeerLinks::Link> PeerLinks::make_link(const std::string& address) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  auto link = std::make_shared<Link>();
  link->stub = consensus::Peers::NewStub(
      grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments));
  return link;
}

// With the link's mutex locked.
void PeerLinks::enqueue(Link& link, const PeerMessage& message) {
  link.queued_bytes += message.ByteSizeLong();
  link.queue.push_back(message);
  while (link.queue.size() > kMaxQueued || (link.queued_bytes > kMaxQueuedBytes && link.queue.size() > 1)) {
    link.queued_bytes -= link.queue.front().ByteSizeLong();
    link.queue.pop_front();
    ++link.dropped;
  }
}

void PeerLinks::send(const PeerMessage& message, const std::string& address) {
  auto overridden = address_overrides_.find(message.to());
  const std::string& target = overridden == address_overrides_.end() ? address : overridden->second;
  std::shared_ptr<Link>& link = links_[target];
  if (!link) link = make_link(target);
  std::lock_guard lock(link->mutex);
  enqueue(*link, message);
  if (!link->call) {
    open(link);
  } else if (link->call->is_stalled(Clock::now())) {
    link->call->cancel();
  } else {
    link->call->write_next();
  }
}

}  // namespace myrtlecroft::control
