#include "control/admin_query.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

#include "routing/server_registry.h"
#include "routing/snapshot.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kMaxPage = 1'000'000;

// A topic and the options that its queries accept.
struct TopicSyntax {
  std::string_view prefix;  // of the query line
  Topic topic;
  std::vector<std::string_view> options;
};

const std::vector<TopicSyntax>& topic_syntaxes() {
  static const std::vector<TopicSyntax> kSyntaxes = {
      {"nodes", Topic::kServers, {"zone", "state", "name", "page"}},
      {"proxies", Topic::kProxies, {"zone", "name", "page"}},
      {"snapshot", Topic::kSnapshot, {"zone", "state", "name", "page"}},
      {"instances", Topic::kInstances, {}},
      {"outings", Topic::kMaintenance, {"name", "page"}},
      {"release status", Topic::kReleaseStatus, {"page"}},
  };
  return kSyntaxes;
}

const TopicSyntax* find_syntax(std::string_view line) {
  for (const TopicSyntax& syntax : topic_syntaxes()) {
    if (line == syntax.prefix) return &syntax;
    if (line.starts_with(syntax.prefix) && line[syntax.prefix.size()] == ' ') return &syntax;
  }
  return nullptr;
}

std::vector<std::string_view> split_at_spaces(std::string_view line) {
  std::vector<std::string_view> out;
  while (!line.empty()) {
    std::size_t end = std::min(line.find(' '), line.size());
    if (end > 0) out.push_back(line.substr(0, end));
    line.remove_prefix(std::min(end + 1, line.size()));
  }
  return out;
}

std::string join_with_commas(const std::vector<std::string_view>& parts) {
  std::string out;
  for (std::string_view part : parts) out += (out.empty() ? "" : ", ") + std::string(part);
  return out;
}

std::vector<std::string_view> valid_states(Topic topic) {
  std::vector<std::string_view> out;
  if (topic == Topic::kSnapshot) {
    for (auto health :
         {routing::Health::kHealthy, routing::Health::kDraining, routing::Health::kOutOfRotation})
      out.push_back(routing_state::stored_name(health));
    return out;
  }
  for (int state = 0; state < routing::kServerStateCount; ++state)
    out.push_back(routing_state::stored_name(static_cast<routing::ServerState>(state)));
  return out;
}

bool contains(const std::vector<std::string_view>& list, std::string_view value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::optional<std::size_t> parse_page(std::string_view value) {
  std::size_t page = 0;
  auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), page);
  bool complete = error == std::errc() && end == value.data() + value.size();
  if (!complete || page < 1 || page > kMaxPage) return std::nullopt;
  return page;
}

AdminQueryError bad_option(std::string message) {
  return {.kind = AdminQueryError::Kind::kBadOption, .message = std::move(message)};
}

// Parses one option ("zone=a") into `out`. Returns nothing on success.
std::optional<AdminQueryError> set_option(const TopicSyntax& syntax, std::string_view text, AdminQuery& out) {
  std::size_t equals = text.find('=');
  const std::string option(text.substr(0, equals));
  const std::string value(equals == std::string_view::npos ? "" : text.substr(equals + 1));
  if (!contains(syntax.options, option)) {
    return bad_option(std::string(syntax.prefix) + " has no option '" + option + "'" +
                      (syntax.options.empty() ? "" : "; available are " + join_with_commas(syntax.options)));
  }
  if (value.empty()) return bad_option(option + " has no value");
  if (option == "page") {
    std::optional<std::size_t> page = parse_page(value);
    if (!page) return bad_option("page '" + value + "' is not a valid page number; pages start at 1");
    out.page = *page;
  }
  if (option == "state") {
    std::vector<std::string_view> states = valid_states(syntax.topic);
    if (!contains(states, value))
      return bad_option("state '" + value + "' is not one of " + join_with_commas(states));
    out.state = value;
  }
  if (option == "zone") out.zone = value;
  if (option == "name") out.name = value;
  return std::nullopt;
}

}  // namespace

std::variant<AdminQuery, AdminQueryError> parse_admin_query(std::string_view line) {
  const TopicSyntax* syntax = find_syntax(line);
  if (!syntax) return AdminQueryError{.kind = AdminQueryError::Kind::kUnknownTopic, .message = ""};
  AdminQuery query{.topic = syntax->topic, .zone = "", .state = "", .name = ""};
  for (std::string_view option : split_at_spaces(line.substr(syntax->prefix.size()))) {
    if (std::optional<AdminQueryError> error = set_option(*syntax, option, query)) return *std::move(error);
  }
  return query;
}

}  // namespace myrtlecroft::control
