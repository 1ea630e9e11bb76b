// Sends load reports of this server to control services at intervals. A control service that is down or slow
// costs a few kilobytes and no time: while it does not read, reports are skipped, as each report is complete.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "report/load_report.h"
#include "service/service.h"
#include "settings/node_settings.h"

namespace myrtlecroft::net {

// Belongs to the loop's thread.
class LoadReporter {
 public:
  LoadReporter(Loop& loop, service::Logger& log, const service::Service& service, std::string name,
               const sockaddr_in& listen);
  ~LoadReporter();
  // Replaces the addresses and the interval. Connections to addresses that remain are kept.
  void set_report_settings(const settings::ReportSettings& settings);
  // Handles a shard assignment from a control service. Without ReportSettings::follows_control_service all
  // input on these connections is discarded.
  using AssignmentHandler = std::function<void(const fencing::ShardAssignment&)>;
  void set_assignment_handler(AssignmentHandler handler) { assignment_handler_ = std::move(handler); }
  // Both are sent with the next reports.
  void set_assignment_epoch(fencing::Epoch epoch) { next_report_.epoch = epoch; }
  void set_version(std::uint8_t version) { next_report_.version = version; }
  // Whether that report was sent recently by this server's clock, so that an answer to it is recent too. An
  // answer that was held up in a stalled connection would otherwise pass for a new one.
  bool was_sent_recently(std::uint64_t sequence) const;
  std::uint64_t incarnation() const { return next_report_.incarnation; }
  std::size_t unsent_bytes() const;  // buffered for all control services

 private:
  class Link;
  void send_report();
  report::LoadReport build_report();

  Loop& loop_;
  service::Logger& log_;
  const service::Service& service_;
  report::LoadReport next_report_;  // its name, address, incarnation and sequence stay between reports
  Nanos report_interval_ = 0;
  std::deque<Nanos> sent_at_;  // times of the latest reports, the oldest first
  AssignmentHandler assignment_handler_;
  std::vector<std::unique_ptr<Link>> links_;
  Timer report_timer_;
};

}  // namespace myrtlecroft::net
