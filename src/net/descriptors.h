// Sizes the descriptor table of the process in advance.
#pragma once

#include <cstddef>

namespace myrtlecroft::net {

// Grows the kernel's descriptor table of this process to `max` entries, or to RLIMIT_NOFILE if that is lower.
// Call it while the process has a single thread. Otherwise the table grows at the 65th, 257th, 513th ...
// descriptor, and in a process with several threads the accept or connect that needs it then waits until
// every core has passed through an RCU quiescent state, for seconds on a busy machine (synchronize_rcu in
// expand_files). It costs 8 bytes for each descriptor. Does nothing when it fails.
void reserve_descriptors(std::size_t max);

}  // namespace myrtlecroft::net
