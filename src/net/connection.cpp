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

constexpr std::size_t kMaxUnsent = std::size_t{1} << 18;  // bytes that a peer which comes to us does not take
constexpr std::size_t kKeptBuffer = 4096;                 // an empty buffer larger than this is let go
// Of one connection in a turn of the loop, so that a fast one with much to say doesn't starve the rest. What
// we depend on is few connections, and what comes from there goes first.
constexpr std::size_t kReadAtOnce = 16'384;
constexpr std::size_t kWriteAtOnce = 16'384;
constexpr std::size_t kReadAtOnceBelow = 65'536;
// In the kernel for each peer, which doubles it. Left to itself it would take megabytes for one that reads
// nothing, and call them sent.
constexpr int kSendBuffer = 65'536;
constexpr Nanos kFlushing = 1'000 * kMs;  // at least, for a peer that is slow to read
constexpr Nanos kMinLinger = 100 * kMs;   // where nothing is owed to it

CloseReason reason_of(int error, bool was_open) {
  if (error == ECONNREFUSED) return CloseReason::kRefused;
  return was_open ? CloseReason::kReset : CloseReason::kUnreachable;
}

}  // namespace

const char* code_of(CloseReason reason) {
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
  std::size_t more = evbuffer_get_length(from);
  if (data_.size() - end_ < more && begin_ > 0) {
    std::memmove(data_.data(), data_.data() + begin_, end_ - begin_);
    end_ -= std::exchange(begin_, 0);
  }
  if (data_.size() - end_ < more) data_.resize(std::max(end_ + more, 2 * data_.size()));
  int got = evbuffer_remove(from, data_.data() + end_, more);
  if (got > 0) end_ += static_cast<std::size_t>(got);
}

void InputBuffer::take(std::size_t count) {
  begin_ += count;
  if (begin_ < end_) return;
  begin_ = end_ = 0;
  if (data_.size() > kKeptBuffer) data_ = {};
}

Connection::Connection(event_base* base, evutil_socket_t socket, std::size_t max_unsent,
                       ConnectionOwner& owner, service::Logger& log, std::string what)
    : owner_(owner),
      log_(log),
      what_(std::move(what)),
      events_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)),
      max_unsent_(max_unsent),
      timer_(base, [this] { expired(); }) {
  if (!events_) throw std::bad_alloc();
  bufferevent_setcb(events_, on_read, on_write, on_event, this);
  bufferevent_set_max_single_read(events_, kReadAtOnce);
  bufferevent_set_max_single_write(events_, kWriteAtOnce);
  bufferevent_enable(events_, EV_READ | EV_WRITE);
}

Connection::Connection(event_base* base, evutil_socket_t accepted, ConnectionOwner& owner,
                       service::Logger& log, std::string what)
    : Connection(base, accepted, kMaxUnsent, owner, log, std::move(what)) {
  came_up();
  setsockopt(accepted, SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof kSendBuffer);
}

Connection::Connection(event_base* base, const sockaddr_in& to, ConnectionOwner& owner, service::Logger& log,
                       std::string what, std::size_t max_unsent)
    : Connection(base, -1, max_unsent, owner, log, std::move(what)) {
  bufferevent_set_max_single_read(events_, kReadAtOnceBelow);
  if (bufferevent_socket_connect(events_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    end(reason_of(errno, false));
  }
}

void Connection::came_up() {
  open_ = true;
  int yes = 1;
  setsockopt(bufferevent_getfd(events_), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

void Connection::set_reset_on_close() {
  struct linger at_once {
    .l_onoff = 1, .l_linger = 0
  };
  setsockopt(bufferevent_getfd(events_), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
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

std::size_t Connection::bytes_held() const { return input_.size() + unsent(); }

void Connection::pause_reading() {
  if (!closing()) bufferevent_disable(events_, EV_READ);
}

void Connection::read_on() {
  if (!ending() && !closed_by_peer_) bufferevent_enable(events_, EV_READ);
}

bool Connection::unread() const {
  int bytes = 0;
  return ::ioctl(bufferevent_getfd(events_), FIONREAD, &bytes) == 0 && bytes > 0;
}

void Connection::linger(CloseReason reason, Nanos within) {
  if (closing()) return;
  stage_ = Stage::kFlushing;
  reason_ = reason;
  linger_within_ = within;
  timer_.set(std::max(linger_within_, kFlushing));
  read_on();
  if (unsent() == 0) half_close();
}

void Connection::linger_after(Nanos time, CloseReason reason) {
  if (closing()) return;
  reason_ = reason;
  timer_.set(time);
}

void Connection::stay_on() {
  if (!closing()) timer_.clear();
}

void Connection::half_close() {
  stage_ = Stage::kLingering;
  ::shutdown(bufferevent_getfd(events_), SHUT_WR);
  timer_.set(closed_by_peer_ ? 0 : std::max(linger_within_, kMinLinger));
}

void Connection::expired() {
  if (stage_ == Stage::kOpen && unsent() == 0) return linger(reason_);
  finish();
}

void Connection::finish() {
  stage_ = Stage::kEnding;
  std::string line = what_ + " ended: " + code_of(reason_) + ", in " + std::to_string(bytes_in_) +
                     " bytes, out " + std::to_string(bytes_out_) + " bytes";
  reason_ == CloseReason::kDone ? log_.write_routine(line) : log_.write_rate_limited(line);
  owner_.ended(*this, reason_);
}

void Connection::on_read(bufferevent* events, void* given) {
  auto* self = static_cast<Connection*>(given);
  if (self->ending()) return;
  evbuffer* from = bufferevent_get_input(events);
  self->bytes_in_ += evbuffer_get_length(from);
  if (self->closing()) {
    // What crossed our close is never answered, and its sender may wait for us before it asks again
    // elsewhere.
    if (self->stage_ == Stage::kLingering && std::exchange(self->linger_within_, 0) > 0)
      self->timer_.set(kMinLinger);
    evbuffer_drain(from, evbuffer_get_length(from));
    return;
  }
  self->input_.append(from);
  self->input_.take(self->owner_.bytes_received(*self, self->input_.bytes()));
}

void Connection::on_write(bufferevent*, void* given) {
  auto* self = static_cast<Connection*>(given);
  if (self->stage_ == Stage::kFlushing) {
    self->half_close();
  } else if (self->stage_ == Stage::kOpen) {
    self->owner_.flushed(*self);
  }
}

void Connection::on_event(bufferevent*, short what, void* given) {
  auto* self = static_cast<Connection*>(given);
  if (what & BEV_EVENT_CONNECTED) {
    self->came_up();
    // What comes from below is taken first. After a pause of this process all waits at once, and a new
    // request, taken before the runs that ended meanwhile, would see work that stands still. Harm: none
    // seen; what comes from below is little.
    bufferevent_priority_set(self->events_, 0);
    self->owner_.opened(*self);
  } else if (what & BEV_EVENT_EOF) {
    // Its close of one direction looks like one of both until we write. Harm: what it has open is worked on
    // for a peer that is gone, until the first answer meets the reset.
    self->closed_by_peer_ = true;
    if (self->stage_ == Stage::kFlushing) return;
    if (self->closing() || !self->owner_.half_closed(*self)) self->end(CloseReason::kPeerClosed);
  } else if (what & BEV_EVENT_ERROR) {
    int error = EVUTIL_SOCKET_ERROR();
    if (!self->open_ && error != ECONNREFUSED) self->what_ += std::string(" (") + std::strerror(error) + ")";
    self->end(reason_of(error, self->open_));
  }
}

}  // namespace myrtlecroft::net
