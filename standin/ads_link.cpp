#include "ads_link.h"

#include <utility>

namespace myrtlecroft::standin {

// Deletes itself in OnDone().
class AdsLink::Stream final : public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer> {
 public:
  explicit Stream(AdsLink& link) : link_(link) {}

  // Call with link_.mutex_ held.
  void begin() {
    context_.set_wait_for_ready(true);
    grpc::StubOptions options;
    link_.stub_->PrepareBidiStreamingCall(&context_, link_.method_, options, this);
    for (std::string& bytes : link_.client_.open_stream()) queue_.push_back(std::move(bytes));
    AddHold();
    StartRead(&in_);
    write_next();
    StartCall();
  }
  void cancel() {
    context_.TryCancel();
    cancelled_ = true;
    if (!read_pending_) release_hold();  // no pending read will report the end of the stream
  }

  void OnReadInitialMetadataDone(bool ok) override { link_.connected_ = ok; }

  // Starts the next read only after `on_applied_` has returned: called from two threads, it could get an
  // older set after a newer one.
  void OnReadDone(bool ok) override {
    std::shared_ptr<const AppliedSet> applied;
    {
      std::lock_guard lock(link_.mutex_);
      if (!ok) return stop_reading();
      grpc::Slice bytes;
      if (!in_.DumpToSingleSlice(&bytes).ok()) {
        read_pending_ = false;
        return;
      }
      auto before = link_.client_.applied();
      for (std::string& reply : link_.client_.handle_response(std::string(bytes.begin(), bytes.end()))) {
        queue_.push_back(std::move(reply));
      }
      write_next();
      if (link_.client_.applied() != before) applied = link_.client_.applied();
    }
    if (applied && link_.on_applied_) link_.on_applied_(*applied);
    std::lock_guard lock(link_.mutex_);
    if (link_.reading_) {
      StartRead(&in_);
      return;
    }
    read_pending_ = false;
    if (cancelled_) release_hold();
  }

  void OnWriteDone(bool ok) override {
    std::lock_guard lock(link_.mutex_);
    writing_ = false;
    if (ok) write_next();
  }

  void OnDone(const grpc::Status&) override {
    AdsLink& link = link_;
    delete this;
    link.handle_stream_ended();
  }

 private:
  void write_next() {
    if (writing_ || queue_.empty() || hold_released_) return;
    grpc::Slice bytes(queue_.front());
    queue_.pop_front();
    out_ = grpc::ByteBuffer(&bytes, 1);
    writing_ = true;
    StartWrite(&out_);
  }
  void stop_reading() {
    read_pending_ = false;
    release_hold();
  }
  void release_hold() {
    if (!std::exchange(hold_released_, true)) RemoveHold();
  }

  AdsLink& link_;
  grpc::ClientContext context_;
  grpc::ByteBuffer in_;
  grpc::ByteBuffer out_;
  std::deque<std::string> queue_;
  bool read_pending_ = true;
  bool writing_ = false;
  bool cancelled_ = false;
  bool hold_released_ = false;
};

AdsLink::AdsLink(const std::string& target, bool delta, const std::string& id, Applied applied,
                 std::shared_ptr<ParsedResourceCache> bodies, std::vector<std::string> services,
                 int connect_within_ms)
    : method_(std::string("/envoy.service.discovery.v3.AggregatedDiscoveryService/") +
              (delta ? "DeltaAggregatedResources" : "StreamAggregatedResources")),
      on_applied_(std::move(applied)),
      client_(delta, id, "a", std::move(bodies), std::move(services)) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // one connection for each link
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connect_within_ms);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 250);
  arguments.SetMaxReceiveMessageSize(64 << 20);
  // This class reopens a stream that ended, with all of its subscriptions. gRPC's own retry, which starts
  // when the server is killed before it answers, was seen to resend only the requests sent so far and not the
  // later ones.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  channel_ = grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), arguments);
  stub_ = std::make_unique<grpc::GenericStub>(channel_);
  open();
}

AdsLink::~AdsLink() {
  std::unique_lock lock(mutex_);
  closing_ = true;
  if (stream_) stream_->cancel();
  stream_ended_.wait(lock, [this] { return stream_ == nullptr; });
}

void AdsLink::open() {
  std::lock_guard lock(mutex_);
  stream_ = new Stream(*this);
  stream_->begin();
}

void AdsLink::handle_stream_ended() {
  connected_ = false;
  {
    std::lock_guard lock(mutex_);
    stream_ = nullptr;
    if (closing_) {
      stream_ended_.notify_all();
      return;
    }
  }
  open();
}

void AdsLink::reset_stream() {
  std::lock_guard lock(mutex_);
  if (stream_) stream_->cancel();
}

std::shared_ptr<const AppliedSet> AdsLink::applied() const {
  std::lock_guard lock(mutex_);
  return client_.applied();
}

int AdsLink::half_applied() const {
  std::lock_guard lock(mutex_);
  return client_.half_applied();
}

std::string AdsLink::half_applied_last() const {
  std::lock_guard lock(mutex_);
  return client_.half_applied_last();
}

std::uint64_t AdsLink::bytes_in() const {
  std::lock_guard lock(mutex_);
  return client_.bytes_in();
}

void AdsLink::nack_matching(std::optional<std::string> name_part) {
  std::lock_guard lock(mutex_);
  client_.nack_matching(std::move(name_part));
}

}  // namespace myrtlecroft::standin
