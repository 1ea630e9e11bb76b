// Room for descriptors, taken before it is needed.
#pragma once

#include <cstddef>

namespace myrtlecroft::net {

// Makes the kernel's table of this process's descriptors as large as `most` of them need, or as the limit of
// the process allows. To be called while the process has one thread. Without it the table grows at the 65th,
// 257th, 513th ... descriptor, and with a second thread the kernel then lets no accept or connect return
// before every core has passed through a quiet state, on a busy machine for seconds (synchronize_rcu in
// expand_files). Harm: 8 bytes for each descriptor.
void reserve_descriptors(std::size_t max);

}  // namespace myrtlecroft::net
