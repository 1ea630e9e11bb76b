// A TCP connection of the event loop: a libevent bufferevent, an input buffer, and the reason for its end.
// Everything here belongs to the loop's thread.
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
  kIdle,       // no open request for longer than the idle limit
  kMalformed,  // input that is not of the protocol, or a reply that stays incomplete
  kUnread,     // the peer does not read: too many bytes unsent, or unsent for too long
  kSlow,       // the client sends too slowly
  kCrowded,    // closed to make room for other connections
  kMoved,      // the service has a new address
  kSilent,     // nothing received for too long
  kSpent,      // its call was abandoned
  kDone,       // ended as intended
  kDrained     // this server is shutting down
};
const char* close_reason_code(CloseReason reason);

// Bytes received and not yet consumed. The buffer grows as needed; append() moves the remaining bytes to its
// front when the space behind them is too small.
class InputBuffer {
 public:
  void append(evbuffer* from);
  std::string_view bytes() const { return {data_.data() + begin_, end_ - begin_}; }
  void consume(std::size_t count);
  std::size_t size() const { return data_.size(); }  // allocated bytes

 private:
  std::vector<char> data_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

class Connection;

// Receives the events of a connection, on the loop's thread.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  // An outgoing connection has been established.
  virtual void opened(Connection&) {}
  // The peer has closed its sending side. Returns true when the peer may still read: the connection then
  // stays open until the owner closes it. Otherwise it ends at once.
  virtual bool half_closed(Connection&) { return false; }
  // Returns how many of the bytes were consumed. The others are passed again, together with the next ones.
  virtual std::size_t bytes_received(Connection& connection, std::string_view bytes) = 0;
  // All written bytes have been passed to the kernel.
  virtual void flushed(Connection&) {}
  // Called exactly once, from the event loop; the owner may destroy the connection in it.
  virtual void ended(Connection& connection, CloseReason reason) = 0;
};

class Connection {
 public:
  static constexpr std::size_t kMaxUnsentOutgoing = std::size_t{1} << 21;  // bytes
  // An accepted connection. `description` begins its log line, which is written when it ends.
  Connection(event_base* base, evutil_socket_t accepted_socket, ConnectionOwner& owner, service::Logger& log,
             std::string description);
  // An outgoing connection to a service that this process depends on. It ends with kUnread when more than
  // `max_unsent` bytes wait to be sent.
  Connection(event_base* base, const sockaddr_in& to, ConnectionOwner& owner, service::Logger& log,
             std::string description, std::size_t max_unsent = kMaxUnsentOutgoing);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Queues the bytes for sending. Ends the connection with kUnread when more than the limit is unsent.
  void write(std::string_view bytes);
  // Closes at once and discards unsent bytes. ended() follows from the event loop.
  void end(CloseReason reason);
  // Lingering close: sends what was written, closes the sending side, and waits for the peer to close its
  // own. Closing a socket with unread input, or before the peer's last bytes have arrived, sends a reset,
  // which can destroy an answer that the peer has not read yet. Input from now on is discarded. The wait ends
  // after `timeout` or a short minimum, whichever is longer.
  void linger(CloseReason reason, Nanos timeout = 0);
  // Begins a lingering close after `delay`, or just ends if bytes are still unsent then, unless
  // cancel_scheduled_linger() is called before.
  void schedule_linger(Nanos delay, CloseReason reason);
  void cancel_scheduled_linger();
  // Makes the close a reset, so that the many short connections that this side opens and closes leave no
  // sockets in TIME_WAIT.
  void set_reset_on_close();
  bool closing() const { return stage_ != Stage::kOpen; }  // lingering or ended
  bool ending() const { return stage_ == Stage::kEnding; }
  // While reading is paused, input stays in the kernel's buffer, and TCP flow control stops the peer.
  void pause_reading();
  void resume_reading();
  std::size_t buffered_bytes() const;  // the input buffer, and output not yet sent
  bool has_unread_input() const;       // the kernel has input that was not read yet
  std::size_t unsent() const;          // bytes not yet passed to the kernel
  std::uint64_t bytes_in() const { return bytes_in_; }
  std::uint64_t bytes_sent() const { return bytes_out_ - unsent(); }
  // Whether the connection was ever established.
  bool was_open() const { return was_open_; }

 private:
  Connection(event_base* base, evutil_socket_t socket, std::size_t max_unsent, ConnectionOwner& owner,
             service::Logger& log, std::string description);
  enum class Stage { kOpen, kFlushing, kLingering, kEnding };

  void mark_connected();
  void half_close();
  void handle_timeout();
  void finish();
  static void on_read(bufferevent*, void* context);
  static void on_write(bufferevent*, void* context);
  static void on_event(bufferevent*, short flags, void* context);

  ConnectionOwner& owner_;
  service::Logger& log_;
  std::string description_;
  bufferevent* events_;
  InputBuffer input_;
  std::size_t max_unsent_;
  Timer timer_;  // the time limit of the current stage
  Stage stage_ = Stage::kOpen;
  CloseReason reason_ = CloseReason::kDone;
  Nanos linger_timeout_ = 0;
  bool was_open_ = false;
  bool closed_by_peer_ = false;
  std::uint64_t bytes_in_ = 0;
  std::uint64_t bytes_out_ = 0;
};

}  // namespace myrtlecroft::net
