#include "capacity/real_commands.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace myrtlecroft::capacity {
namespace {

constexpr std::size_t kHeaderSize = 4;  // bytes; the big-endian length of the message
constexpr int kTimeoutSeconds = 60;     // seconds, for an answer

std::string encode_frame(const google::protobuf::Message& message) {
  std::string body = message.SerializeAsString();
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(body.size() >> shift & 0xff);
  return out + body;
}

std::size_t decode_length(std::string_view header) {
  std::size_t out = 0;
  for (std::size_t i = 0; i < kHeaderSize; ++i) out = out << 8 | static_cast<std::uint8_t>(header[i]);
  return out;
}

}  // namespace

CommandServer::CommandServer(net::Loop& loop, int socket, Handler handler)
    : loop_(loop), handler_(std::move(handler)), connection_(loop.base(), socket, *this, log_, "commands") {}

std::size_t CommandServer::bytes_received(net::Connection& connection, std::string_view bytes) {
  if (bytes.size() < kHeaderSize || bytes.size() - kHeaderSize < decode_length(bytes)) return 0;
  std::size_t size = decode_length(bytes);
  hollow::Command command;
  if (!command.ParseFromArray(bytes.data() + kHeaderSize, static_cast<int>(size))) {
    connection.end(net::CloseReason::kMalformed);
  } else {
    connection.write(encode_frame(handler_(command)));
  }
  return kHeaderSize + size;
}

CommandClient::CommandClient() {
  int sockets[2] = {-1, -1};
  if (::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) != 0)
    throw std::runtime_error("can't create a socket pair");
  local_ = sockets[0];
  remote_ = sockets[1];
  ::fcntl(local_, F_SETFD, FD_CLOEXEC);
  ::fcntl(remote_, F_SETFL, O_NONBLOCK);
  timeval timeout{.tv_sec = kTimeoutSeconds, .tv_usec = 0};
  ::setsockopt(local_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ::setsockopt(local_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

CommandClient::~CommandClient() {
  close_remote();
  ::close(local_);
}

void CommandClient::close_remote() {
  if (remote_ >= 0) ::close(std::exchange(remote_, -1));
}

void CommandClient::transfer(bool sending, char* bytes, std::size_t size) {
  while (size > 0) {
    ssize_t transferred =
        sending ? ::send(local_, bytes, size, MSG_NOSIGNAL) : ::recv(local_, bytes, size, 0);
    if (transferred <= 0) throw std::runtime_error("a hollow process exited or does not answer");
    bytes += transferred;
    size -= static_cast<std::size_t>(transferred);
  }
}

void CommandClient::send(const hollow::Command& command) {
  std::string bytes = encode_frame(command);
  transfer(true, bytes.data(), bytes.size());
}

hollow::Answer CommandClient::receive() {
  std::string bytes(kHeaderSize, '\0');
  transfer(false, bytes.data(), bytes.size());
  bytes.resize(decode_length(bytes));
  transfer(false, bytes.data(), bytes.size());
  hollow::Answer out;
  if (!out.ParseFromString(bytes)) throw std::runtime_error("a hollow process sent a malformed answer");
  return out;
}

}  // namespace myrtlecroft::capacity
