// What operators ask of the fleet as a whole: drains and releases. A command may be given to any instance; it
// is answered once its result is agreed.
#pragma once

#include <map>
#include <string>

#include "control.pb.h"
#include "control/frame_server.h"
#include "control/replicated_control.h"

namespace myrtlecroft::control {

class AdminCommands {
 public:
  AdminCommands(net::Loop& loop, ReplicatedControl& agreed) : loop_(loop), agreed_(agreed) {}

  static bool is_command(std::string_view question);
  // `answer` has what any answer has. The connection is answered now or by tick().
  void ask(FrameServer::Id id, net::Connection& connection, const std::string& command, AdminAnswer answer);
  void gone(FrameServer::Id id);
  void tick();
  void fill(AdminAnswer& answer) const;

 private:
  struct Waiting {
    net::Connection* connection = nullptr;
    std::uint64_t command = 0;
    Nanos until = 0;
    AdminAnswer answer;
  };
  static void finish(Waiting& one, const std::string& said);
  static double left_s(const ReleaseRow& row, bool back);

  net::Loop& loop_;
  ReplicatedControl& agreed_;
  std::map<FrameServer::Id, Waiting> waiting_;
};

// As it goes over the admin connection.
void write_answer(net::Connection& connection, const AdminAnswer& answer);

}  // namespace myrtlecroft::control
