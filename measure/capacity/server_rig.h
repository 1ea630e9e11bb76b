// The real server in a process of its own, with settings of so many tenants and request classes, and a
// stand-in engine that ends each run at once.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "../../standin/child.h"
#include "../../standin/engine.h"
#include "../../standin/no_log.h"
#include "server_load.h"

namespace myrtlecroft::capacity {

struct Sizes {
  int tenants = 1;
  int request_classes = 3;
};

struct ReloadResult {
  bool taken_over = false;
  Nanos took = 0;            // from the signal to the line that tells of it
  Nanos stands = 0;          // largest gap between answers to a probe each millisecond, the reload in between
  Nanos stands_without = 0;  // the same in as long a time after it, without a reload
};

class ServerRig {
 public:
  ServerRig(net::Loop& loop, Sizes sizes);
  ~ServerRig();

  // From the start of the process to the first request that is completed. Below zero: none was.
  Nanos start();
  ReloadResult reload();
  Load& load() { return *load_; }
  double rss_mb() const { return static_cast<double>(server_.resident_kb()) / 1024; }
  double peak_rss_mb() const;
  Nanos cpu_time() const;  // of all its threads, so far

 private:
  void write_config() const;
  int lines_of_reload() const;

  net::Loop& loop_;
  Sizes sizes_;
  standin::NullLogger log_;
  standin::Engine engine_;
  std::string folder_;
  int port_ = 0;
  std::unique_ptr<Load> load_;
  standin::ChildProcess server_;
};

// Any tenant and group of the settings, each as likely.
std::function<Names(std::mt19937&)> any_of(Sizes sizes);

}  // namespace myrtlecroft::capacity
