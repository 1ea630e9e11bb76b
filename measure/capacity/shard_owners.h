// Checks that the callers' sets agree on the owner of each key shard. No I/O.
#pragma once

#include <vector>

#include "hollow.pb.h"

namespace myrtlecroft::capacity {

// Counts the shards of each route that have more than one owner. Matches the key patterns as a caller does.
// Throws std::regex_error when a pattern is malformed.
int shards_with_two_owners(const std::vector<hollow::ShardOwner>& rows, int shard_digits);

}  // namespace myrtlecroft::capacity
