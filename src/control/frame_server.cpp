#include "control/frame_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace myrtlecroft::control {
namespace {

constexpr Nanos kAcceptPause = 100 * kMs;  // after the descriptors ran out
constexpr int kBacklog = 1024;

}  // namespace

class FrameServer::Session final : public net::ConnectionOwner {
 public:
  Session(FrameServer& frame_server, Id id, evutil_socket_t socket)
      : frame_server_(frame_server),
        id_(id),
        connection_(frame_server.loop_.base(), socket, *this, frame_server.log_,
                    frame_server.what_ + " " + std::to_string(id)) {}
  std::size_t came(net::Connection& connection, std::string_view bytes) override {
    return frame_server_.events_.came(id_, connection, bytes);
  }
  void ended(net::Connection&, net::Reason) override {
    frame_server_.events_.ended(id_);
    frame_server_.sessions_.erase(id_);
  }
  net::Connection& connection() { return connection_; }

 private:
  FrameServer& frame_server_;
  Id id_;
  net::Connection connection_;
};

FrameServer::FrameServer(net::Loop& loop, service::Logger& log, const sockaddr_in& listen, std::string what,
                         std::size_t max, Events events)
    : loop_(loop),
      log_(log),
      what_(std::move(what)),
      max_(max),
      events_(std::move(events)),
      listener_(evconnlistener_new_bind(loop.base(), accepted, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                        kBacklog, reinterpret_cast<const sockaddr*>(&listen), sizeof listen)),
      accept_again_(loop.base(), [this] { evconnlistener_enable(listener_.get()); }) {
  if (!listener_) {
    throw std::runtime_error("can't listen for " + what_ + " on port " +
                             std::to_string(ntohs(listen.sin_port)) + ": " +
                             std::strerror(EVUTIL_SOCKET_ERROR()));
  }
  evconnlistener_set_error_cb(listener_.get(), accept_failed);
}

FrameServer::~FrameServer() = default;

std::uint16_t FrameServer::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void FrameServer::accepted(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
  static_cast<FrameServer*>(self)->add(socket);
}

void FrameServer::accept_failed(evconnlistener*, void* given) {
  auto* self = static_cast<FrameServer*>(given);
  self->log_.frequent("accept failed for " + self->what_ + ": " + std::strerror(EVUTIL_SOCKET_ERROR()));
  evconnlistener_disable(self->listener_.get());
  self->accept_again_.set(kAcceptPause);
}

void FrameServer::add(evutil_socket_t socket) {
  Id id = ++last_;
  auto& session = sessions_[id] = std::make_unique<Session>(*this, id, socket);
  if (sessions_.size() > max_) session->connection().end(net::Reason::kCrowded);
}

}  // namespace myrtlecroft::control
