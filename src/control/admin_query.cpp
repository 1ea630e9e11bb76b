#include "control/admin_query.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include "routing/server_registry.h"
#include "routing/snapshot.h"
#include "routing_state/stored_names.h"

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kMaxPage = 1'000'000;

struct TopicRule {
  std::string_view line;  // what the question begins with
  Topic topic;
  std::vector<std::string_view> options;
};

const std::vector<TopicRule>& topic_rules() {
  static const std::vector<TopicRule> rules = {
      {"nodes", Topic::kNodes, {"zone", "state", "name", "page"}},
      {"proxies", Topic::kProxies, {"zone", "name", "page"}},
      {"snapshot", Topic::kSnapshot, {"zone", "state", "name", "page"}},
      {"instances", Topic::kInstances, {}},
      {"outings", Topic::kOutings, {"name", "page"}},
      {"release status", Topic::kReleaseStatus, {"page"}},
  };
  return rules;
}

const TopicRule* rule_of(std::string_view line) {
  for (const TopicRule& rule : topic_rules()) {
    if (line == rule.line) return &rule;
    if (line.starts_with(rule.line) && line[rule.line.size()] == ' ') return &rule;
  }
  return nullptr;
}

std::vector<std::string_view> words_of(std::string_view line) {
  std::vector<std::string_view> out;
  while (!line.empty()) {
    std::size_t end = std::min(line.find(' '), line.size());
    if (end > 0) out.push_back(line.substr(0, end));
    line.remove_prefix(std::min(end + 1, line.size()));
  }
  return out;
}

std::string joined(const std::vector<std::string_view>& words) {
  std::string out;
  for (std::string_view word : words) out += (out.empty() ? "" : ", ") + std::string(word);
  return out;
}

std::vector<std::string_view> states_of(Topic topic) {
  std::vector<std::string_view> out;
  if (topic == Topic::kSnapshot) {
    for (auto health : {routing::Health::kHealthy, routing::Health::kDraining, routing::Health::kOut})
      out.push_back(routing_state::stored_name(health));
    return out;
  }
  for (int state = 0; state < routing::kStates; ++state)
    out.push_back(routing_state::stored_name(static_cast<routing::ServerState>(state)));
  return out;
}

bool read_page(std::string_view value, std::size_t& page) {
  auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), page);
  return error == std::errc() && end == value.data() + value.size() && page >= 1 && page <= kMaxPage;
}

// What is wrong with one option, or empty.
std::string read_option(const TopicRule& rule, std::string_view word, AdminQuery& out) {
  std::size_t equals = word.find('=');
  std::string_view option = word.substr(0, equals);
  std::string_view value = equals == std::string_view::npos ? "" : word.substr(equals + 1);
  bool known = std::find(rule.options.begin(), rule.options.end(), option) != rule.options.end();
  if (!known) {
    return std::string(rule.line) + " takes no '" + std::string(option) + "'" +
           (rule.options.empty() ? "" : "; there are " + joined(rule.options));
  }
  if (value.empty()) return std::string(option) + " has no value";
  if (option == "page" && !read_page(value, out.page))
    return "page '" + std::string(value) + "' is no number from 1";
  if (option == "state") {
    std::vector<std::string_view> states = states_of(rule.topic);
    if (std::find(states.begin(), states.end(), value) == states.end())
      return "state '" + std::string(value) + "' is none of " + joined(states);
    out.state = value;
  }
  if (option == "zone") out.zone = value;
  if (option == "name") out.name = value;
  return "";
}

}  // namespace

Reading read_question(std::string_view line, AdminQuery& out, std::string& fault) {
  const TopicRule* rule = rule_of(line);
  if (!rule) return Reading::kOtherTopic;
  out = AdminQuery{.topic = rule->topic, .zone = "", .state = "", .name = ""};
  for (std::string_view word : words_of(line.substr(rule->line.size()))) {
    fault = read_option(*rule, word, out);
    if (!fault.empty()) return Reading::kBadOption;
  }
  return Reading::kGood;
}

}  // namespace myrtlecroft::control
