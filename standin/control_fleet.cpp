#include "control_fleet.h"

#include <utility>

namespace myrtlecroft::standin {

ControlCluster::ControlCluster(ControlClusterOptions options, PortReservations& ports)
    : options_(std::move(options)), ports_(ports) {
  for (int i = 0; i < options_.instances; ++i) add();
}

int ControlCluster::add() {
  ReplicaProcess replica;
  for (int* port : {&replica.xds, &replica.reports, &replica.admin, &replica.peer}) *port = ports_.reserve();
  replica.faults =
      std::make_unique<FaultFile>(options_.folder + "/faults" + std::to_string(replicas_.size() + 1));
  replicas_.push_back(std::move(replica));
  return size() - 1;
}

void ControlCluster::start(int instance, Start mode) {
  ReplicaProcess& replica = (*this)[instance];
  std::string id = std::to_string(instance + 1);
  std::vector<std::string> command = {MYRTLECROFT_CONTROL,
                                      "serve",
                                      "--fleet",
                                      options_.fleet,
                                      "--xds",
                                      loopback_address(replica.xds),
                                      "--reports",
                                      loopback_address(replica.reports),
                                      "--admin",
                                      loopback_address(replica.admin)};
  if (options_.replicated) {
    command.insert(command.end(), {"--instance", id, "--peer", loopback_address(replica.peer), "--log",
                                   state(instance), "--reach", replica.address_overrides});
    std::string all;
    for (int k = 0; k < options_.instances; ++k)
      all += (k ? "," : "") + std::to_string(k + 1) + "=" + loopback_address((*this)[k].peer);
    if (mode == Start::kFirstStart) command.insert(command.end(), {"--begin", all});
    if (mode == Start::kJoin) command.push_back("--join");
  } else {
    command.insert(command.end(), {"--state", state(instance)});
  }
  if (mode == Start::kFirstStart) command.push_back("--first-start");
  command.insert(command.end(), options_.more.begin(), options_.more.end());
  replica.faults->forget_begun_crash();
  replica.process = ChildProcess(command, log(instance), replica.faults->variables(MYRTLECROFT_FAULTY));
}

bool ControlCluster::restart_if_crashed(int instance) {
  ReplicaProcess& replica = (*this)[instance];
  if (!replica.faults->cancel_crash()) return false;
  replica.process.wait();
  start(instance);
  return true;
}

void ControlCluster::start_all() {
  for (int i = 0; i < size(); ++i) start(i, Start::kFirstStart);
}

std::string ControlCluster::discovery(int first) const {
  std::string out = "ipv4:";
  for (int k = 0; k < options_.instances; ++k) {
    const ReplicaProcess& replica = replicas_[static_cast<std::size_t>((k + first) % options_.instances)];
    out += (k ? "," : "") + loopback_address(replica.xds);
  }
  return out;
}

}  // namespace myrtlecroft::standin
