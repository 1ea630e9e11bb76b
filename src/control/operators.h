// What operators ask of the fleet as a whole: drains and releases. A command may be given to any instance; it
// is answered once its result is agreed.
#pragma once

#include <map>
#include <string>

#include "control.pb.h"
#include "control/agreed.h"
#include "control/door.h"

namespace myrtlecroft::control {

class Operators {
 public:
  Operators(net::Loop& loop, Agreed& agreed) : loop_(loop), agreed_(agreed) {}

  static bool is_command(std::string_view question);
  // `answer` has what any answer has. The connection is answered now or by tick().
  void ask(Door::Id id, net::Connection& connection, const std::string& command, AdminAnswer answer);
  void gone(Door::Id id);
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
  Agreed& agreed_;
  std::map<Door::Id, Waiting> waiting_;
};

// As it goes over the admin connection.
void write_answer(net::Connection& connection, const AdminAnswer& answer);

}  // namespace myrtlecroft::control
