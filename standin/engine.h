// Stand-ins on loopback for the engine of one server and for the database that all servers share. A request's
// body describes its work: "GROUP KEY MS CALLS", optionally followed by the size of the result in bytes.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/frame_server.h"
#include "net/engine_codec.h"

namespace myrtlecroft::standin {

// One RUN command, as an engine received it.
struct ObservedRun {
  std::string node;
  std::string request_class;
  std::string key;
  Nanos at = 0;
};

// How a version of the program changes the runs.
struct Behaviour {
  double slow = 1;                      // factor on the usual duration
  Nanos after = 0;                      // applies from this time after the engine's start
  std::size_t min_concurrent_runs = 0;  // only to runs beside at least so many
  std::string request_class;            // applies only to this class; empty: all
  bool silent = false;                  // takes runs and ends none
};

// Runs on the loop's thread.
class Engine {
 public:
  Engine(net::Loop& loop, service::Logger& log, std::string node, int cores,
         std::function<void(const ObservedRun&)> run_started);

  std::uint16_t port() const { return server_.port(); }
  void slow(double factor) { slowdown_ = factor; }  // factor on the duration of runs that start from now on
  void silent(bool silent);                         // takes runs and ends none
  // Queues runs for a free core when there are more runs than cores. Without this call, each run slows those
  // that start after it.
  void queue_for_cores() { core_free_at_.assign(static_cast<std::size_t>(cores_), 0); }
  void apply_behaviour(Behaviour behaviour) { behaviour_ = std::move(behaviour); }
  bool warming_up() const { return loop_.now() < warm_at_; }
  // Sends no HELLO before `when`; links are accepted earlier.
  void become_ready_at(Nanos when) { ready_at_ = when; }
  // Starts a new incarnation of the server: drops all runs, numbers notices from 1 again and warms up for
  // `cold_for`.
  void restart(Nanos cold_for);

 private:
  struct Run {
    Nanos ends_at = 0;
    bool will_call = false;     // a dependency call follows when the run is due
    bool call_pending = false;  // waits for the answer of its dependency call
    std::size_t result = 0;     // bytes; 0: the text "result"
    Nanos work = kMs;           // core time
  };
  std::size_t bytes_received(net::Connection& connection, std::string_view bytes);
  void command(const net::EngineLine& line);
  void start(const std::string& id, const std::string& payload);
  void send_line(const std::string& line);
  void send_hello_when_ready();
  void end_due();
  double load_slowdown() const;

  net::Loop& loop_;
  std::string node_;
  int cores_;
  std::function<void(const ObservedRun&)> run_started_;
  control::FrameServer server_;
  net::Connection* link_ = nullptr;
  control::FrameServer::Id link_id_{};
  net::Timer tick_;
  std::map<std::string, Run> runs_;
  std::uint64_t last_offset_ = 0;
  Nanos started_at_ = 0;
  Nanos warm_at_ = 0;
  Nanos ready_at_ = 0;
  bool hello_pending_ = false;  // ATTACH was received and HELLO not yet sent
  double slowdown_ = 1;
  bool silent_ = false;
  Behaviour behaviour_;
  std::vector<Nanos> core_free_at_;  // by core; empty: runs do not queue for cores
};

// Answers each query at once with the same rows. Runs on the loop's thread.
class Database {
 public:
  Database(net::Loop& loop, service::Logger& log);
  std::uint16_t port() const { return server_.port(); }

 private:
  std::size_t bytes_received(net::Connection& connection, std::string_view bytes);
  control::FrameServer server_;
};

}  // namespace myrtlecroft::standin
