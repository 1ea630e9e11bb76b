// Sends requests at a constant mean rate over FastCGI keep-alive connections and times their answers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "../../standin/cgi_client.h"
#include "../../standin/no_log.h"
#include "net/connection.h"

namespace myrtlecroft::capacity {

enum class Spacing {
  kPoisson,  // exponential intervals, as from independent callers
  kEven,     // equal intervals, for a probe
};

struct LoadOptions {
  double per_second = 0;
  Nanos duration = 0;
  Spacing spacing = Spacing::kPoisson;
};

struct LoadResult {
  int offered = 0;
  int rejected = 0;
  int failed = 0;                    // answers other than 200 and 503, and requests without an answer
  std::vector<double> completed_us;  // time from sending to the last record of the answer
  Nanos largest_gap = 0;             // longest time between two successive answers
};

// Path and tenant of a request.
struct RequestTarget {
  std::string path;
  std::string tenant;
};

// For the loop's thread only.
class Load {
 public:
  Load(net::Loop& loop, std::uint16_t port, std::function<RequestTarget(std::mt19937&)> draw_target);
  ~Load();

  // Called every millisecond with the duration of the run so far; sending ends when it returns true.
  using TickCallback = std::function<bool(Nanos)>;
  // Runs the loop until the duration is over and all answers have arrived, at most one second longer.
  LoadResult run(const LoadOptions& options, TickCallback on_tick = {});
  // Repeats a request every 2 ms until one is answered with 200. Returns false when none is within that time.
  bool wait_for_answer(Nanos within);

 private:
  class KeepAliveConnection;

  void open_all();
  bool all_open() const;
  void start_run(const LoadOptions& options);
  void send_due();
  void send_one();
  void end_when_answered();
  void handle_answer(Nanos sent_at, const std::string& answer);
  void count_failed(std::size_t requests) { result_.failed += static_cast<int>(requests); }
  std::size_t in_flight() const;
  Nanos next_interval();

  net::Loop& loop_;
  std::uint16_t port_;
  std::function<RequestTarget(std::mt19937&)> draw_target_;
  standin::NullLogger log_;
  std::mt19937 random_{7};
  std::vector<std::unique_ptr<KeepAliveConnection>> connections_;
  net::Timer send_timer_;
  net::Timer tick_timer_;
  LoadOptions options_;
  LoadResult result_;
  TickCallback on_tick_;
  Nanos run_start_ = 0;
  Nanos next_send_at_ = 0;
  Nanos last_answer_ = 0;
  std::uint64_t last_trace_ = 0;
  bool waiting_for_first_ = false;
};

}  // namespace myrtlecroft::capacity
