#include "net/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr double kLinesPerSecond = 20;  // of each kind
constexpr double kMaxSaved = 200;
constexpr std::size_t kQueue = 2048;  // lines; beyond them the oldest is dropped

}  // namespace

Log::Log(const service::Clock& clock)
    : clock_(clock), events_{kLinesPerSecond, kMaxSaved}, frequent_(events_), routine_(events_) {
  spdlog::init_thread_pool(kQueue, 1);
  out_ = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("myrtlecroft");
  out_->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  out_->flush_on(spdlog::level::info);
}

Log::~Log() {
  out_.reset();
  spdlog::shutdown();
}

void Log::write(const std::string& text, Allowance& allowance) {
  double passed = static_cast<double>(clock_.now() - std::exchange(allowance.at, clock_.now())) / 1e9;
  allowance.saved = std::min(kMaxSaved, allowance.saved + allowance.per_second * passed);
  if (allowance.saved < 1) {
    ++allowance.left_out;
    return;
  }
  allowance.saved -= 1;
  if (allowance.left_out) out_->warn("{} lines left out", std::exchange(allowance.left_out, 0));
  out_->info("{}", text);
}

}  // namespace myrtlecroft::net
