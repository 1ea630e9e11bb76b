#include "net/connection.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <new>
#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr std::size_t kMaxUnsentAccepted = std::size_t{1} << 18;  // bytes, of an accepted connection
constexpr std::size_t kMaxIdleBufferBytes = 4096;                 // an empty buffer larger than this is freed
// Bytes of one connection in one iteration of the event loop, so that a connection with much data does not
// starve the others. Outgoing connections are few, and their input is handled first.
constexpr std::size_t kMaxBytesPerRead = 16'384;
constexpr std::size_t kMaxBytesPerWrite = 16'384;
constexpr std::size_t kMaxBytesPerReadOutgoing = 65'536;
// Size of an accepted socket's send buffer in bytes; the kernel doubles it. By default the kernel would
// buffer megabytes for a peer that reads nothing, and they would count as sent.
constexpr int kSendBufferBytes = 65'536;
constexpr Nanos kMinFlushTimeout = 1'000 * kMs;  // for a peer that reads slowly
constexpr Nanos kMinLingerTimeout = 100 * kMs;   // when no answer waits to be read

CloseReason close_reason_for_error(int error, bool was_open) {
  if (error == ECONNREFUSED) return CloseReason::kRefused;
  return was_open ? CloseReason::kReset : CloseReason::kUnreachable;
}

}  // namespace

const char* close_reason_code(CloseReason reason) {
  switch (reason) {
    case CloseReason::kPeerClosed:
      return "peer-closed";
    case CloseReason::kReset:
      return "reset";
    case CloseReason::kRefused:
      return "refused";
    case CloseReason::kUnreachable:
      return "unreachable";
    case CloseReason::kIdle:
      return "idle";
    case CloseReason::kMalformed:
      return "malformed";
    case CloseReason::kUnread:
      return "unread";
    case CloseReason::kSlow:
      return "slow";
    case CloseReason::kCrowded:
      return "crowded";
    case CloseReason::kMoved:
      return "moved";
    case CloseReason::kSilent:
      return "silent";
    case CloseReason::kSpent:
      return "spent";
    case CloseReason::kDone:
      return "done";
    case CloseReason::kDrained:
      return "drained";
  }
  return "unknown";
}

void InputBuffer::append(evbuffer* from) {
  std::size_t available = evbuffer_get_length(from);
  if (data_.size() - end_ < available && begin_ > 0) {
    std::memmove(data_.data(), data_.data() + begin_, end_ - begin_);
    end_ -= std::exchange(begin_, 0);
  }
  if (data_.size() - end_ < available) data_.resize(std::max(end_ + available, 2 * data_.size()));
  int bytes_read = evbuffer_remove(from, data_.data() + end_, available);
  if (bytes_read > 0) end_ += static_cast<std::size_t>(bytes_read);
}

void InputBuffer::consume(std::size_t count) {
  begin_ += count;
  if (begin_ < end_) return;
  begin_ = end_ = 0;
  if (data_.size() > kMaxIdleBufferBytes) data_ = {};
}

Connection::Connection(event_base* base, evutil_socket_t socket, std::size_t max_unsent,
                       ConnectionOwner& owner, service::Logger& log, std::string description)
    : owner_(owner),
      log_(log),
      description_(std::move(description)),
      events_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)),
      max_unsent_(max_unsent),
      timer_(base, [this] { handle_timeout(); }) {
  if (!events_) throw std::bad_alloc();
  bufferevent_setcb(events_, on_read, on_write, on_event, this);
  bufferevent_set_max_single_read(events_, kMaxBytesPerRead);
  bufferevent_set_max_single_write(events_, kMaxBytesPerWrite);
  bufferevent_enable(events_, EV_READ | EV_WRITE);
}

