// Parsing of names and unavailability limits, and the index of servers.
#include "fleet/file_fields.h"

#include <algorithm>

namespace myrtlecroft::fleet {
namespace {

constexpr std::size_t kMaxNameLength = 64;  // bytes

bool is_name_character(unsigned char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
         c == '.';
}

}  // namespace

std::string read_name(settings::Section& section) {
  std::string name = section.text("name");
  bool is_valid = std::all_of(name.begin(), name.end(), is_name_character);
  if (!is_valid || name.size() > kMaxNameLength) {
    section.fail("name", "is not a name of at most 64 letters, digits, '-', '_' and '.'");
  }
  return name;
}

MaxUnavailable read_max_unavailable(settings::Section& section, const char* field,
                                    MaxUnavailable default_value) {
  if (!section.has(field)) {
    section.number_or(field, 1, 0, 1);  // marks the field as known, for reject_unknown_fields()
    return default_value;
  }
  if (section.is_integer(field))
    return {.by_count = true, .max = static_cast<double>(section.integer(field, 0, kMaxNodes))};
  return {.by_count = false, .max = section.number(field, 0, 1)};
}

NodeIndex::NodeIndex(const std::vector<Node>& nodes) : nodes_(nodes) {
  for (std::uint32_t server_index = 0; server_index < nodes.size(); ++server_index) {
    by_name_[nodes[server_index].name] = {server_index};
    by_name_["zone " + nodes[server_index].zone].push_back(server_index);
  }
}

const ServerList::ServerIndices* NodeIndex::find(const std::string& name) const {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &found->second;
}

}  // namespace myrtlecroft::fleet
