#include "capacity/shard_owners.h"

#include <algorithm>
#include <map>
#include <regex>
#include <set>
#include <string>
#include <utility>

namespace myrtlecroft::capacity {
namespace {

// Not supported by std::regex; the keys here are lower case.
constexpr std::string_view kIgnoreCasePrefix = "(?i)";

std::string shard_key(std::size_t shard, int digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (int at = digits - 1; at >= 0; --at) out += kDigits[(shard >> (4 * at)) & 15];
  return out;
}

std::vector<std::size_t> shards_matching(const std::string& pattern, int digits) {
  std::regex compiled(pattern.starts_with(kIgnoreCasePrefix) ? pattern.substr(kIgnoreCasePrefix.size())
                                                             : pattern);
  std::vector<std::size_t> out;
  for (std::size_t shard = 0; shard < std::size_t{1} << (4 * digits); ++shard) {
    if (std::regex_match(shard_key(shard, digits), compiled)) out.push_back(shard);
  }
  return out;
}

}  // namespace

int shards_with_two_owners(const std::vector<hollow::ShardOwner>& rows, int shard_digits) {
  std::map<std::string, std::vector<std::size_t>> shards_by_pattern;
  std::map<std::pair<std::string, std::size_t>, std::set<std::string>> owners;
  for (const hollow::ShardOwner& row : rows) {
    auto [found, inserted] = shards_by_pattern.try_emplace(row.pattern());
    if (inserted) found->second = shards_matching(row.pattern(), shard_digits);
    for (std::size_t shard : found->second) owners[{row.route(), shard}].insert(row.owner());
  }
  auto out =
      std::count_if(owners.begin(), owners.end(), [](const auto& one) { return one.second.size() > 1; });
  return static_cast<int>(out);
}

}  // namespace myrtlecroft::capacity
