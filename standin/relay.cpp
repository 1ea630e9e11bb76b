#include "relay.h"

#include <event2/buffer.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <string>

#include "net/address.h"

namespace myrtlecroft::standin {
namespace {

constexpr std::size_t kMaxHeld = std::size_t{4} << 20;  // of one direction; then nothing more is read

void reset_on_close(bufferevent* of) {
  linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(bufferevent_getfd(of), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

}  // namespace

// Two connections; side 0 came to us, side 1 is ours.
struct Relay::Pair {
  struct Waiting {
    Nanos due;
    std::string bytes;
  };
  Pair(Relay& of, evutil_socket_t socket) : relay(of), again(of.loop_.base(), [this] { pass_due(); }) {
    sides[0] = bufferevent_socket_new(of.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    sides[1] = bufferevent_socket_new(of.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    for (int side : {0, 1}) bufferevent_setcb(sides[side], came, written, ended, this);
    sockaddr_in to = net::loopback(of.to_);
    bufferevent_socket_connect(sides[1], reinterpret_cast<const sockaddr*>(&to), sizeof to);
    follow_stalls();
  }
  ~Pair() {
    for (bufferevent* side : sides) {
      reset_on_close(side);
      bufferevent_free(side);
    }
  }
  int side_of(bufferevent* which) const { return which == sides[0] ? 0 : 1; }
  void follow_stalls() {
    for (int side : {0, 1}) {
      relay.stalled_[side] ? bufferevent_disable(sides[side], EV_READ)
                           : bufferevent_enable(sides[side], EV_READ);
    }
  }
  static void came(bufferevent* which, void* self) {
    auto* pair = static_cast<Pair*>(self);
    int from = pair->side_of(which);
    evbuffer* in = bufferevent_get_input(which);
    std::string bytes(evbuffer_get_length(in), '\0');
    evbuffer_remove(in, bytes.data(), bytes.size());
    Relay& relay = pair->relay;
    bool cut = from == 0 && relay.left_ >= 0 && bytes.size() > static_cast<std::size_t>(relay.left_);
    if (cut) bytes.resize(static_cast<std::size_t>(relay.left_));
    if (from == 0 && relay.left_ >= 0) relay.left_ -= static_cast<std::ptrdiff_t>(bytes.size());
    if (relay.late_ > 0 || !pair->waiting[from].empty()) {
      pair->waiting[from].push_back({relay.loop_.now() + relay.late_, std::move(bytes)});
      pair->again.set(relay.late_);
    } else {
      pair->pass(from, bytes);
    }
    if (cut) {
      relay.left_ = -1;
      bufferevent_flush(pair->sides[1], EV_WRITE, BEV_FLUSH);
      relay.drop(pair);
    }
  }
  void pass(int from, const std::string& bytes) {
    bufferevent_write(sides[1 - from], bytes.data(), bytes.size());
    if (evbuffer_get_length(bufferevent_get_output(sides[1 - from])) > kMaxHeld)
      bufferevent_disable(sides[from], EV_READ);
  }
  void pass_due() {
    Nanos now = relay.loop_.now();
    Nanos next = 0;
    for (int from : {0, 1}) {
      while (!waiting[from].empty() && waiting[from].front().due <= now) {
        pass(from, waiting[from].front().bytes);
        waiting[from].pop_front();
      }
      if (!waiting[from].empty())
        next = next ? std::min(next, waiting[from].front().due) : waiting[from].front().due;
    }
    if (next) again.set(next - now);
  }
  static void written(bufferevent*, void* self) { static_cast<Pair*>(self)->follow_stalls(); }
  static void ended(bufferevent*, short what, void* self) {
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
      auto* pair = static_cast<Pair*>(self);
      pair->relay.drop(pair);
    }
  }

  Relay& relay;
  bufferevent* sides[2];
  std::deque<Waiting> waiting[2];
  net::Timer again;
};

Relay::Relay(net::Loop& loop, std::uint16_t to) : loop_(loop), to_(to) {
  sockaddr_in listen = net::loopback(0);
  listener_.reset(evconnlistener_new_bind(loop.base(), accepted, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 64,
                                          reinterpret_cast<const sockaddr*>(&listen), sizeof listen));
  if (!listener_) throw std::runtime_error("no port for a relay");
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

void Relay::drop(Pair* pair) {
  pairs_.remove_if([pair](const auto& one) { return one.get() == pair; });
}

void Relay::stall(bool there, bool back) {
  stalled_[0] = there;
  stalled_[1] = back;
  for (auto& pair : pairs_) pair->follow_stalls();
}

void Relay::set_delay(Nanos by) { late_ = by; }

void Relay::close(bool closed) {
  closed_ = closed;
  if (closed) pairs_.clear();
}

void Relay::reset() { pairs_.clear(); }

void Relay::reset_after(std::size_t bytes) { left_ = static_cast<std::ptrdiff_t>(bytes); }

void Relay::clear_faults() {
  closed_ = false;
  late_ = 0;
  left_ = -1;
  stall(false, false);
}

}  // namespace myrtlecroft::standin
