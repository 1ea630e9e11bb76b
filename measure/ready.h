// Real servers that are killed and started again together, under load, and how soon each is ready: from its
// exec to the first good health check.
#pragma once

#include <string>
#include <vector>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::measure {

struct ReadyOptions {
  int nodes = 30;
  Nanos engine_after = 0;   // from the exec to when its engine is up
  bool membership = true;   // false: nobody listens there
  double per_second = 600;  // requests, over all servers, throughout
};

struct ReadyResult {
  std::vector<double> ready_ms;  // of each server that was, sorted
  std::vector<double> own_ms;    // the same without the wait for its engine: what the program itself adds
  int crashed = 0;               // ended by themselves
  std::string last_words;        // of one of these
  int completed = 0;
  // A quantile; of no servers the longest wait there was.
  static double at(const std::vector<double>& sorted, double part);
};

ReadyResult play_ready(const ReadyOptions& options);

}  // namespace myrtlecroft::measure
