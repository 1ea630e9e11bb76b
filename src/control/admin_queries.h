// Answers to operators' questions about what a running control service knows and serves. Only looks, but for
// the changes of who belongs to the instances.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "control/admin_commands.h"
#include "control/admin_query.h"
#include "control/discovery_service.h"
#include "control/pager.h"
#include "control/replicated_control.h"
#include "net/loop.h"
#include "routing/router.h"

namespace myrtlecroft::control {

// As a server says it, in rows and log lines.
const char* name_of(Mode mode);

// What the control service itself keeps, at the time of a question.
struct AnswerFacts {
  std::uint64_t published = 0;  // in what is served
  std::uint64_t applied_by_all = 0;
  bool disk_fails = false;
};

class AdminQueries {
 public:
  // `agreed` and `operators` are nullptr where one instance decides alone. All outlive this.
  AdminQueries(net::Loop& loop, const routing::Router& router, DiscoveryService& discovery,
               ReplicatedControl* agreed, const AdminCommands* operators)
      : loop_(loop), router_(router), discovery_(discovery), agreed_(agreed), operators_(operators) {}

  // What any answer has.
  AdminAnswer any(const AnswerFacts& facts) const;
  AdminAnswer to(std::string_view line, const AnswerFacts& facts) const;

 private:
  void fill(const AdminQuery& question, AdminAnswer& answer) const;
  void fill_nodes(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const;
  void fill_proxies(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const;
  void fill_snapshot(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const;
  void fill_outings(const AdminQuery& question, Pager& pager, AdminAnswer& answer) const;
  void fill_instances(AdminAnswer& answer) const;
  std::string other_command(std::string_view command) const;

  net::Loop& loop_;
  const routing::Router& router_;
  DiscoveryService& discovery_;
  ReplicatedControl* agreed_;
  const AdminCommands* operators_;
};

}  // namespace myrtlecroft::control
