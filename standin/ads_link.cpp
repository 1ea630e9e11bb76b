#include "ads_link.h"

#include <utility>

namespace myrtlecroft::standin {

// Lives until gRPC is done with it.
class AdsLink::Stream final : public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer> {
 public:
  explicit Stream(AdsLink& link) : link_(link) {}

  // With the link's lock held.
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
    if (!read_out_) drop();  // no read will tell of the end
  }

  void OnReadInitialMetadataDone(bool ok) override { link_.connected_ = ok; }

  // The next answer is asked for when this one has been told: told from two threads, an older set could come
  // after a newer one.
  void OnReadDone(bool ok) override {
    std::shared_ptr<const AppliedSet> applied;
    {
      std::lock_guard lock(link_.mutex_);
      if (!ok) return stop_reading();
      grpc::Slice bytes;
      if (!in_.DumpToSingleSlice(&bytes).ok()) {
        read_out_ = false;
        return;
      }
      auto before = link_.client_.applied();
      for (std::string& reply : link_.client_.handle_response(std::string(bytes.begin(), bytes.end()))) {
        queue_.push_back(std::move(reply));
      }
      write_next();
      if (link_.client_.applied() != before) applied = link_.client_.applied();
    }
    if (applied && link_.told_) link_.told_(*applied);
    std::lock_guard lock(link_.mutex_);
    if (link_.reading_) {
      StartRead(&in_);
      return;
    }
    read_out_ = false;
    if (cancelled_) drop();
  }

  void OnWriteDone(bool ok) override {
    std::lock_guard lock(link_.mutex_);
    writing_ = false;
    if (ok) write_next();
  }

  void OnDone(const grpc::Status&) override {
    AdsLink& link = link_;
    delete this;
    link.ended();
  }

 private:
  void write_next() {
    if (writing_ || queue_.empty() || dropped_) return;
    grpc::Slice bytes(queue_.front());
    queue_.pop_front();
    out_ = grpc::ByteBuffer(&bytes, 1);
    writing_ = true;
    StartWrite(&out_);
  }
  void stop_reading() {
    read_out_ = false;
    drop();
  }
  void drop() {
    if (!std::exchange(dropped_, true)) RemoveHold();
  }

  AdsLink& link_;
  grpc::ClientContext context_;
  grpc::ByteBuffer in_;
  grpc::ByteBuffer out_;
  std::deque<std::string> queue_;
  bool read_out_ = true;
  bool writing_ = false;
  bool cancelled_ = false;
  bool dropped_ = false;
};

AdsLink::AdsLink(const std::string& target, bool delta, const std::string& id, Applied applied,
                 std::shared_ptr<ParsedResourceCache> bodies, std::vector<std::string> services,
                 int connect_within_ms)
    : method_(std::string("/envoy.service.discovery.v3.AggregatedDiscoveryService/") +
              (delta ? "DeltaAggregatedResources" : "StreamAggregatedResources")),
      told_(std::move(applied)),
      client_(delta, id, "a", std::move(bodies), std::move(services)) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // a connection of its own
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connect_within_ms);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 250);
  arguments.SetMaxReceiveMessageSize(64 << 20);
  // A stream that ends is opened anew here, with all that it asks for. Where gRPC starts one again by itself,
  // as the server was killed before it answered, requests after those it had sent already were seen to stay
  // behind.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  channel_ = grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), arguments);
  stub_ = std::make_unique<grpc::GenericStub>(channel_);
  open();
}

AdsLink::~AdsLink() {
  std::unique_lock lock(mutex_);
  closing_ = true;
  if (stream_) stream_->cancel();
  over_.wait(lock, [this] { return stream_ == nullptr; });
}

void AdsLink::open() {
  std::lock_guard lock(mutex_);
  stream_ = new Stream(*this);
  stream_->begin();
}

void AdsLink::ended() {
  connected_ = false;
  {
    std::lock_guard lock(mutex_);
    stream_ = nullptr;
    if (closing_) {
      over_.notify_all();
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

void AdsLink::nack_matching(std::optional<std::string> part) {
  std::lock_guard lock(mutex_);
  client_.nack_matching(std::move(part));
}

}  // namespace myrtlecroft::standin
