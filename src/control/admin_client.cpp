#include "control/admin_client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kLargestAnswer = std::size_t{8} << 20;
constexpr int kAnswerWait = 5;  // seconds

class Socket {
 public:
  Socket() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { ::close(socket_); }
  int get() const { return socket_; }

 private:
  int socket_;
};

}  // namespace

AdminAnswer ask(const sockaddr_in& admin, const std::string& question) {
  Socket socket;
  timeval wait{.tv_sec = kAnswerWait, .tv_usec = 0};
  setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  std::string line = question + "\n";
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&admin), sizeof admin) != 0 ||
      ::send(socket.get(), line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
    throw std::runtime_error("no control service answers at port " + std::to_string(ntohs(admin.sin_port)));
  }
  std::string in;
  char buffer[65'536];
  while (in.size() < kLargestAnswer) {
    ssize_t got = ::recv(socket.get(), buffer, sizeof buffer, 0);
    if (got <= 0) break;
    in.append(buffer, static_cast<std::size_t>(got));
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < 4 && i < in.size(); ++i) size = size << 8 | static_cast<std::uint8_t>(in[i]);
  AdminAnswer out;
  if (in.size() < 4 || in.size() - 4 < size || !out.ParseFromArray(in.data() + 4, static_cast<int>(size))) {
    throw std::runtime_error("no whole answer from the control service");
  }
  return out;
}

}  // namespace myrtlecroft::control
