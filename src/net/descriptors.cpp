#include "net/descriptors.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace myrtlecroft::net {

void reserve_descriptors(std::size_t max) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  int last = static_cast<int>(std::min<rlim_t>(max, limit.rlim_cur)) - 1;
  if (last < 0 || fcntl(last, F_GETFD) >= 0) return;
  int any = open("/dev/null", O_RDONLY | O_CLOEXEC);
  if (any < 0) return;
  if (any != last && dup3(any, last, O_CLOEXEC) == last) close(last);
  close(any);
}

}  // namespace myrtlecroft::net
