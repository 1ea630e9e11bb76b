#include "control/discovery_service.h"

#include <atomic>
#include <chrono>
#include <utility>

#include "xds/wire.h"

namespace myrtlecroft::control {
namespace {

namespace discovery = envoy::service::discovery::v3;
namespace load_stats = envoy::service::load_stats::v3;
using grpc::ByteBuffer;

constexpr std::int64_t kLoadInterval = 1;  // seconds between load reports
constexpr std::size_t kMaxTold = 20'000;  // servers or endpoints that load reports may name between two looks

Nanos steady_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Bytes of a resource that stay where they are until the last write of them is done.
grpc::Slice shared_slice(const xds::ResourcePtr& resource, xds::Form form) {
  const std::string& bytes = xds::body_of(*resource, form);
  return grpc::Slice(
      const_cast<char*>(bytes.data()), bytes.size(),
      [](void* kept) { delete static_cast<xds::ResourcePtr*>(kept); }, new xds::ResourcePtr(resource));
}

}  // namespace

class DiscoveryService::Stream final : public grpc::ServerBidiReactor<ByteBuffer, ByteBuffer> {
 public:
  Stream(DiscoveryService& service, xds::Form form, const std::string& peer)
      : service_(service), form_(form) {
    std::lock_guard lock(service_.mutex_);
    ++service_.changes_;
    id_ = service_.table_.open(form, peer);
    service_.streams_[id_] = this;
    StartRead(&in_);
  }

  // With the lock held.
  void write_next() {
    if (writing_ || ending_) return;
    auto response = service_.table_.next(id_);
    if (!response) return;
    std::vector<grpc::Slice> slices;
    slices.reserve(response->resources.size() + 1);
    slices.emplace_back(xds::head_of(*response, form_));
    for (const xds::ResourcePtr& resource : response->resources)
      slices.push_back(shared_slice(resource, form_));
    out_ = ByteBuffer(slices.data(), slices.size());
    writing_ = true;
    StartWrite(&out_);
  }

  void OnReadDone(bool ok) override {
    std::lock_guard lock(service_.mutex_);
    if (!ok) return end(grpc::Status::OK);
    if (ending_) return;
    grpc::Slice bytes;
    xds::ReadRequest read;
    if (!in_.DumpToSingleSlice(&bytes).ok() || !xds::read_request(form_, bytes.begin(), bytes.size(), read)) {
      return fail(grpc::StatusCode::INVALID_ARGUMENT, "a request makes no sense");
    }
    if (read.request) {
      named_ = named_ || !read.node.empty();
      if (!named_) return fail(grpc::StatusCode::INVALID_ARGUMENT, "the first request names no node");
      ++service_.changes_;
      xds::Fault fault = service_.table_.request(id_, read.node, read.zone, *read.request, steady_now());
      if (fault != xds::Fault::kNone) return fail(grpc::StatusCode::RESOURCE_EXHAUSTED, xds::name_of(fault));
      write_next();
    }
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
  void end(const grpc::Status& status) {
    if (!std::exchange(ending_, true)) Finish(status);
  }
  void fail(grpc::StatusCode code, const std::string& reason) {
    service_.log_("stream " + std::to_string(id_) + " is ended: " + reason);
    end(grpc::Status(code, reason));
  }

  DiscoveryService& service_;
  xds::Form form_;
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
    return new Stream(service_, xds::Form::kStateOfTheWorld, context->peer());
  }
  grpc::ServerBidiReactor<ByteBuffer, ByteBuffer>* DeltaAggregatedResources(
      grpc::CallbackServerContext* context) override {
    return new Stream(service_, xds::Form::kDelta, context->peer());
  }

