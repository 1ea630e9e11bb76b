// Whether callers' sets agree on who runs which keys. No I/O.
#pragma once

#include <vector>

#include "hollow.pb.h"

namespace myrtlecroft::capacity {

// Shards of a route, by the patterns of keys as a caller would match them, that have more than one owner.
int shards_with_two_owners(const std::vector<hollow::ShardOwner>& words, int shard_digits);

}  // namespace myrtlecroft::capacity
