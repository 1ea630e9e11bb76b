#include "control/admin_client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <optional>

namespace myrtlecroft::control {
namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t{8} << 20;
constexpr std::size_t kLengthBytes = 4;  // big-endian, precedes the answer
constexpr std::size_t kReadBytes = 65'536;
constexpr int kTimeoutSeconds = 5;  // of each send and receive call

// A blocking TCP socket with timeouts; closed on destruction.
class Socket {
 public:
  Socket() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    timeval timeout{.tv_sec = kTimeoutSeconds, .tv_usec = 0};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { ::close(socket_); }

  bool connect(const sockaddr_in& server) const {
    return ::connect(socket_, reinterpret_cast<const sockaddr*>(&server), sizeof server) == 0;
  }
  bool send(const std::string& bytes) const {
    return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  // Reads until the peer closes the connection, a read times out, or kMaxAnswerBytes are received.
  std::string receive_all() const {
    std::string out;
    std::string chunk(kReadBytes, '\0');
    while (out.size() < kMaxAnswerBytes) {
      ssize_t received = ::recv(socket_, chunk.data(), chunk.size(), 0);
      if (received <= 0) break;
      out.append(chunk, 0, static_cast<std::size_t>(received));
    }
    return out;
  }

 private:
  int socket_;
};

// Returns nothing if the bytes are incomplete or not a valid message.
std::optional<AdminAnswer> decode_answer(const std::string& bytes) {
  if (bytes.size() < kLengthBytes) return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) size = size << 8 | static_cast<std::uint8_t>(bytes[i]);
  if (bytes.size() - kLengthBytes < size) return std::nullopt;
  AdminAnswer answer;
  if (!answer.ParseFromArray(bytes.data() + kLengthBytes, static_cast<int>(size))) return std::nullopt;
  return answer;
}

std::string error_message(AdminClientError::Kind kind, std::uint16_t port) {
  std::string at_port = " at port " + std::to_string(port);
  return kind == AdminClientError::Kind::kUnreachable
             ? "cannot reach a control service" + at_port
             : "incomplete answer from the control service" + at_port;
}

}  // namespace

AdminClientError::AdminClientError(Kind kind, std::uint16_t port)
    : std::runtime_error(error_message(kind, port)), kind_(kind), port_(port) {}

AdminAnswer AdminClient::call(const std::string& line) const {
  Socket socket;
  if (!socket.connect(server_) || !socket.send(line + "\n")) {
    throw AdminClientError(AdminClientError::Kind::kUnreachable, ntohs(server_.sin_port));
  }
  std::optional<AdminAnswer> answer = decode_answer(socket.receive_all());
  if (!answer) throw AdminClientError(AdminClientError::Kind::kIncompleteAnswer, ntohs(server_.sin_port));
  return *std::move(answer);
}

}  // namespace myrtlecroft::control
