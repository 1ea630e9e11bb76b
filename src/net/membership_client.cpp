#include "net/membership_client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr Nanos kEvery = 500'000'000;  // an entry lapses after 3 s
constexpr Nanos kSoon = 100'000'000;   // a change is repeated at once: its datagram may be lost
constexpr int kRepeats = 3;

}  // namespace

MembershipClient::MembershipClient(Loop& loop, std::string name, const sockaddr_in& service)
    : name_(std::move(name)), service_(service), again_(loop.base(), [this] { send(); }) {}

MembershipClient::~MembershipClient() {
  if (socket_ >= 0) ::close(socket_);
}

void MembershipClient::report(bool good) {
  good_ = good;
  is_retry_ = kRepeats;
  send();
}

void MembershipClient::move(const sockaddr_in& service) {
  service_ = service;
  is_retry_ = kRepeats;
  if (again_.is_set()) send();
}

// No word of a failed send reaches us in time to matter: the next report follows anyway. A socket that could
// not be made is made then.
void MembershipClient::send() {
  if (socket_ < 0) socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::string line = "HB " + name_ + (good_ ? " UP" : " OUT");
  ::sendto(socket_, line.data(), line.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&service_),
           sizeof service_);
  again_.set(is_retry_ > 0 ? kSoon : kEvery);
  if (is_retry_ > 0) --is_retry_;
}

}  // namespace myrtlecroft::net
