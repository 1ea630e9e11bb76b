#include "capacity/shard_owners.h"

#include <algorithm>
#include <map>
#include <regex>
#include <set>
#include <string>
#include <utility>

namespace myrtlecroft::capacity {
namespace {

constexpr std::string_view kAnyCase = "(?i)";  // not supported by std::regex; the keys here are lower case

std::string key_of(std::size_t shard, int digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (int at = digits - 1; at >= 0; --at) out += kDigits[(shard >> (4 * at)) & 15];
  return out;
}

std::vector<std::size_t> shards_of(const std::string& pattern, int digits) {
  std::regex matching(pattern.starts_with(kAnyCase) ? pattern.substr(kAnyCase.size()) : pattern);
  std::vector<std::size_t> out;
  for (std::size_t shard = 0; shard < std::size_t{1} << (4 * digits); ++shard) {
    if (std::regex_match(key_of(shard, digits), matching)) out.push_back(shard);
  }
  return out;
}

}  // namespace

int shards_with_two_owners(const std::vector<hollow::ShardOwner>& words, int shard_digits) {
  std::map<std::string, std::vector<std::size_t>> known;  // shards by pattern
  std::map<std::pair<std::string, std::size_t>, std::set<std::string>> owners;
  for (const hollow::ShardOwner& word : words) {
    auto [found, fresh] = known.try_emplace(word.pattern());
    if (fresh) found->second = shards_of(word.pattern(), shard_digits);
    for (std::size_t shard : found->second) owners[{word.route(), shard}].insert(word.owner());
  }
  auto out =
      std::count_if(owners.begin(), owners.end(), [](const auto& one) { return one.second.size() > 1; });
  return static_cast<int>(out);
}

}  // namespace myrtlecroft::capacity
