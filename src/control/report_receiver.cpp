#include "control/report_receiver.h"

#include <optional>
#include <utility>

#include "control/admin_names.h"

namespace myrtlecroft::control {
namespace {

using Verdict = routing::ServerRegistry::Verdict;

constexpr std::size_t kExtraReporterConnections = 32;  // in addition to two for each server of the fleet file
constexpr std::size_t kMaxLoggedNameLength = 64;       // characters of a reporter's server name

const char* rejection_reason(Verdict verdict) {
  switch (verdict) {
    case Verdict::kAccepted:
      return "";
    case Verdict::kUnknownNode:
      return "the fleet file has no such server";
    case Verdict::kAddressMismatch:
      return "its address differs from the fleet file's";
    case Verdict::kClockAhead:
      return "its clock is ahead of this host's";
    case Verdict::kStale:
      return "it is older than a report received before";
  }
  return "";
}

}  // namespace

ReportReceiver::ReportReceiver(net::Loop& loop, service::Logger& log, const sockaddr_in& address,
                               Targets targets)
    : loop_(loop),
      log_(log),
      targets_(std::move(targets)),
      server_(loop, log, address, "reporter", max_reporter_connections(),
              {.received = [this](FrameServer::Id id, net::Connection& connection,
                                  std::string_view bytes) { return received(id, connection, bytes); },
               .closed = [this](FrameServer::Id id) { closed(id); }}) {}

std::size_t ReportReceiver::max_reporter_connections() const {
  return 2 * targets_.router.fleet().nodes.size() + kExtraReporterConnections;
}

std::size_t ReportReceiver::received(FrameServer::Id id, net::Connection& connection,
                                     std::string_view bytes) {
  report::FrameError frame_error{};
  std::size_t consumed = report::decode(
      bytes, [&](const report::LoadReport& report) { handle(id, connection, report); }, frame_error);
  if (frame_error != report::FrameError::kNone) {
    log_.write_rate_limited("reporter " + std::to_string(id) +
                            " sent a malformed report: " + report::name_of(frame_error));
    connection.end(net::CloseReason::kMalformed);
  }
  return consumed;
}

void ReportReceiver::handle(FrameServer::Id id, net::Connection& connection,
                            const report::LoadReport& report) {
  Verdict verdict = targets_.router.handle_report(report, loop_.now(), net::Loop::unix_now());
  if (verdict == Verdict::kAccepted) {
    handle_accepted(id, report);
    if (targets_.replica && report.accepts_assignments) send_assignment(connection, report);
    return;
  }
  log_rejection(report, rejection_reason(verdict));
  if (verdict == Verdict::kUnknownNode) connection.end(net::CloseReason::kMalformed);
}

void ReportReceiver::handle_accepted(FrameServer::Id id, const report::LoadReport& report) {
  last_rejection_reasons_.erase(report.node);
  if (links_.assign(id, report.node))
    targets_.router.handle_report_connection(report.node, true, loop_.now());
  std::string mode = std::string(name_of(report.mode)) + (report.draining ? " draining" : "");
  std::string& last_mode = last_modes_[report.node];
  if (last_mode == mode) return;
  last_mode = std::move(mode);
  targets_.mode_changed();
}

// Logs each server and reason once. Reporters choose the names they send, so the number of remembered names
// is limited.
void ReportReceiver::log_rejection(const report::LoadReport& report, const std::string& reason) {
  if (last_modes_.size() > max_reporter_connections()) last_modes_.clear();
  if (last_rejection_reasons_.size() > max_reporter_connections()) last_rejection_reasons_.clear();
  std::string& last_reason = last_rejection_reasons_[report.node];
  if (last_reason == reason) return;
  last_reason = reason;
  log_.line("reports of server " + report.node.substr(0, kMaxLoggedNameLength) + " are rejected: " + reason);
}

void ReportReceiver::closed(FrameServer::Id id) {
  std::optional<std::string> server = links_.remove_connection(id);
  if (server) targets_.router.handle_report_connection(*server, false, loop_.now());
}

// Sends the assignment to a server that has an older one or none.
void ReportReceiver::send_assignment(net::Connection& connection, const report::LoadReport& report) {
  fencing::ShardAssignment assignment = targets_.replica->assignment_for(report.node);
  if (assignment.epoch.number == 0 || assignment.incarnation != report.incarnation) return;
  if (report.epoch >= assignment.epoch) return;
  // A replica without a quorum cannot know whether the maintenance lease is still valid, so it must not tell
  // a server to restart.
  if (assignment.restart_version && !targets_.replica->has_quorum()) return;
  assignment.report_sequence = report.sequence;
  connection.write(report::encode(assignment));
}

}  // namespace myrtlecroft::control
