#include "net/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr double kLinesPerSecond = 50;
constexpr double kMostSaved = 500;
constexpr std::size_t kQueue = 2048;  // lines; beyond them the oldest is dropped

}  // namespace

Log::Log(const service::Clock& clock) : clock_(clock), saved_(kMostSaved) {
  spdlog::init_thread_pool(kQueue, 1);
  out_ = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("myrtlecroft");
  out_->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  out_->flush_on(spdlog::level::info);
}

Log::~Log() {
  out_.reset();
  spdlog::shutdown();
}

void Log::line(const std::string& text) {
  Nanos now = clock_.now();
  saved_ = std::min(kMostSaved, saved_ + kLinesPerSecond * static_cast<double>(now - at_) / 1e9);
  at_ = now;
  if (saved_ < 1) {
    ++left_out_;
    return;
  }
  saved_ -= 1;
  if (left_out_) out_->warn("{} lines left out", std::exchange(left_out_, 0));
  out_->info("{}", text);
}

}  // namespace myrtlecroft::net
