#include "control/frame_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

#include "control/listen_error.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kAcceptBackoff = 100 * kMs;  // after a failed accept, for example without a free descriptor
constexpr int kBacklog = 1024;

}  // namespace

// One accepted connection.
class FrameServer::Session final : public net::ConnectionOwner {
 public:
  Session(FrameServer& frame_server, Id id, evutil_socket_t socket)
      : frame_server_(frame_server),
        id_(id),
        connection_(frame_server.loop_.base(), socket, *this, frame_server.log_,
                    frame_server.peer_kind_ + " " + std::to_string(id)) {}
  std::size_t bytes_received(net::Connection& connection, std::string_view bytes) override {
    return frame_server_.handlers_.received(id_, connection, bytes);
  }
  void ended(net::Connection&, net::CloseReason) override {
    frame_server_.handlers_.closed(id_);
    frame_server_.sessions_.erase(id_);
  }
  net::Connection& connection() { return connection_; }

 private:
  FrameServer& frame_server_;
  Id id_;
  net::Connection connection_;
};

FrameServer::FrameServer(net::Loop& loop, service::Logger& log, const sockaddr_in& address,
                         std::string peer_kind, std::size_t max_connections, Handlers handlers)
    : loop_(loop),
      log_(log),
      peer_kind_(std::move(peer_kind)),
      max_connections_(max_connections),
      handlers_(std::move(handlers)),
      listener_(evconnlistener_new_bind(
          loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
          kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof address)),
      accept_retry_timer_(loop.base(), [this] { evconnlistener_enable(listener_.get()); }) {
  if (!listener_) {
    throw ListenError(peer_kind_, "port " + std::to_string(ntohs(address.sin_port)),
                      std::strerror(EVUTIL_SOCKET_ERROR()));
  }
  evconnlistener_set_error_cb(listener_.get(), on_accept_error);
}

FrameServer::~FrameServer() = default;

std::uint16_t FrameServer::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void FrameServer::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
  static_cast<FrameServer*>(self)->add_session(socket);
}

void FrameServer::on_accept_error(evconnlistener*, void* context) {
  auto* self = static_cast<FrameServer*>(context);
  self->log_.write_rate_limited("accept failed for " + self->peer_kind_ + ": " +
                                std::strerror(EVUTIL_SOCKET_ERROR()));
  evconnlistener_disable(self->listener_.get());
  self->accept_retry_timer_.set(kAcceptBackoff);
}

void FrameServer::add_session(evutil_socket_t socket) {
  Id id = ++last_id_;
  auto& session = sessions_[id] = std::make_unique<Session>(*this, id, socket);
  if (sessions_.size() > max_connections_) session->connection().end(net::CloseReason::kCrowded);
}

}  // namespace myrtlecroft::control
