// A stand-in for the engine of one server, and for the database all servers share: small, scripted, on
// loopback. Bodies of requests say what work they are: "GROUP KEY MS CALLS", and may add the bytes of the
// result.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "control/frame_server.h"
#include "net/engine_codec.h"

namespace myrtlecroft::standin {

// One run, as it came to some engine.
struct ObservedRun {
  std::string node;
  std::string request_class;
  std::string key;
  Nanos at = 0;
};

// What a version of the program does to what it runs.
struct Behaviour {
  double slow = 1;                      // times the usual time
  Nanos after = 0;                      // since its start
  std::size_t min_concurrent_runs = 0;  // only with so many at once
  std::string request_class;            // only this one; empty: all
  bool silent = false;                  // takes runs and ends none
};

class Engine {
 public:
  Engine(net::Loop& loop, service::Logger& log, std::string node, int cores,
         std::function<void(const ObservedRun&)> seen);

  std::uint16_t port() const { return door_.port(); }
  void slow(double factor) { slow_ = factor; }  // times its usual time for each run from now on
  void silent(bool silent);                     // takes runs and ends none
  // More runs than cores wait for one, and cost nothing beyond that; else each slows those that come after
  // it.
  void queue_for_cores() { free_at_.assign(static_cast<std::size_t>(cores_), 0); }
  void apply_behaviour(Behaviour behaviour) { behaviour_ = std::move(behaviour); }
  bool warming_up() const { return loop_.now() < warm_at_; }
  // Comes up then: links are taken before that, and get no word.
  void become_ready_at(Nanos when) { up_at_ = when; }
  // Another life of the server: what ran is gone, notices are numbered anew, and it is cold for a while.
  void restart(Nanos cold_for);

 private:
  struct Run {
    Nanos ends = 0;
    bool calls = false;      // it will
    bool at_call = false;    // it waits
    std::size_t result = 0;  // bytes; 0: the word
    Nanos work = kMs;        // of a core
  };
  std::size_t bytes_received(net::Connection& connection, std::string_view bytes);
  void command(const net::EngineLine& line);
  void start(const std::string& id, const std::string& payload);
  void tell(const std::string& line);
  void hello();
  void end_due();
  double crowd() const;

  net::Loop& loop_;
  std::string node_;
  int cores_;
  std::function<void(const ObservedRun&)> seen_;
  control::FrameServer door_;
  net::Connection* link_ = nullptr;
  control::FrameServer::Id link_id_{};
  net::Timer again_;
  std::map<std::string, Run> runs_;
  std::uint64_t notices_ = 0;
  Nanos started_ = 0;
  Nanos warm_at_ = 0;
  Nanos up_at_ = 0;
  bool attached_ = false;  // and waits for our HELLO
  double slow_ = 1;
  bool silent_ = false;
  Behaviour behaviour_;
  std::vector<Nanos> free_at_;  // of each core, where runs queue for them
};

class Database {
 public:
  Database(net::Loop& loop, service::Logger& log);
  std::uint16_t port() const { return door_.port(); }

 private:
  std::size_t bytes_received(net::Connection& connection, std::string_view bytes);
  control::FrameServer door_;
};

}  // namespace myrtlecroft::standin
