// The stand-in proxy's ADS stream over gRPC: connects, replies to responses, and reconnects when the stream
// ends.
#pragma once

#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "ads_client.h"

namespace myrtlecroft::standin {

// All public functions may be called from any thread.
class AdsLink {
 public:
  // A connection attempt that takes longer is abandoned for the next address. The timeout is short so that a
  // caller soon leaves an instance that hangs; with thousands of callers on one busy machine it would cause a
  // storm of connections, so these pass a longer one.
  static constexpr int kConnectTimeoutMs = 50;
  // Called on a gRPC thread after each change of the applied set.
  using Applied = std::function<void(const AppliedSet&)>;
  AdsLink(const std::string& target, bool delta, const std::string& id, Applied applied = {},
          std::shared_ptr<ParsedResourceCache> bodies = nullptr, std::vector<std::string> services = {},
          int connect_within_ms = kConnectTimeoutMs);
  ~AdsLink();

  std::shared_ptr<const AppliedSet> applied() const;
  int half_applied() const;
  std::string half_applied_last() const;
  std::uint64_t bytes_in() const;
  void nack_matching(std::optional<std::string> name_part);
  // Stops reading responses without closing the stream, as a proxy that hangs does.
  void stop_reading() { reading_ = false; }
  // Cancels the stream; a new one is opened automatically.
  void reset_stream();
  bool connected() const { return connected_; }

 private:
  class Stream;
  void open();
  void handle_stream_ended();

  std::string method_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<grpc::GenericStub> stub_;
  Applied on_applied_;
  mutable std::mutex mutex_;
  std::condition_variable stream_ended_;
  AdsClient client_;
  Stream* stream_ = nullptr;
  std::atomic<bool> reading_ = true;
  std::atomic<bool> connected_ = false;
  bool closing_ = false;
};

}  // namespace myrtlecroft::standin
