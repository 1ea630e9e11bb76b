// Answers operators' queries about the state of a running control service: servers, proxies, the published
// snapshot, replicas and maintenance. Owned by AdminServer, called on the loop's thread. Read-only.
#pragma once

#include <cstdint>

#include "control.pb.h"
#include "control/admin_query.h"
#include "control/discovery_service.h"
#include "control/pager.h"
#include "control/replicated_control.h"
#include "net/loop.h"
#include "routing/router.h"

namespace myrtlecroft::control {

// State of the control service that is reported in every answer.
struct ControlStatus {
  std::uint64_t published = 0;       // number of the publication that is served; 0: none
  std::uint64_t applied_by_all = 0;  // newest publication that every proxy has applied
  bool disk_fails = false;           // the last write of the saved state failed
};

// Builds the answers to queries.
class AdminQueries {
 public:
  // `replicated` is nullptr for a standalone control service. All arguments must outlive this object.
  AdminQueries(net::Loop& loop, const routing::Router& router, DiscoveryService& discovery,
               const ReplicatedControl* replicated)
      : loop_(loop), router_(router), discovery_(discovery), replicated_(replicated) {}

  // Returns an answer with the fields that every answer has.
  AdminAnswer summary(const ControlStatus& status) const;
  // Adds the rows of the requested page. Queries about instances and maintenance require `replicated`.
  void add_rows(const AdminQuery& query, AdminAnswer& answer) const;

 private:
  void add_server_rows(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const;
  void add_proxy_rows(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const;
  void add_snapshot(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const;
  void add_maintenance(const AdminQuery& query, Pager& pager, AdminAnswer& answer) const;
  void set_replica_fields(AdminAnswer& answer) const;
  void add_instance_row(const consensus::Server& server, AdminAnswer& answer) const;

  net::Loop& loop_;
  const routing::Router& router_;
  DiscoveryService& discovery_;
  const ReplicatedControl* replicated_;
};

}  // namespace myrtlecroft::control
