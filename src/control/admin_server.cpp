#include "control/admin_server.h"

#include <optional>
#include <utility>
#include <variant>

#include "control/admin_answer_writer.h"

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kMaxConnections = 16;
constexpr std::size_t kMaxLineBytes = 8192;  // "release start" carries the whole plan
const std::string kUnknownStandaloneQuery = "unknown query; available are nodes, proxies and snapshot";

bool requires_replication(Topic topic) {
  return topic == Topic::kInstances || topic == Topic::kMaintenance || topic == Topic::kReleaseStatus;
}

}  // namespace

AdminServer::AdminServer(net::Loop& loop, service::Logger& log, const sockaddr_in& address, Sources sources)
    : status_(std::move(sources.status)),
      queries_(loop, sources.router, sources.discovery, sources.replicated),
      commands_(sources.replicated ? std::make_unique<AdminCommands>(loop, *sources.replicated) : nullptr),
      server_(loop, log, address, "admin", kMaxConnections,
              {.received = [this](FrameServer::Id id, net::Connection& connection,
                                  std::string_view bytes) { return received(id, connection, bytes); },
               .closed =
                   [this](FrameServer::Id id) {
                     if (commands_) commands_->connection_closed(id);
                   }}) {}

void AdminServer::tick() {
  if (commands_) commands_->tick();
}

std::size_t AdminServer::received(FrameServer::Id id, net::Connection& connection, std::string_view bytes) {
  std::size_t end = bytes.find('\n');
  if (end == std::string_view::npos) {
    if (bytes.size() > kMaxLineBytes) connection.end(net::CloseReason::kMalformed);
    return 0;
  }
  std::string line(bytes.substr(0, end));
  if (commands_ && AdminCommands::is_maintenance_command(line)) {
    commands_->submit(id, connection, line, queries_.summary(status_()));
  } else {
    write_answer(connection, answer(line));
  }
  return bytes.size();
}

AdminAnswer AdminServer::answer(const std::string& line) {
  AdminAnswer out = queries_.summary(status_());
  std::variant<AdminQuery, AdminQueryError> parsed = parse_admin_query(line);
  if (const auto* query = std::get_if<AdminQuery>(&parsed)) {
    if (commands_ || !requires_replication(query->topic)) {
      queries_.add_rows(*query, out);
    } else {
      out.set_error(kUnknownStandaloneQuery);
    }
    return out;
  }
  const AdminQueryError& error = std::get<AdminQueryError>(parsed);
  if (error.kind == AdminQueryError::Kind::kBadOption) {
    out.set_error(error.message);
  } else if (!commands_) {
    out.set_error(kUnknownStandaloneQuery);
  } else if (std::optional<AdminCommandError> command_error = commands_->start_membership_change(line)) {
    out.set_error(command_error->message);
  } else {
    out.set_done("started");
  }
  return out;
}

}  // namespace myrtlecroft::control
