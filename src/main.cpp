// One real server: wires the parts up and runs the loop until it has drained.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "launch.h"
#include "net/database.h"
#include "net/engine_link.h"
#include "net/front.h"
#include "net/log.h"
#include "net/loop.h"
#include "net/membership.h"

namespace {

constexpr std::size_t kOwnDescriptors = 4;  // one of so many is kept for what is not a balancer's connection

void serve(myrtlecroft::Launch launch) {
  using namespace myrtlecroft;
  net::Loop loop;
  net::Log log(loop);
  net::Front front(loop, log, launch.listen, launch.descriptors - launch.descriptors / kOwnDescriptors);
  net::EngineLink engine(loop, log, launch.engine);
  net::Database database(loop, log, launch.database);
  net::Membership membership(loop, launch.name, launch.members);
  Nanos stop_after = launch.start.stop_after;
  service::Service service(std::move(launch.start), {loop, front, engine, database, membership, log});

  std::string how = "stopped";
  net::Alarm last_moment(loop.base(), [&] {
    how = "stopped at the last moment, " + std::to_string(front.connections()) + " connections left";
    loop.stop();
  });
  auto leave = [&] {
    if (!service.leaving()) last_moment.set(stop_after - stop_after / 100);
    service.leave();
  };
  net::Alarm terminated(loop.base(), SIGTERM, leave);
  net::Alarm interrupted(loop.base(), SIGINT, leave);
  loop.on_wake([&] { service.woke(); });
  front.serve(service, [&] { loop.stop(); });
  database.begin(service);
  engine.begin(service.engine());
  log.line("started as " + launch.name);
  loop.run();
  log.line(how);
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    serve(myrtlecroft::read_launch(std::getenv("LB_CONFIG")));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "myrtlecroft: %s\n", error.what());
    return 1;
  }
  return 0;
}
