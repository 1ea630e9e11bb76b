#include "control/discovery_service.h"

#include <chrono>
#include <utility>

#include "xds/wire.h"

namespace myrtlecroft::control {
namespace {

namespace discovery = envoy::service::discovery::v3;
using grpc::ByteBuffer;

constexpr const char* kMalformedRequest = "a request makes no sense";        // sent to the proxy
constexpr const char* kNamelessRequest = "the first request names no node";  // sent to the proxy

Nanos steady_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Refers to the bytes of a resource, and keeps it alive until the last write of them is done.
grpc::Slice shared_slice(const xds::ResourcePtr& resource, xds::ProtocolVariant variant) {
  const std::string& bytes = xds::encoded_resource(*resource, variant);
  return grpc::Slice(
      const_cast<char*>(bytes.data()), bytes.size(),
      [](void* owner) { delete static_cast<xds::ResourcePtr*>(owner); }, new xds::ResourcePtr(resource));
}

}  // namespace

class DiscoveryService::Stream final : public grpc::ServerBidiReactor<ByteBuffer, ByteBuffer> {
 public:
  Stream(DiscoveryService& service, xds::ProtocolVariant variant, const std::string& peer)
      : service_(service), form_(variant) {
    std::lock_guard lock(service_.mutex_);
    ++service_.changes_;
    id_ = service_.table_.open(variant, peer);
    service_.streams_[id_] = this;
    StartRead(&in_);
  }

  // With the service's mutex locked.
  void write_next() {
    if (writing_ || ending_) return;
    auto response = service_.table_.next(id_);
    if (!response) return;
    std::vector<grpc::Slice> slices;
    slices.reserve(response->resources.size() + 1);
    slices.emplace_back(xds::encode_response_header(*response, form_));
    for (const xds::ResourcePtr& resource : response->resources)
      slices.push_back(shared_slice(resource, form_));
    out_ = ByteBuffer(slices.data(), slices.size());
    writing_ = true;
    StartWrite(&out_);
  }

  void OnReadDone(bool ok) override {
    std::lock_guard lock(service_.mutex_);
    if (!ok) {
      end(grpc::Status::OK);
      return;
    }
    if (ending_) return;
    grpc::Slice bytes;
    xds::ParsedRequest read;
    if (!in_.DumpToSingleSlice(&bytes).ok() || !xds::read_request(form_, bytes.begin(), bytes.size(), read)) {
      fail(grpc::StatusCode::INVALID_ARGUMENT, {.sent = kMalformedRequest, .logged = "malformed request"});
      return;
    }
    if (read.request && !handle(read)) return;
    StartRead(&in_);
  }

  void OnWriteDone(bool ok) override {
    std::lock_guard lock(service_.mutex_);
    writing_ = false;
    if (ok) write_next();
  }

  void OnCancel() override {
    std::lock_guard lock(service_.mutex_);
    end(grpc::Status::CANCELLED);
  }

  void OnDone() override {
    {
      std::lock_guard lock(service_.mutex_);
      ++service_.changes_;
      service_.table_.close(id_, steady_now());
      service_.streams_.erase(id_);
    }
    delete this;
  }

 private:
  struct Reason {
    std::string sent;  // to the proxy, as the status's message
    std::string logged;
  };

  // False where the stream was ended for it.
  bool handle(const xds::ParsedRequest& read) {
    named_ = named_ || !read.node.empty();
    if (!named_) {
      fail(grpc::StatusCode::INVALID_ARGUMENT,
           {.sent = kNamelessRequest, .logged = "the first request has no node id"});
      return false;
    }
    ++service_.changes_;
    xds::StreamError fault = service_.table_.request(id_, read.node, read.zone, *read.request, steady_now());
    if (fault != xds::StreamError::kNone) {
      fail(grpc::StatusCode::RESOURCE_EXHAUSTED,
           {.sent = xds::name_of(fault), .logged = xds::name_of(fault)});
      return false;
    }
    write_next();
    return true;
  }
  void end(const grpc::Status& status) {
    if (std::exchange(ending_, true)) return;
    Finish(status);
  }
  void fail(grpc::StatusCode code, const Reason& reason) {
    service_.log_("xDS stream " + std::to_string(id_) + " closed: " + reason.logged);
    end(grpc::Status(code, reason.sent));
  }

  DiscoveryService& service_;
  xds::ProtocolVariant form_;
  xds::StreamId id_ = 0;
  ByteBuffer in_;
  ByteBuffer out_;
  bool writing_ = false;
  bool ending_ = false;
  bool named_ = false;
};

class DiscoveryService::Adapter final
    : public discovery::AggregatedDiscoveryService::WithRawCallbackMethod_StreamAggregatedResources<
          discovery::AggregatedDiscoveryService::WithRawCallbackMethod_DeltaAggregatedResources<
              discovery::AggregatedDiscoveryService::Service>> {
 public:
  explicit Adapter(DiscoveryService& service) : service_(service) {}
  grpc::ServerBidiReactor<ByteBuffer, ByteBuffer>* StreamAggregatedResources(
      grpc::CallbackServerContext* context) override {
    return new Stream(service_, xds::ProtocolVariant::kStateOfTheWorld, context->peer());
  }
  grpc::ServerBidiReactor<ByteBuffer, ByteBuffer>* DeltaAggregatedResources(
      grpc::CallbackServerContext* context) override {
    return new Stream(service_, xds::ProtocolVariant::kDelta, context->peer());
  }

 private:
  DiscoveryService& service_;
};

DiscoveryService::DiscoveryService(Log log)
    : table_(log), log_(std::move(log)), adapter_(std::make_unique<Adapter>(*this)) {}
DiscoveryService::~DiscoveryService() = default;

grpc::Service& DiscoveryService::service() { return *adapter_; }

// With the mutex locked.
void DiscoveryService::write_to_all() {
  for (auto& [id, stream] : streams_) stream->write_next();
}

void DiscoveryService::publish(std::shared_ptr<const xds::ResourceSet> set) {
  std::lock_guard lock(mutex_);
  table_.publish(std::move(set));
  write_to_all();
}

void DiscoveryService::gate(xds::SessionTable::Gate gate) {
  std::lock_guard lock(mutex_);
  table_.gate(std::move(gate), steady_now());
  write_to_all();
}

void DiscoveryService::extend_gate(Nanos fresh_until, std::shared_ptr<const xds::ResourceSet> closed) {
  std::lock_guard lock(mutex_);
  if (table_.extend_gate(fresh_until, std::move(closed), steady_now())) write_to_all();
}

std::uint64_t DiscoveryService::changes() const {
  std::lock_guard lock(mutex_);
  return changes_;
}

void DiscoveryService::restore_known(const std::vector<std::string>& proxies) {
  std::lock_guard lock(mutex_);
  table_.restore_proxies(proxies, steady_now());
}

std::vector<std::string> DiscoveryService::known_proxies() const {
  std::lock_guard lock(mutex_);
  return table_.known_proxies();
}

std::uint64_t DiscoveryService::applied_by_all(Nanos forget_after) {
  std::lock_guard lock(mutex_);
  return table_.applied_by_all(forget_after, steady_now());
}

std::vector<xds::ProxyView> DiscoveryService::view() {
  std::lock_guard lock(mutex_);
  return table_.view();
}

std::size_t DiscoveryService::disconnected() const {
  std::lock_guard lock(mutex_);
  return table_.disconnected_count();
}

}  // namespace myrtlecroft::control
