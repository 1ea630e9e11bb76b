#include "relay.h"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <string>

#include "net/address.h"

namespace myrtlecroft::standin {
namespace {

constexpr std::size_t kMaxBufferedBytes = std::size_t{4}
                                          << 20;  // of one direction; reading stops when it is exceeded

void reset_on_close(bufferevent* connection) {
  linger option{.l_onoff = 1, .l_linger = 0};
  setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

}  // namespace

// A relayed connection: side 0 is the accepted connection, side 1 the one to the target port.
struct Relay::Pair {
  struct DelayedBytes {
    Nanos due;
    std::string bytes;
  };
  Pair(Relay& owner, evutil_socket_t socket)
      : relay(owner), delay_timer(owner.loop_.base(), [this] { forward_due(); }) {
    sides[0] = bufferevent_socket_new(owner.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    sides[1] = bufferevent_socket_new(owner.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (int side : {0, 1})
      bufferevent_setcb(sides[side], handle_readable, handle_written, handle_event, this);
    sockaddr_in to = net::loopback(owner.target_port_);
    bufferevent_socket_connect(sides[1], reinterpret_cast<const sockaddr*>(&to), sizeof to);
    apply_stalls();
  }
  ~Pair() {
    for (bufferevent* side : sides) {
      reset_on_close(side);
      bufferevent_free(side);
    }
  }
  int side_of(bufferevent* side) const { return side == sides[0] ? 0 : 1; }
  void apply_stalls() {
    for (int side : {0, 1}) {
      relay.stalled_[side] ? bufferevent_disable(sides[side], EV_READ)
                           : bufferevent_enable(sides[side], EV_READ);
    }
  }
  static void handle_readable(bufferevent* side, void* self) {
    auto* pair = static_cast<Pair*>(self);
    int from = pair->side_of(side);
    evbuffer* in = bufferevent_get_input(side);
    std::string bytes(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, bytes.data(), bytes.size());
    Relay& relay = pair->relay;
    bool reaches_reset = from == 0 && relay.bytes_until_reset_ >= 0 &&
                         bytes.size() > static_cast<std::size_t>(relay.bytes_until_reset_);
    if (reaches_reset) bytes.resize(static_cast<std::size_t>(relay.bytes_until_reset_));
    if (from == 0 && relay.bytes_until_reset_ >= 0)
      relay.bytes_until_reset_ -= static_cast<std::ptrdiff_t>(bytes.size());
    if (relay.delay_ > 0 || !pair->delayed[from].empty()) {
      pair->delayed[from].push_back({relay.loop_.now() + relay.delay_, std::move(bytes)});
      pair->delay_timer.set(relay.delay_);
    } else {
      pair->forward(from, bytes);
    }
    if (reaches_reset) {
      relay.bytes_until_reset_ = -1;
      bufferevent_flush(pair->sides[1], EV_WRITE, BEV_FLUSH);
      relay.remove(pair);
    }
  }
  void forward(int from, const std::string& bytes) {
    bufferevent_write(sides[1 - from], bytes.data(), bytes.size());
    if (evbuffer_get_length(bufferevent_get_output(sides[1 - from])) > kMaxBufferedBytes)
      bufferevent_disable(sides[from], EV_READ);
  }
  void forward_due() {
    Nanos now = relay.loop_.now();
    Nanos next = 0;
    for (int from : {0, 1}) {
      while (!delayed[from].empty() && delayed[from].front().due <= now) {
        forward(from, delayed[from].front().bytes);
        delayed[from].pop_front();
      }
      if (!delayed[from].empty())
        next = next ? std::min(next, delayed[from].front().due) : delayed[from].front().due;
    }
    if (next) delay_timer.set(next - now);
  }
  static void handle_written(bufferevent*, void* self) { static_cast<Pair*>(self)->apply_stalls(); }
  static void handle_event(bufferevent*, short what, void* self) {
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
      auto* pair = static_cast<Pair*>(self);
      pair->relay.remove(pair);
    }
  }

  Relay& relay;
  bufferevent* sides[2];
  std::deque<DelayedBytes> delayed[2];
  net::Timer delay_timer;
};

Relay::Relay(net::Loop& loop, std::uint16_t to) : loop_(loop), target_port_(to) {
  sockaddr_in listen = net::loopback(0);
  listener_.reset(evconnlistener_new_bind(loop.base(), accepted, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 64,
                                          reinterpret_cast<const sockaddr*>(&listen), sizeof listen));
  if (!listener_) throw std::runtime_error("relay cannot listen on a loopback port");
  socklen_t size = sizeof listen;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&listen), &size);
  port_ = ntohs(listen.sin_port);
}

Relay::~Relay() = default;

void Relay::accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* given) {
  auto* self = static_cast<Relay*>(given);
  if (self->closed_) {
    evutil_closesocket(socket);
    return;
  }
  self->pairs_.push_back(std::make_unique<Pair>(*self, socket));
}

void Relay::remove(Pair* pair) {
  pairs_.remove_if([pair](const auto& one) { return one.get() == pair; });
}

void Relay::stall(bool outward, bool inward) {
  stalled_[0] = outward;
  stalled_[1] = inward;
  for (auto& pair : pairs_) pair->apply_stalls();
}

void Relay::set_delay(Nanos delay) { delay_ = delay; }

void Relay::close(bool closed) {
  closed_ = closed;
  if (closed) pairs_.clear();
}

void Relay::reset() { pairs_.clear(); }

void Relay::reset_after(std::size_t bytes) { bytes_until_reset_ = static_cast<std::ptrdiff_t>(bytes); }

void Relay::clear_faults() {
  closed_ = false;
  delay_ = 0;
  bytes_until_reset_ = -1;
  stall(false, false);
}

}  // namespace myrtlecroft::standin
