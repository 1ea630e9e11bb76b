// Commands to a hollow process and its answers: framed messages over a pair of sockets, one answer for each
// command, in order.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "hollow.pb.h"
#include "net/connection.h"
#include "no_log.h"

namespace myrtlecroft::capacity {

// The side of the process that carries commands out. The loop stops when the other side is gone.
class CommandServer final : public net::ConnectionOwner {
 public:
  using Handler = std::function<hollow::Answer(const hollow::Command&)>;
  CommandServer(net::Loop& loop, int socket, Handler handler);

  std::size_t bytes_received(net::Connection& connection, std::string_view bytes) override;
  void ended(net::Connection&, net::CloseReason) override { loop_.stop(); }

 private:
  net::Loop& loop_;
  standin::NullLogger log_;
  Handler handler_;
  net::Connection connection_;
};

// The side that commands. Throws std::runtime_error where the process is gone or does not answer in time.
class CommandClient {
 public:
  CommandClient();
  ~CommandClient();
  CommandClient(const CommandClient&) = delete;
  CommandClient& operator=(const CommandClient&) = delete;

  // For the process that is started; to be closed here once it is.
  int remote() const { return remote_; }
  void close_remote();
  void send(const hollow::Command& command);
  hollow::Answer receive();

 private:
  void transfer(bool sending, char* bytes, std::size_t size);
  int local_ = -1;
  int remote_ = -1;
};

}  // namespace myrtlecroft::capacity
