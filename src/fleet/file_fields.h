// Helpers shared by the parsers of the fleet file: names, unavailability limits, lists of named entries and
// references to servers.
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

// Limits of the fleet file. kMaxRequestClasses also limits the services.
constexpr std::size_t kMaxNodes = 10'000;
constexpr std::size_t kMaxRequestClasses = 10'000;
constexpr std::int64_t kMaxTimeMs = 86'400'000;  // one day

// Reads the field `name`. Throws settings::DocumentError if the name is longer than 64 bytes or has a
// character other than letters, digits, '-', '_' and '.': names become part of resource names and log lines.
std::string read_name(settings::Section& section);

// Reads a limit of unavailability: an integer is a number of servers, any other number a share of the
// capacity.
MaxUnavailable read_max_unavailable(settings::Section& section, const char* field,
                                    MaxUnavailable default_value);

// Finds servers by name and by zone without a linear search for each name in a list. Refers to `nodes`, which
// must outlive the index.
class NodeIndex {
 public:
  explicit NodeIndex(const std::vector<Node>& nodes);
  // Returns the index of the server of that name, or the indices of all servers of a zone for "zone NAME";
  // nullptr if no server or zone has that name.
  const ServerList::ServerIndices* find(const std::string& name) const;
  const Node& node(std::uint32_t server_index) const { return nodes_[server_index]; }
  std::size_t size() const { return nodes_.size(); }

 private:
  const std::vector<Node>& nodes_;
  std::unordered_map<std::string, ServerList::ServerIndices> by_name_;
};

// Reads the list `field`, each entry with `read`. Throws settings::DocumentError if the list has more than
// `max` entries or if two entries have the same name.
template <class Entry, class Read>
std::vector<Entry> read_list(settings::Section& root, const char* field, std::size_t max, Read read) {
  std::vector<Entry> out;
  std::set<std::string> names;
  std::vector<settings::Section> sections = root.list(field);
  if (sections.size() > max) root.fail(field, "has more than " + std::to_string(max) + " entries");
  for (const settings::Section& section : sections) {
    out.push_back(read(section));
    if (!names.insert(out.back().name).second)
      section.fail("name", "is a duplicate: '" + out.back().name + "'");
  }
  return out;
}

}  // namespace myrtlecroft::fleet
