// One TCP connection: a bufferevent, one buffer for what came in, and the reason why it ended.
#pragma once

#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"
#include "service/ports.h"

namespace myrtlecroft::net {

// Why a connection ended: the code in its log line (docs/on-call.md).
enum class Reason {
  kPeerClosed,
  kReset,
  kRefused,
  kUnreachable,
  kIdle,
  kMalformed,
  kUnread,
  kSlow,
  kCrowded,
  kMoved,
  kSpent,
  kDone,
  kDrained
};
const char* code_of(Reason reason);

// What has come in and was not taken yet. Grows as it needs; what was taken is compacted away in place.
class InputBuffer {
 public:
  void append(evbuffer* from);
  std::string_view bytes() const { return {data_.data() + begin_, end_ - begin_}; }
  void take(std::size_t count);
  std::size_t size() const { return data_.size(); }

 private:
  std::vector<char> data_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

class Connection;

class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual void opened(Connection&) {}
  // The peer has closed its side. True: it may still read, and the connection stays until it is parted from.
  virtual bool half_closed(Connection&) { return false; }
  // Says how many of the bytes it has taken. More than it can take come again with what follows.
  virtual std::size_t came(Connection& connection, std::string_view bytes) = 0;
  // Once, from the loop; the owner may destroy the connection.
  virtual void ended(Connection& connection, Reason reason) = 0;
};

class Connection {
 public:
  static constexpr std::size_t kMostUnsentBelow = std::size_t{1} << 21;
  // `what` stands in its log line.
  Connection(event_base* base, evutil_socket_t accepted, ConnectionOwner& owner, service::LogPort& log,
             std::string what);
  // One that we depend on. Beyond `most_unsent` bytes that it does not take, it ends.
  Connection(event_base* base, const sockaddr_in& to, ConnectionOwner& owner, service::LogPort& log,
             std::string what, std::size_t most_unsent = kMostUnsentBelow);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void write(std::string_view bytes);
  // Ends it now. Everything ends here, and ended() follows from the loop.
  void end(Reason reason);
  // Ends it in order: what was written is sent, then ours is closed, then the peer has a moment to close its
  // own. What it sends meanwhile is not looked at.
  void part(Reason reason);
  // Its close is a reset: nothing stays behind of the many that are opened and closed by us.
  void leave_no_trace();
  bool parting() const { return parting_ || ending_; }
  bool ending() const { return ending_; }
  // Leaves what comes in the kernel, which then holds the peer back; and reads again.
  void pause_reading();
  void read_on();
  std::size_t bytes_held() const;  // of memory, for what came in and what waits to go out
  bool unread() const;             // something has come that was not looked at yet
  std::size_t unsent() const;      // bytes that the peer's side has not taken
  std::uint64_t bytes_in() const { return bytes_in_; }
  std::uint64_t bytes_taken() const { return bytes_out_ - unsent(); }
  bool was_open() const { return open_; }

 private:
  Connection(event_base* base, evutil_socket_t socket, std::size_t most_unsent, ConnectionOwner& owner,
             service::LogPort& log, std::string what);
  void came_up();
  void flushed();
  void count_end();
  static void on_read(bufferevent*, void* self);
  static void on_write(bufferevent*, void* self);
  static void on_event(bufferevent*, short what, void* self);

  ConnectionOwner& owner_;
  service::LogPort& log_;
  std::string what_;
  bufferevent* events_;
  InputBuffer input_;
  std::size_t most_unsent_;
  Timer end_timer_;
  Reason reason_ = Reason::kDone;
  bool open_ = false;
  bool parting_ = false;
  bool flushed_ = false;
  bool ending_ = false;
  bool closed_by_peer_ = false;
  std::uint64_t bytes_in_ = 0;
  std::uint64_t bytes_out_ = 0;
};

}  // namespace myrtlecroft::net
