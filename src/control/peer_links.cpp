#include "control/peer_links.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace myrtlecroft::control {
namespace {

using consensus::Acknowledgement;
using consensus::PeerMessage;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxInbox = 4'096;     // messages that the loop has not looked at
constexpr std::size_t kMaxWaiting = 512;     // messages of one link
constexpr std::size_t kMaxBytes = 16 << 20;  // of one link
constexpr int kLargestMessage = 32 << 20;
constexpr int kFirstBackoffMs = 100;
constexpr int kLastBackoffMs = 500;
constexpr auto kReopenAfter = std::chrono::milliseconds(100);  // a call that ended
constexpr auto kStuckAfter =
    std::chrono::milliseconds(2'000);  // a write that does not end: the link is dead, whatever TCP thinks

}  // namespace

// One other instance. Its calls may outlive us, so that they share it.
struct PeerLinks::Link {
  std::mutex mutex;
  std::unique_ptr<consensus::Peers::Stub> stub;
  std::deque<PeerMessage> waiting;
  std::size_t bytes = 0;
  Telling* telling = nullptr;  // the call that is open
  Clock::time_point ended_at{};
  Clock::time_point writing_since{};
  bool closing = false;
  std::uint64_t left_out = 0;
};

class PeerLinks::Telling final : public grpc::ClientWriteReactor<PeerMessage> {
 public:
  explicit Telling(std::shared_ptr<Link> link) : link_(std::move(link)) {}
  // With the link's lock held. Writes begin on the loop's thread too, not only where gRPC tells of something:
  // the hold keeps it from being done with us meanwhile.
  void begin() {
    link_->stub->async()->Tell(&context_, &taken_, this);
    AddHold();
    write_next();
    StartCall();
  }
  void write_next() {
    if (writing_ || dropped_ || link_->waiting.empty()) return;
    out_ = std::move(link_->waiting.front());
    link_->waiting.pop_front();
    link_->bytes -= out_.ByteSizeLong();
    writing_ = true;
    link_->writing_since = Clock::now();
    StartWrite(&out_);
  }
  bool stuck(Clock::time_point now) const {
    return writing_ && !dropped_ && now - link_->writing_since > kStuckAfter;
  }
  void cancel() {
    context_.TryCancel();
    if (!writing_) drop();  // else the write that is out tells of the end
  }

  void OnWriteDone(bool ok) override {
    std::lock_guard lock(link_->mutex);
    writing_ = false;
    ok ? write_next() : drop();
  }
  void OnDone(const grpc::Status&) override {
    {
      std::lock_guard lock(link_->mutex);
      link_->telling = nullptr;
      link_->ended_at = Clock::now();
    }
    delete this;
  }

 private:
  void drop() {
    if (!std::exchange(dropped_, true)) RemoveHold();
  }

  std::shared_ptr<Link> link_;
  grpc::ClientContext context_;
  Acknowledgement taken_;
  PeerMessage out_;
  bool writing_ = false;
  bool dropped_ = false;
};

class PeerLinks::Listening final : public grpc::ServerReadReactor<PeerMessage> {
 public:
  explicit Listening(PeerLinks& links) : links_(links) { StartRead(&in_); }
  void OnReadDone(bool ok) override {
    if (!ok) return end();
    links_.push(std::move(in_));
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
    return new Listening(links_);
  }

 private:
  PeerLinks& links_;
};

PeerLinks::PeerLinks(net::Loop& loop, const std::string& address,
                     std::map<consensus::InstanceId, std::string> reach, FrameHandlers came)
    : came_(std::move(came)),
      reach_(std::move(reach)),
      wake_(loop.base(), [this] { take(); }),
      service_(std::make_unique<Service>(*this)) {
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port_);
  builder.RegisterService(service_.get());
  builder.SetMaxReceiveMessageSize(kLargestMessage);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  server_ = builder.BuildAndStart();
  if (!server_ || port_ == 0) throw std::runtime_error("can't listen for other instances on " + address);
}

PeerLinks::~PeerLinks() {
  for (auto& [address, link] : links_) {
    std::lock_guard lock(link->mutex);
    link->closing = true;
    if (link->telling) link->telling->cancel();
  }
  server_->Shutdown(std::chrono::system_clock::now());
}

void PeerLinks::push(PeerMessage message) {
  {
    std::lock_guard lock(mutex_);
    if (inbox_.size() >= kMaxInbox) {
      inbox_.pop_front();
      ++left_out_;
    }
    inbox_.push_back(std::move(message));
  }
  wake_.fire();
}

void PeerLinks::take() {
  std::deque<PeerMessage> came;
  {
    std::lock_guard lock(mutex_);
    came.swap(inbox_);
  }
  for (const PeerMessage& message : came) came_(message);
}

std::uint64_t PeerLinks::left_out() const {
  std::uint64_t out = 0;
  for (const auto& [address, link] : links_) {
    std::lock_guard lock(link->mutex);
    out += link->left_out;
  }
  std::lock_guard lock(mutex_);
  return out + left_out_;
}

// With the link's lock held.
void PeerLinks::open(const std::shared_ptr<Link>& link) {
  if (link->closing || link->telling || Clock::now() - link->ended_at < kReopenAfter) return;
  link->telling = new Telling(link);
  link->telling->begin();
}

void PeerLinks::send(const PeerMessage& message, const std::string& known) {
  auto own = reach_.find(message.to());
  const std::string& address = own == reach_.end() ? known : own->second;
  std::shared_ptr<Link>& link = links_[address];
  if (!link) {
    link = std::make_shared<Link>();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kFirstBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kFirstBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kLastBackoffMs);
    arguments.SetMaxReceiveMessageSize(kLargestMessage);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    link->stub = consensus::Peers::NewStub(
        grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments));
  }
  std::lock_guard lock(link->mutex);
  link->bytes += message.ByteSizeLong();
  link->waiting.push_back(message);
  while (link->waiting.size() > kMaxWaiting || (link->bytes > kMaxBytes && link->waiting.size() > 1)) {
    link->bytes -= link->waiting.front().ByteSizeLong();
    link->waiting.pop_front();
    ++link->left_out;
  }
  if (!link->telling) return open(link);
  if (link->telling->stuck(Clock::now())) return link->telling->cancel();
  link->telling->write_next();
}

}  // namespace myrtlecroft::control
