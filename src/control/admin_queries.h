// Answers operators' queries on what a running control service has measured and what it serves. Owned by
// AdminServer, called on the loop's thread; reads only.
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

// The control service's own state at the time of a query.
struct ControlStatus {
  std::uint64_t published = 0;       // the publication that is served; 0: none
  std::uint64_t applied_by_all = 0;  // the publication that every proxy has applied
  bool disk_fails = false;
};

class AdminQueries {
 public:
  // `replicated` is nullptr where this control service decides alone. All outlive this.
  AdminQueries(net::Loop& loop, const routing::Router& router, DiscoveryService& discovery,
               const ReplicatedControl* replicated)
      : loop_(loop), router_(router), discovery_(discovery), replicated_(replicated) {}

  // The fields that every answer has.
  AdminAnswer summary(const ControlStatus& status) const;
  // Adds the rows of one page. Topics of replicas and maintenance need `replicated`.
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
