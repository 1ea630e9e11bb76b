// Names, bounds and the index of servers.
#include "fleet/file_fields.h"

#include <algorithm>

namespace myrtlecroft::fleet {
namespace {

constexpr std::size_t kMaxNameLength = 64;

bool is_name_character(unsigned char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
         c == '.';
}

}  // namespace

std::string read_name(settings::Section& part) {
  std::string name = part.text("name");
  bool plain = std::all_of(name.begin(), name.end(), is_name_character);
  if (!plain || name.size() > kMaxNameLength) {
    part.fail("name", "is not a name of at most 64 letters, digits, '-', '_' and '.'");
  }
  return name;
}

MaxUnavailable read_max_unavailable(settings::Section& part, const char* field, MaxUnavailable otherwise) {
  if (!part.has(field)) {
    part.number_or(field, 1, 0, 1);  // so that the field counts as known
    return otherwise;
  }
  if (part.is_integer(field))
    return {.by_count = true, .max = static_cast<double>(part.integer(field, 0, kMaxNodes))};
  return {.by_count = false, .max = part.number(field, 0, 1)};
}

NodeIndex::NodeIndex(const std::vector<Node>& nodes) : nodes_(nodes) {
  for (std::uint32_t place = 0; place < nodes.size(); ++place) {
    by_name_[nodes[place].name] = {place};
    by_name_["zone " + nodes[place].zone].push_back(place);
  }
}

const ServerList::ServerIndices* NodeIndex::find(const std::string& name) const {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &found->second;
}

}  // namespace myrtlecroft::fleet
