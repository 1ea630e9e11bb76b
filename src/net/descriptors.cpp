#include "net/descriptors.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace myrtlecroft::net {

void reserve_descriptors(std::size_t max) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  int last_descriptor = static_cast<int>(std::min<rlim_t>(max, limit.rlim_cur)) - 1;
  if (last_descriptor < 0 || fcntl(last_descriptor, F_GETFD) >= 0) return;
  int placeholder = open("/dev/null", O_RDONLY | O_CLOEXEC);
  if (placeholder < 0) return;
  if (placeholder != last_descriptor && dup3(placeholder, last_descriptor, O_CLOEXEC) == last_descriptor)
    close(last_descriptor);
  close(placeholder);
}

}  // namespace myrtlecroft::net
