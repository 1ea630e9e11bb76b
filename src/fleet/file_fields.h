// What the parts of the fleet file have in common: names, bounds, lists of named entries, references to
// servers.
//
// Called by fleet_file.cpp and request_class_file.cpp only.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"
#include "settings/document.h"

namespace myrtlecroft::fleet {

constexpr std::size_t kMaxNodes = 10'000;
constexpr std::size_t kMaxRequestClasses = 10'000;
constexpr std::int64_t kMaxTimeMs = 86'400'000;  // a day

// The field `name`. Throws where it has anything but letters, digits, '-', '_' and '.': names stand in
// resource names and log lines.
std::string read_name(settings::Section& part);

// A whole number is a count of servers, any other number a share of the capacity.
MaxUnavailable read_max_unavailable(settings::Section& part, const char* field, MaxUnavailable otherwise);

// Servers by name and by zone. Without it each name in a list would be looked for among all servers. Refers
// to `nodes`, which must outlive it.
class NodeIndex {
 public:
  explicit NodeIndex(const std::vector<Node>& nodes);
  // The places of a server, or of all servers of "zone NAME"; nullptr where it is neither.
  const ServerList::ServerIndices* find(const std::string& name) const;
  const Node& node(std::uint32_t place) const { return nodes_[place]; }
  std::size_t size() const { return nodes_.size(); }

 private:
  const std::vector<Node>& nodes_;
  std::unordered_map<std::string, ServerList::ServerIndices> by_name_;
};

// The list `field` with each entry read by `read`. Throws where it is too long, or at the second of two
// entries of the same name.
template <class Entry, class Read>
std::vector<Entry> read_list(settings::Section& root, const char* field, std::size_t max, Read read) {
  std::vector<Entry> out;
  std::set<std::string> names;
  std::vector<settings::Section> parts = root.list(field);
  if (parts.size() > max) root.fail(field, "has more than " + std::to_string(max) + " entries");
  for (const settings::Section& part : parts) {
    out.push_back(read(part));
    if (!names.insert(out.back().name).second) part.fail("name", "comes twice: '" + out.back().name + "'");
  }
  return out;
}

}  // namespace myrtlecroft::fleet
