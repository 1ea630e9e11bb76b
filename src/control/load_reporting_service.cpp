#include "control/load_reporting_service.h"

#include <atomic>

namespace myrtlecroft::control {
namespace {

namespace load_stats = envoy::service::load_stats::v3;

constexpr std::int64_t kReportIntervalSeconds = 1;
constexpr std::size_t kMaxLoads = 20'000;  // servers and endpoints held between two calls of take_loads()

}  // namespace

// One load reporting stream of a proxy. gRPC calls the On... methods; OnDone deletes the stream.
class LoadReportingService::Stream final
    : public grpc::ServerBidiReactor<load_stats::LoadStatsRequest, load_stats::LoadStatsResponse> {
 public:
  explicit Stream(LoadReportingService& service) : service_(service) {
    response_.set_send_all_clusters(true);
    response_.set_report_endpoint_granularity(true);
    response_.mutable_load_reporting_interval()->set_seconds(kReportIntervalSeconds);
    StartRead(&request_);
  }
  void OnReadDone(bool ok) override {
    if (!ok) {
      end();
      return;
    }
    // The first request only opens the stream. The response says what to report and how often.
    if (!response_sent_) StartWrite(&response_);
    response_sent_ = true;
    service_.add(request_);
    StartRead(&request_);
  }
  void OnCancel() override { end(); }
  void OnDone() override { delete this; }

 private:
  void end() {
    if (!finish_called_.exchange(true)) Finish(grpc::Status::OK);
  }
  LoadReportingService& service_;
  load_stats::LoadStatsRequest request_;
  load_stats::LoadStatsResponse response_;
  bool response_sent_ = false;
  std::atomic<bool> finish_called_ = false;
};

grpc::ServerBidiReactor<load_stats::LoadStatsRequest, load_stats::LoadStatsResponse>*
LoadReportingService::StreamLoadStats(grpc::CallbackServerContext*) {
  return new Stream(*this);
}

void LoadReportingService::add(const ProxyLoad& load) {
  auto found = loads_.find({load.node, load.address});
  if (found == loads_.end()) {
    if (loads_.size() < kMaxLoads) loads_[{load.node, load.address}] = load;
    return;
  }
  found->second.issued += load.issued;
  found->second.succeeded += load.succeeded;
  found->second.failed += load.failed;
}

void LoadReportingService::add(const load_stats::LoadStatsRequest& request) {
  std::lock_guard lock(mutex_);
  for (const auto& cluster : request.cluster_stats()) {
    for (const auto& locality : cluster.upstream_locality_stats()) {
      if (!locality.locality().sub_zone().empty()) {
        add({.node = locality.locality().sub_zone(),
             .address = "",
             .issued = locality.total_issued_requests(),
             .succeeded = locality.total_successful_requests(),
             .failed = locality.total_error_requests()});
        continue;
      }
      for (const auto& endpoint : locality.upstream_endpoint_stats()) {
        const auto& address = endpoint.address().socket_address();
        add({.node = "",
             .address = address.address() + ":" + std::to_string(address.port_value()),
             .issued = endpoint.total_issued_requests(),
             .succeeded = endpoint.total_successful_requests(),
             .failed = endpoint.total_error_requests()});
      }
    }
  }
}

std::vector<ProxyLoad> LoadReportingService::take_loads() {
  std::lock_guard lock(mutex_);
  std::vector<ProxyLoad> out;
  for (auto& [key, load] : loads_) out.push_back(std::move(load));
  loads_.clear();
  return out;
}

}  // namespace myrtlecroft::control
