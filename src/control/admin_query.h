// Parses an operator's query: one line with a topic and options that select rows, as in
// "nodes zone=a state=silent page=2". Called by AdminServer. No I/O, no state.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace myrtlecroft::control {

enum class Topic { kServers, kProxies, kSnapshot, kInstances, kMaintenance, kReleaseStatus };

// Which rows an operator asked for. An empty filter matches every row.
struct AdminQuery {
  Topic topic = Topic::kServers;
  std::string zone;      // of the server or proxy
  std::string state;     // of the server; for a snapshot, the server's health
  std::string name;      // prefix of the row's name
  std::size_t page = 1;  // counted from 1
};

// Why a line is not a valid query.
struct AdminQueryError {
  enum class Kind {
    kUnknownTopic,  // the line does not begin with a topic; it may be a command
    kBadOption      // an option is unknown for the topic, or its value is invalid
  };
  Kind kind = Kind::kUnknownTopic;
  std::string message;  // one line, for the operator; empty for kUnknownTopic
};

// Does not throw.
std::variant<AdminQuery, AdminQueryError> parse_admin_query(std::string_view line);

}  // namespace myrtlecroft::control
