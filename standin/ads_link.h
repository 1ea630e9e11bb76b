// The stand-in proxy's stream over gRPC: connects, answers, and connects again when the stream ends.
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

class AdsLink {
 public:
  // A connection that is not there by then is given up for another. Short, so that a caller soon leaves an
  // instance that hangs; with thousands of callers on one busy machine it would be a storm of connections.
  static constexpr int kConnectTimeoutMs = 50;
  // Told after each change of what is applied, from a thread of gRPC's.
  using Applied = std::function<void(const AppliedSet&)>;
  AdsLink(const std::string& target, bool delta, const std::string& id, Applied applied = {},
          std::shared_ptr<ParsedResourceCache> bodies = nullptr, std::vector<std::string> services = {},
          int connect_within_ms = kConnectTimeoutMs);
  ~AdsLink();

  std::shared_ptr<const AppliedSet> applied() const;
  int half_applied() const;
  std::string half_applied_last() const;
  std::uint64_t bytes_in() const;
  void nack_matching(std::optional<std::string> part);
  // Reads nothing more from here on, and says so to nobody.
  void stop_reading() { reading_ = false; }
  // Cuts the stream; a new one follows by itself.
  void reset_stream();
  bool connected() const { return connected_; }

 private:
  class Stream;
  void open();
  void ended();

  std::string method_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<grpc::GenericStub> stub_;
  Applied told_;
  mutable std::mutex mutex_;
  std::condition_variable over_;
  AdsClient client_;
  Stream* stream_ = nullptr;
  std::atomic<bool> reading_ = true;
  std::atomic<bool> connected_ = false;
  bool closing_ = false;
};

}  // namespace myrtlecroft::standin
