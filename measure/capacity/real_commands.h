// Commands to a hollow process and its answers: length-prefixed messages over a socket pair, with one answer
// for each command, in order.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "hollow.pb.h"
#include "net/connection.h"
#include "no_log.h"

namespace myrtlecroft::capacity {

// The hollow process's side, which executes commands. Stops the loop when the connection ends.
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

// The measurement's side, which sends commands. Throws std::runtime_error when the process has exited or
// doesn't answer within 60 s.
class CommandClient {
 public:
  CommandClient();
  ~CommandClient();
  CommandClient(const CommandClient&) = delete;
  CommandClient& operator=(const CommandClient&) = delete;

  // The socket that the hollow process inherits; close it in this process once that one is started.
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
