// Plays an incident's faults: its steps when they are due, and randomly drawn ones. Owned by Rig; used on the
// loop's thread.
#pragma once

#include <functional>
#include <random>
#include <string>

#include "rig_context.h"
#include "rig_instances.h"
#include "rig_proxies.h"
#include "rig_servers.h"

namespace myrtlecroft::rehearsal {

class RigFaults {
 public:
  struct Targets {
    RigInstances& instances;
    RigServers& servers;
    RigProxies& proxies;
    // Sends an operator's command to the instance.
    std::function<void(int instance, const std::string& command)> send_command;
  };
  // The objects that `targets` refers to must outlive this object.
  RigFaults(RigContext& context, Targets targets);

  // Call when the incident begins. The first drawn fault is due one second later.
  void begin() { next_drawn_ = context_.now() + kSecond; }
  void play_due();

 private:
  void play(const Step& step);
  void play_drawn();
  void play_on_server(const Step& step, int server);
  void play_on_instance(const Step& step, int instance);
  void fail_links_of_instance(const Step& step, int instance);
  void fail_link(const Step& step, standin::Relay& outward, standin::Relay* inward);

  RigContext& context_;
  Targets targets_;
  std::mt19937 random_;  // separate, so that load and faults do not affect each other's draws
  std::size_t next_step_ = 0;
  Nanos next_drawn_ = 0;
};

}  // namespace myrtlecroft::rehearsal
