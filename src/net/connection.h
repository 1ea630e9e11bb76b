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
enum class CloseReason {
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
  kSilent,
  kSpent,
  kDone,
  kDrained
};
const char* code_of(CloseReason reason);

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
  // The peer has closed its side. True: it may still read, and the connection stays until it is closed from
  // here.
  virtual bool half_closed(Connection&) { return false; }
  // Says how many of the bytes it has taken. More than it can take come again with what follows.
  virtual std::size_t bytes_received(Connection& connection, std::string_view bytes) = 0;
  // All that was written has been sent.
  virtual void flushed(Connection&) {}
  // Once, from the loop; the owner may destroy the connection.
  virtual void ended(Connection& connection, CloseReason reason) = 0;
};

class Connection {
 public:
  static constexpr std::size_t kMaxUnsentBelow = std::size_t{1} << 21;
  // `what` stands in its log line.
  Connection(event_base* base, evutil_socket_t accepted, ConnectionOwner& owner, service::Logger& log,
             std::string what);
  // One that we depend on. Beyond `max_unsent` bytes that it does not take, it ends.
  Connection(event_base* base, const sockaddr_in& to, ConnectionOwner& owner, service::Logger& log,
             std::string what, std::size_t max_unsent = kMaxUnsentBelow);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void write(std::string_view bytes);
  // Ends it now, with what was not sent. Everything ends here, and ended() follows from the loop.
  void end(CloseReason reason);
  // A lingering close: what was written is sent, ours is closed, and then the peer's own end is waited for. A
  // close with something unread, or before the peer's last bytes have come, is a reset that may take an
  // unread answer with it. What comes from here on is drained and not looked at. Ends `within` that time at
  // the latest.
  void linger(CloseReason reason, Nanos within = 0);
  // Lingers by itself after that time, unless it is asked to stay on.
  void linger_after(Nanos time, CloseReason reason);
  void stay_on();
  // Its close is a reset: nothing stays behind of the many that are opened and closed by us.
  void set_reset_on_close();
  bool closing() const { return stage_ != Stage::kOpen; }  // lingers, or is over
  bool ending() const { return stage_ == Stage::kEnding; }
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
  Connection(event_base* base, evutil_socket_t socket, std::size_t max_unsent, ConnectionOwner& owner,
             service::Logger& log, std::string what);
  enum class Stage { kOpen, kFlushing, kLingering, kEnding };

  void came_up();
  void half_close();
  void expired();
  void finish();
  static void on_read(bufferevent*, void* self);
  static void on_write(bufferevent*, void* self);
  static void on_event(bufferevent*, short what, void* self);

  ConnectionOwner& owner_;
  service::Logger& log_;
  std::string what_;
  bufferevent* events_;
  InputBuffer input_;
  std::size_t max_unsent_;
  Timer timer_;  // of its stage
  Stage stage_ = Stage::kOpen;
  CloseReason reason_ = CloseReason::kDone;
  Nanos linger_within_ = 0;
  bool open_ = false;
  bool closed_by_peer_ = false;
  std::uint64_t bytes_in_ = 0;
  std::uint64_t bytes_out_ = 0;
};

}  // namespace myrtlecroft::net