 private:
  DiscoveryService& service_;
};

DiscoveryService::DiscoveryService(Log log)
    : table_(log), log_(std::move(log)), adapter_(std::make_unique<Adapter>(*this)) {}
DiscoveryService::~DiscoveryService() = default;

grpc::Service& DiscoveryService::service() { return *adapter_; }

void DiscoveryService::publish(std::shared_ptr<const xds::ResourceSet> set) {
  std::lock_guard lock(mutex_);
  table_.publish(std::move(set));
  for (auto& [id, stream] : streams_) stream->write_next();
}

void DiscoveryService::gate(xds::SessionTable::Gate gate) {
  std::lock_guard lock(mutex_);
  table_.gate(std::move(gate), steady_now());
  for (auto& [id, stream] : streams_) stream->write_next();
}

void DiscoveryService::gate_stays(Nanos fresh_until, std::shared_ptr<const xds::ResourceSet> closed) {
  std::lock_guard lock(mutex_);
  if (!table_.gate_stays(fresh_until, std::move(closed), steady_now())) return;
  for (auto& [id, stream] : streams_) stream->write_next();
}

std::uint64_t DiscoveryService::changes() const {
  std::lock_guard lock(mutex_);
  return changes_;
}

void DiscoveryService::remember(const std::vector<std::string>& proxies) {
  std::lock_guard lock(mutex_);
  table_.remember(proxies, steady_now());
}

std::vector<std::string> DiscoveryService::known() const {
  std::lock_guard lock(mutex_);
  return table_.known();
}

std::uint64_t DiscoveryService::applied_by_all(Nanos forget_after) {
  std::lock_guard lock(mutex_);
  return table_.applied_by_all(forget_after, steady_now());
}

std::vector<xds::ProxyView> DiscoveryService::view() {
  std::lock_guard lock(mutex_);
  return table_.view();
}

std::size_t DiscoveryService::gone() const {
  std::lock_guard lock(mutex_);
  return table_.gone();
}

// ---- Load reports

class LoadService::Stream final
    : public grpc::ServerBidiReactor<load_stats::LoadStatsRequest, load_stats::LoadStatsResponse> {
 public:
  explicit Stream(LoadService& service) : service_(service) {
    answer_.set_send_all_clusters(true);
    answer_.set_report_endpoint_granularity(true);
    answer_.mutable_load_reporting_interval()->set_seconds(kLoadInterval);
    StartRead(&in_);
  }
  void OnReadDone(bool ok) override {
    if (!ok) return end();
    // The first request only opens the stream, and is answered with what we want to hear.
    if (!std::exchange(asked_, true)) StartWrite(&answer_);
    service_.add(in_);
    StartRead(&in_);
  }
  void OnCancel() override { end(); }
  void OnDone() override { delete this; }

 private:
  void end() {
    if (!ending_.exchange(true)) Finish(grpc::Status::OK);
  }
  LoadService& service_;
  load_stats::LoadStatsRequest in_;
  load_stats::LoadStatsResponse answer_;
  bool asked_ = false;
  std::atomic<bool> ending_ = false;
};

grpc::ServerBidiReactor<load_stats::LoadStatsRequest, load_stats::LoadStatsResponse>*
LoadService::StreamLoadStats(grpc::CallbackServerContext*) {
  return new Stream(*this);
}

void LoadService::add(const load_stats::LoadStatsRequest& request) {
  std::lock_guard lock(mutex_);
  auto note = [&](const std::string& node, const std::string& address, std::uint64_t issued,
                  std::uint64_t succeeded, std::uint64_t failed) {
    if (told_.size() >= kMaxTold && !told_.contains({node, address})) return;
    Told& told = told_[{node, address}];
    told.node = node;
    told.address = address;
    told.issued += issued;
    told.succeeded += succeeded;
    told.failed += failed;
  };
  for (const auto& cluster : request.cluster_stats()) {
    for (const auto& locality : cluster.upstream_locality_stats()) {
      if (!locality.locality().sub_zone().empty()) {
        note(locality.locality().sub_zone(), "", locality.total_issued_requests(),
             locality.total_successful_requests(), locality.total_error_requests());
        continue;
      }
      for (const auto& endpoint : locality.upstream_endpoint_stats()) {
        const auto& address = endpoint.address().socket_address();
        note("", address.address() + ":" + std::to_string(address.port_value()),
             endpoint.total_issued_requests(), endpoint.total_successful_requests(),
             endpoint.total_error_requests());
      }
    }
  }
}

std::vector<LoadService::Told> LoadService::take() {
  std::lock_guard lock(mutex_);
  std::vector<Told> out;
  for (auto& [key, told] : told_) out.push_back(std::move(told));
  told_.clear();
  return out;
}

}  // namespace myrtlecroft::control
