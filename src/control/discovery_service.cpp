#include "control/discovery_service.h"

#include <chrono>
#include <utility>

#include "xds/wire.h"

namespace myrtlecroft::control {
namespace {

namespace discovery = envoy::service::discovery::v3;
using grpc::ByteBuffer;

constexpr const char* kMalformedRequest = "a request makes no sense";      // sent to the proxy
constexpr const char* kMissingNodeId = "the first request names no node";  // sent to the proxy

Nanos steady_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Refers to the bytes of a resource without a copy, and keeps the resource alive until the last write of
// them is done.
grpc::Slice shared_slice(const xds::ResourcePtr& resource, xds::ProtocolVariant variant) {
  const std::string& bytes = xds::encoded_resource(*resource, variant);
  return grpc::Slice(
      const_cast<char*>(bytes.data()), bytes.size(),
      [](void* owner) { delete static_cast<xds::ResourcePtr*>(owner); }, new xds::ResourcePtr(resource));
}

}  // namespace

// One xDS stream of a proxy. gRPC calls the On... methods on its threads; OnDone deletes the stream.
class DiscoveryService::Stream final : public grpc::ServerBidiReactor<ByteBuffer, ByteBuffer> {
 public:
  Stream(DiscoveryService& service, xds::ProtocolVariant variant, const std::string& peer)
      : service_(service), variant_(variant) {
    std::lock_guard lock(service_.mutex_);
    ++service_.changes_;
    id_ = service_.session_table_.open(variant, peer);
    service_.streams_[id_] = this;
    StartRead(&read_buffer_);
  }

  // Writes the stream's next response, if one is due and no write is pending. Requires the service's mutex.
  void write_next_response() {
    if (write_pending_ || finish_called_) return;
    auto response = service_.session_table_.next(id_);
    if (!response) return;
    std::vector<grpc::Slice> slices;
    slices.reserve(response->resources.size() + 1);
    slices.emplace_back(xds::encode_response_header(*response, variant_));
    for (const xds::ResourcePtr& resource : response->resources)
      slices.push_back(shared_slice(resource, variant_));
    write_buffer_ = ByteBuffer(slices.data(), slices.size());
    write_pending_ = true;
    StartWrite(&write_buffer_);
  }

  void OnReadDone(bool ok) override {
    std::lock_guard lock(service_.mutex_);
    if (!ok) {
      end(grpc::Status::OK);
      return;
    }
    if (finish_called_) return;
    grpc::Slice bytes;
    xds::ParsedRequest parsed;
    if (!read_buffer_.DumpToSingleSlice(&bytes).ok() ||
        !xds::read_request(variant_, bytes.begin(), bytes.size(), parsed)) {
      fail(grpc::StatusCode::INVALID_ARGUMENT,
           {.status_message = kMalformedRequest, .log_text = "malformed request"});
      return;
    }
    if (parsed.request && !handle(parsed)) return;
    StartRead(&read_buffer_);
  }

  void OnWriteDone(bool ok) override {
    std::lock_guard lock(service_.mutex_);
    write_pending_ = false;
    if (ok) write_next_response();
  }

  void OnCancel() override {
    std::lock_guard lock(service_.mutex_);
    end(grpc::Status::CANCELLED);
  }

  void OnDone() override {
    {
      std::lock_guard lock(service_.mutex_);
      ++service_.changes_;
      service_.session_table_.close(id_, steady_now());
      service_.streams_.erase(id_);
    }
    delete this;
  }

 private:
  struct Reason {
    std::string status_message;  // of the gRPC status that the proxy receives
    std::string log_text;
  };

  // Returns false if the request ended the stream.
  bool handle(const xds::ParsedRequest& parsed) {
    has_node_id_ = has_node_id_ || !parsed.node.empty();
    if (!has_node_id_) {
      fail(grpc::StatusCode::INVALID_ARGUMENT,
           {.status_message = kMissingNodeId, .log_text = "the first request has no node id"});
      return false;
    }
    ++service_.changes_;
    xds::StreamError error =
        service_.session_table_.request(id_, parsed.node, parsed.zone, *parsed.request, steady_now());
    if (error != xds::StreamError::kNone) {
      fail(grpc::StatusCode::RESOURCE_EXHAUSTED,
           {.status_message = xds::name_of(error), .log_text = xds::name_of(error)});
      return false;
    }
    write_next_response();
    return true;
  }
  void end(const grpc::Status& status) {
    if (std::exchange(finish_called_, true)) return;
    Finish(status);
  }
  void fail(grpc::StatusCode code, const Reason& reason) {
    service_.log_("xDS stream " + std::to_string(id_) + " closed: " + reason.log_text);
    end(grpc::Status(code, reason.status_message));
  }

  DiscoveryService& service_;
  xds::ProtocolVariant variant_;
  xds::StreamId id_ = 0;
  ByteBuffer read_buffer_;
  ByteBuffer write_buffer_;
  bool write_pending_ = false;
  bool finish_called_ = false;
  bool has_node_id_ = false;
};

// Connects the generated gRPC service to Stream, with requests and responses as raw bytes.
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

DiscoveryService::DiscoveryService(LogFunction log)
    : session_table_(log), log_(std::move(log)), adapter_(std::make_unique<Adapter>(*this)) {}
DiscoveryService::~DiscoveryService() = default;

grpc::Service& DiscoveryService::service() { return *adapter_; }

// Requires the mutex.
void DiscoveryService::write_to_all_streams() {
  for (auto& [id, stream] : streams_) stream->write_next_response();
}

void DiscoveryService::publish(std::shared_ptr<const xds::ResourceSet> set) {
  std::lock_guard lock(mutex_);
  session_table_.publish(std::move(set));
  write_to_all_streams();
}

void DiscoveryService::gate(xds::SessionTable::Gate gate) {
  std::lock_guard lock(mutex_);
  session_table_.gate(std::move(gate), steady_now());
  write_to_all_streams();
}

void DiscoveryService::extend_gate(Nanos fresh_until, std::shared_ptr<const xds::ResourceSet> closed) {
  std::lock_guard lock(mutex_);
  if (session_table_.extend_gate(fresh_until, std::move(closed), steady_now())) write_to_all_streams();
}

std::uint64_t DiscoveryService::changes() const {
  std::lock_guard lock(mutex_);
  return changes_;
}

void DiscoveryService::restore_known_proxies(const std::vector<std::string>& proxies) {
  std::lock_guard lock(mutex_);
  session_table_.restore_proxies(proxies, steady_now());
}

std::vector<std::string> DiscoveryService::known_proxies() const {
  std::lock_guard lock(mutex_);
  return session_table_.known_proxies();
}

std::uint64_t DiscoveryService::applied_by_all(Nanos disconnected_expiry) {
  std::lock_guard lock(mutex_);
  return session_table_.applied_by_all(disconnected_expiry, steady_now());
}

std::vector<xds::ProxyView> DiscoveryService::view() {
  std::lock_guard lock(mutex_);
  return session_table_.view();
}

std::size_t DiscoveryService::disconnected_count() const {
  std::lock_guard lock(mutex_);
  return session_table_.disconnected_count();
}

}  // namespace myrtlecroft::control
