// Parses an operator's query, one line: a topic, and which of its rows: "nodes zone=a state=silent page=2".
// Called by AdminServer. No I/O, no state.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace myrtlecroft::control {

enum class Topic { kServers, kProxies, kSnapshot, kInstances, kMaintenance, kReleaseStatus };

struct AdminQuery {
  Topic topic = Topic::kServers;
  std::string zone;      // of the rows; empty: any
  std::string state;     // of the rows; empty: any; of a snapshot's servers, their health
  std::string name;      // the prefix of the row's name; empty: any
  std::size_t page = 1;  // from 1
};

struct AdminQueryError {
  enum class Kind {
    kUnknownTopic,  // the line begins with none of the topics; it may be a command
    kBadOption
  };
  Kind kind = Kind::kUnknownTopic;
  std::string message;  // for the operator, one line; empty for an unknown topic
};

std::variant<AdminQuery, AdminQueryError> parse_admin_query(std::string_view line);

}  // namespace myrtlecroft::control
