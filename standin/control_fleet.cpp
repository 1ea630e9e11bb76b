#include "control_fleet.h"

#include <sys/socket.h>

#include <random>

#include "net/address.h"

namespace myrtlecroft::standin {

int free_port(std::set<int>& taken) {
  constexpr int kFirstStart = 12'000;
  constexpr int kCount = 18'000;
  static std::mt19937 draws(static_cast<unsigned>(::getpid()));
  for (;;) {
    int port = kFirstStart + static_cast<int>(draws() % kCount);
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = net::loopback(static_cast<std::uint16_t>(port));
    bool good = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    if (good && taken.insert(port).second) return port;
  }
}

std::string loopback_address(int port) { return "127.0.0.1:" + std::to_string(port); }

ControlCluster::ControlCluster(ControlClusterOptions options, std::set<int>& taken)
    : options_(std::move(options)), taken_(taken) {
  for (int i = 0; i < options_.instances; ++i) add();
}

int ControlCluster::add() {
  ReplicaProcess place;
  for (int* port : {&place.xds, &place.reports, &place.admin, &place.peer}) *port = free_port(taken_);
  place.faults =
      std::make_unique<FaultFile>(options_.folder + "/faults" + std::to_string(places_.size() + 1));
  places_.push_back(std::move(place));
  return size() - 1;
}

void ControlCluster::start(int at, Start how) {
  ReplicaProcess& one = (*this)[at];
  std::string id = std::to_string(at + 1);
  std::vector<std::string> command = {MYRTLECROFT_CONTROL,
                                      "serve",
                                      "--fleet",
                                      options_.fleet,
                                      "--xds",
                                      loopback_address(one.xds),
                                      "--reports",
                                      loopback_address(one.reports),
                                      "--admin",
                                      loopback_address(one.admin)};
  if (options_.replicated) {
    command.insert(command.end(), {"--instance", id, "--peer", loopback_address(one.peer), "--log", state(at),
                                   "--reach", one.address_overrides});
    std::string all;
    for (int k = 0; k < options_.instances; ++k)
      all += (k ? "," : "") + std::to_string(k + 1) + "=" + loopback_address((*this)[k].peer);
    if (how == Start::kFirstStart) command.insert(command.end(), {"--begin", all});
    if (how == Start::kJoin) command.push_back("--join");
  } else {
    command.insert(command.end(), {"--state", state(at)});
  }
  if (how == Start::kFirstStart) command.push_back("--first-start");
  command.insert(command.end(), options_.more.begin(), options_.more.end());
  one.process = ChildProcess(command, log(at), one.faults->variables(MYRTLECROFT_FAULTY));
}

void ControlCluster::start_all() {
  for (int i = 0; i < size(); ++i) start(i, Start::kFirstStart);
}

std::string ControlCluster::discovery(int first) const {
  std::string out = "ipv4:";
  for (int k = 0; k < options_.instances; ++k) {
    const ReplicaProcess& place = places_[static_cast<std::size_t>((k + first) % options_.instances)];
    out += (k ? "," : "") + loopback_address(place.xds);
  }
  return out;
}

}  // namespace myrtlecroft::standin
