// Requests at a steady rate over kept FastCGI connections, and when their answers came.
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
  kPoisson,  // of independent callers
  kEven,     // of a probe
};

struct LoadOptions {
  double per_second = 0;
  Nanos duration = 0;
  Spacing spacing = Spacing::kPoisson;
};

struct LoadResult {
  int offered = 0;
  int rejected = 0;
  int failed = 0;                    // any other answer than 200 and 503, and requests that got none
  std::vector<double> completed_us;  // time from the send to the answer's last record
  Nanos largest_gap = 0;             // between two answers that came one after the other
};

// Which tenant and request class the next request names.
struct Names {
  std::string path;
  std::string tenant;
};

class Load {
 public:
  Load(net::Loop& loop, std::uint16_t to, std::function<Names(std::mt19937&)> names);
  ~Load();

  // Told every millisecond how long the run has lasted; true ends the sending.
  using EachTurn = std::function<bool(Nanos)>;
  // Turns the loop until the duration is over and answers have come, or a second after it.
  LoadResult run(const LoadOptions& options, EachTurn each_turn = {});
  // One request until it gets a 200, tried again every 2 ms. False where none comes in that time.
  bool wait_for_answer(Nanos within);

 private:
  class Kept;

  void open_all();
  bool all_open() const;
  void begin(const LoadOptions& options);
  void send_due();
  void send_one();
  void end_when_answered();
  void answered(Nanos sent_at, const std::string& answer);
  void lost(std::size_t requests) { result_.failed += static_cast<int>(requests); }
  std::size_t in_flight() const;
  Nanos next_pause();

  net::Loop& loop_;
  std::uint16_t to_;
  std::function<Names(std::mt19937&)> names_;
  standin::NullLogger log_;
  std::mt19937 random_{7};
  std::vector<std::unique_ptr<Kept>> kept_;
  net::Timer send_;
  net::Timer turn_;
  LoadOptions options_;
  LoadResult result_;
  EachTurn each_turn_;
  Nanos begun_ = 0;
  Nanos next_ = 0;
  Nanos last_answer_ = 0;
  std::uint64_t traces_ = 0;
  bool waiting_for_first_ = false;
};

}  // namespace myrtlecroft::capacity
