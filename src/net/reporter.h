// Tells control services how this server fares, over and over. A control service that is dead or slow costs a
// few kilobytes and no time: what it does not take is left out, as the next report says it all again.
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

class LoadReporter {
 public:
  LoadReporter(Loop& loop, service::Logger& log, const service::Service& service, std::string name,
               const sockaddr_in& listen);
  ~LoadReporter();
  // From now on to these. Those already connected stay so.
  void set_report_settings(const settings::ReportSettings& settings);
  // Orders that come where the settings say that they are heeded; otherwise nothing is taken on these
  // connections.
  using Ordered = std::function<void(const fencing::ShardAssignment&)>;
  void on_assignment(Ordered ordered) { ordered_ = std::move(ordered); }
  void set_assignment_epoch(fencing::Epoch epoch) { next_.epoch = epoch; }
  void set_version(std::uint8_t version) { next_.version = version; }
  // Whether that report was sent not long ago, by our own clock: an answer to it is no older. What lay in a
  // socket while a link stood still would pass for news otherwise.
  bool was_sent_recently(std::uint64_t sequence) const;
  std::uint64_t incarnation() const { return next_.incarnation; }
  std::size_t bytes_waiting() const;  // of all control services, not yet sent

 private:
  class Link;
  void send();
  report::LoadReport report();

  Loop& loop_;
  service::Logger& log_;
  const service::Service& service_;
  report::LoadReport next_;  // name, address, life and sequence are kept in it
  Nanos every_ = 0;
  std::deque<Nanos> sent_;  // when the last reports were
  Ordered ordered_;
  std::vector<std::unique_ptr<Link>> links_;
  Timer again_;
};

}  // namespace myrtlecroft::net
