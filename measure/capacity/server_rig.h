// The real server in its own process, with settings for a given number of tenants and request classes, and a
// stand-in engine that completes each run at once.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "../../standin/child.h"
#include "../../standin/engine.h"
#include "../../standin/no_log.h"
#include "../../standin/port_reservations.h"
#include "server_load.h"

namespace myrtlecroft::capacity {

struct ConfigSizes {
  int tenants = 1;
  int request_classes = 3;
};

struct ReloadResult {
  bool reloaded = false;
  Nanos reload_time = 0;         // from the signal to the log line of the completed reload
  Nanos gap_during_reload = 0;   // largest gap between answers to a probe every millisecond, during a reload
  Nanos gap_without_reload = 0;  // largest gap in an equally long run afterwards, without a reload
};

// For the loop's thread only.
class ServerRig {
 public:
  ServerRig(net::Loop& loop, ConfigSizes sizes);
  ~ServerRig();

  // Returns the time from the start of the process to the first completed request;
  // negative when none completed within 20 s.
  Nanos start();
  ReloadResult reload();
  Load& load() { return *load_; }
  double rss_mb() const { return static_cast<double>(server_.resident_kb()) / 1024; }
  double peak_rss_mb() const;
  Nanos cpu_time()
      const;  // of all threads of the server so far; throws std::runtime_error when it can't be read

 private:
  void write_config() const;
  int count_reload_lines() const;

  net::Loop& loop_;
  ConfigSizes sizes_;
  standin::NullLogger log_;
  standin::Engine engine_;
  std::string folder_;
  standin::PortReservations ports_;
  int port_ = 0;
  std::unique_ptr<Load> load_;
  standin::ChildProcess server_;
};

// Returns a function that draws a tenant and a request class of the settings with equal probability.
std::function<RequestTarget(std::mt19937&)> random_target(ConfigSizes sizes);

}  // namespace myrtlecroft::capacity
