#include "net/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr double kLinesPerSecond = 20;     // of each bucket
constexpr double kMaxBurst = 200;          // lines
constexpr std::size_t kQueueLines = 2048;  // lines; when the queue is full the oldest is dropped

}  // namespace

Log::Log(const service::Clock& clock)
    : clock_(clock),
      event_bucket_{kLinesPerSecond, kMaxBurst},
      rate_limited_bucket_(event_bucket_),
      routine_bucket_(event_bucket_) {
  spdlog::init_thread_pool(kQueueLines, 1);
  out_ = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("myrtlecroft");
  out_->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  out_->flush_on(spdlog::level::info);
}

Log::~Log() {
  out_.reset();
  spdlog::shutdown();
}

void Log::write(const std::string& text, TokenBucket& bucket) {
  double elapsed_seconds =
      static_cast<double>(clock_.now() - std::exchange(bucket.refilled_at, clock_.now())) / 1e9;
  bucket.tokens = std::min(kMaxBurst, bucket.tokens + bucket.per_second * elapsed_seconds);
  if (bucket.tokens < 1) {
    ++bucket.dropped_lines;
    return;
  }
  bucket.tokens -= 1;
  if (bucket.dropped_lines) out_->warn("{} lines left out", std::exchange(bucket.dropped_lines, 0));
  out_->info("{}", text);
}

}  // namespace myrtlecroft::net