Connection::Connection(event_base* base, evutil_socket_t accepted_socket, ConnectionOwner& owner,
                       service::Logger& log, std::string description)
    : Connection(base, accepted_socket, kMaxUnsentAccepted, owner, log, std::move(description)) {
  mark_connected();
  setsockopt(accepted_socket, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
}

Connection::Connection(event_base* base, const sockaddr_in& to, ConnectionOwner& owner, service::Logger& log,
                       std::string description, std::size_t max_unsent)
    : Connection(base, -1, max_unsent, owner, log, std::move(description)) {
  bufferevent_set_max_single_read(events_, kMaxBytesPerReadOutgoing);
  if (bufferevent_socket_connect(events_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    end(close_reason_for_error(errno, false));
  }
}

void Connection::mark_connected() {
  was_open_ = true;
  int enabled = 1;
  setsockopt(bufferevent_getfd(events_), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

void Connection::set_reset_on_close() {
  struct linger zero_linger {
    .l_onoff = 1, .l_linger = 0
  };
  setsockopt(bufferevent_getfd(events_), SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
}

Connection::~Connection() { bufferevent_free(events_); }

void Connection::write(std::string_view bytes) {
  if (ending()) return;
  bytes_out_ += bytes.size();
  bufferevent_write(events_, bytes.data(), bytes.size());
  if (unsent() > max_unsent_) end(CloseReason::kUnread);
}

void Connection::end(CloseReason reason) {
  if (ending()) return;
  if (!closing()) reason_ = reason;
  stage_ = Stage::kEnding;
  bufferevent_disable(events_, EV_READ | EV_WRITE);
  timer_.set(0);
}

std::size_t Connection::unsent() const { return evbuffer_get_length(bufferevent_get_output(events_)); }

std::size_t Connection::buffered_bytes() const { return input_.size() + unsent(); }

void Connection::pause_reading() {
  if (!closing()) bufferevent_disable(events_, EV_READ);
}

void Connection::resume_reading() {
  if (!ending() && !closed_by_peer_) bufferevent_enable(events_, EV_READ);
}

bool Connection::has_unread_input() const {
  int bytes = 0;
  return ::ioctl(bufferevent_getfd(events_), FIONREAD, &bytes) == 0 && bytes > 0;
}

void Connection::linger(CloseReason reason, Nanos timeout) {
  if (closing()) return;
  stage_ = Stage::kFlushing;
  reason_ = reason;
  linger_timeout_ = timeout;
  timer_.set(std::max(linger_timeout_, kMinFlushTimeout));
  resume_reading();
  if (unsent() == 0) half_close();
}

void Connection::schedule_linger(Nanos delay, CloseReason reason) {
  if (closing()) return;
  reason_ = reason;
  timer_.set(delay);
}

void Connection::cancel_scheduled_linger() {
  if (!closing()) timer_.clear();
}

void Connection::half_close() {
  stage_ = Stage::kLingering;
  ::shutdown(bufferevent_getfd(events_), SHUT_WR);
  timer_.set(closed_by_peer_ ? 0 : std::max(linger_timeout_, kMinLingerTimeout));
}

void Connection::handle_timeout() {
  if (stage_ == Stage::kOpen && unsent() == 0) return linger(reason_);
  finish();
}

void Connection::finish() {
  stage_ = Stage::kEnding;
  std::string line = description_ + " ended: " + close_reason_code(reason_) + ", in " +
                     std::to_string(bytes_in_) + " bytes, out " + std::to_string(bytes_out_) + " bytes";
  reason_ == CloseReason::kDone ? log_.write_routine(line) : log_.write_rate_limited(line);
  owner_.ended(*this, reason_);
}

void Connection::on_read(bufferevent* events, void* context) {
  auto* self = static_cast<Connection*>(context);
  if (self->ending()) return;
  evbuffer* from = bufferevent_get_input(events);
  self->bytes_in_ += evbuffer_get_length(from);
  if (self->closing()) {
    // A request that arrives after the close is never answered, and its sender may wait for the connection's
    // end before it sends the request to another server: the wait is shortened.
    if (self->stage_ == Stage::kLingering && std::exchange(self->linger_timeout_, 0) > 0)
      self->timer_.set(kMinLingerTimeout);
    evbuffer_drain(from, evbuffer_get_length(from));
    return;
  }
  self->input_.append(from);
  self->input_.consume(self->owner_.bytes_received(*self, self->input_.bytes()));
}

void Connection::on_write(bufferevent*, void* context) {
  auto* self = static_cast<Connection*>(context);
  if (self->stage_ == Stage::kFlushing) {
    self->half_close();
  } else if (self->stage_ == Stage::kOpen) {
    self->owner_.flushed(*self);
  }
}

void Connection::on_event(bufferevent*, short flags, void* context) {
  auto* self = static_cast<Connection*>(context);
  if (flags & BEV_EVENT_CONNECTED) {
    self->mark_connected();
    // Input of outgoing connections is handled before that of accepted ones. After a pause of this process
    // input waits on all of them, and a new request that is handled before the notices of runs that ended
    // meanwhile would find the server stalled. No disadvantage is known: this input is small.
    bufferevent_priority_set(self->events_, 0);
    self->owner_.opened(*self);
  } else if (flags & BEV_EVENT_EOF) {
    // A peer that has closed only its sending side can't be told from one that has closed the connection
    // until bytes are written. The cost: its open requests run for nobody until the first answer meets a
    // reset.
    self->closed_by_peer_ = true;
    if (self->stage_ == Stage::kFlushing) return;
    if (self->closing() || !self->owner_.half_closed(*self)) self->end(CloseReason::kPeerClosed);
  } else if (flags & BEV_EVENT_ERROR) {
    int error = EVUTIL_SOCKET_ERROR();
    if (!self->was_open_ && error != ECONNREFUSED)
      self->description_ += std::string(" (") + std::strerror(error) + ")";
    self->end(close_reason_for_error(error, self->was_open_));
  }
}

}  // namespace myrtlecroft::net
