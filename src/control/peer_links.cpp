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

constexpr std::size_t kMaxInboxMessages = 4'096;   // received messages not yet handled by the loop
constexpr std::size_t kMaxQueuedMessages = 512;    // unsent messages per link
constexpr std::size_t kMaxQueuedBytes = 16 << 20;  // unsent bytes per link
constexpr int kMaxMessageBytes = 32 << 20;
constexpr int kMinBackoffMs = 100;
constexpr int kMaxBackoffMs = 500;
constexpr auto kReopenDelay = std::chrono::milliseconds(100);  // after a call has ended
// A longer write means that the connection is dead, even if TCP has not detected it yet.
constexpr auto kWriteTimeout = std::chrono::milliseconds(2'000);

}  // namespace

// The link to one other replica. Shared with its calls, which may outlive PeerLinks.
struct PeerLinks::Link {
  std::mutex mutex;
  std::unique_ptr<consensus::Peers::Stub> stub;
  std::deque<PeerMessage> queue;
  std::size_t queued_bytes = 0;
  OutboundCall* call = nullptr;  // nullptr: no call is open
  Clock::time_point last_call_ended_at{};
  Clock::time_point write_started_at{};
  bool closing = false;
  std::uint64_t dropped = 0;
};

// The open call of a link. It writes one message at a time from the link's queue; OnDone deletes it.
class PeerLinks::OutboundCall final : public grpc::ClientWriteReactor<PeerMessage> {
 public:
  explicit OutboundCall(std::shared_ptr<Link> link) : link_(std::move(link)) {}
  // The methods before OnWriteDone require the link's mutex. Writes are started on the loop's thread as well
  // as in gRPC's callbacks; the hold prevents gRPC from calling OnDone in the meantime.
  void start() {
    link_->stub->async()->Tell(&context_, &acknowledgement_, this);
    AddHold();
    write_next();
    StartCall();
  }
  void write_next() {
    if (write_pending_ || hold_released_ || link_->queue.empty()) return;
    message_being_written_ = std::move(link_->queue.front());
    link_->queue.pop_front();
    link_->queued_bytes -= message_being_written_.ByteSizeLong();
    write_pending_ = true;
    link_->write_started_at = Clock::now();
    StartWrite(&message_being_written_);
  }
  bool is_stalled(Clock::time_point now) const {
    return write_pending_ && !hold_released_ && now - link_->write_started_at > kWriteTimeout;
  }
  void cancel() {
    context_.TryCancel();
    if (!write_pending_) release_hold();  // otherwise OnWriteDone releases it
  }

  void OnWriteDone(bool ok) override {
    std::lock_guard lock(link_->mutex);
    write_pending_ = false;
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
      link_->last_call_ended_at = Clock::now();
    }
    delete this;
  }

 private:
  void release_hold() {
    if (!std::exchange(hold_released_, true)) RemoveHold();
  }

  std::shared_ptr<Link> link_;
  grpc::ClientContext context_;
  Acknowledgement acknowledgement_;
  PeerMessage message_being_written_;
  bool write_pending_ = false;
  bool hold_released_ = false;
};

// A call from another replica. OnDone deletes it.
class PeerLinks::InboundCall final : public grpc::ServerReadReactor<PeerMessage> {
 public:
  explicit InboundCall(PeerLinks& links) : links_(links) { StartRead(&message_being_read_); }
  void OnReadDone(bool ok) override {
    if (!ok) {
      end();
      return;
    }
    links_.enqueue(std::move(message_being_read_));
    message_being_read_ = {};
    StartRead(&message_being_read_);
  }
  void OnCancel() override { end(); }
  void OnDone() override { delete this; }

 private:
  void end() {
    if (!finish_called_.exchange(true)) Finish(grpc::Status::OK);
  }
  PeerLinks& links_;
  PeerMessage message_being_read_;
  std::atomic<bool> finish_called_ = false;
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
                     std::map<consensus::ReplicaId, std::string> address_overrides, MessageHandler on_message)
    : on_message_(std::move(on_message)),
      address_overrides_(std::move(address_overrides)),
      inbox_wakeup_(loop.base(), [this] { deliver_inbox(); }),
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
    if (inbox_.size() >= kMaxInboxMessages) {
      inbox_.pop_front();
      ++dropped_;
    }
    inbox_.push_back(std::move(message));
  }
  inbox_wakeup_.notify();
}

void PeerLinks::deliver_inbox() {
  std::deque<PeerMessage> messages;
  {
    std::lock_guard lock(mutex_);
    messages.swap(inbox_);
  }
  for (const PeerMessage& message : messages) on_message_(message);
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

// Requires the link's mutex.
void PeerLinks::open_call(const std::shared_ptr<Link>& link) {
  if (link->closing || link->call || Clock::now() - link->last_call_ended_at < kReopenDelay) return;
  link->call = new OutboundCall(link);
  link->call->start();
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

// Requires the link's mutex.
void PeerLinks::enqueue(Link& link, const PeerMessage& message) {
  link.queued_bytes += message.ByteSizeLong();
  link.queue.push_back(message);
  while (link.queue.size() > kMaxQueuedMessages ||
         (link.queued_bytes > kMaxQueuedBytes && link.queue.size() > 1)) {
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
    open_call(link);
  } else if (link->call->is_stalled(Clock::now())) {
    link->call->cancel();
  } else {
    link->call->write_next();
  }
}

}  // namespace myrtlecroft::control
