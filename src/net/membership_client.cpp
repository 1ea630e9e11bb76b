#include "net/membership_client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace myrtlecroft::net {
namespace {

constexpr Nanos kReportInterval = 500'000'000;        // the service drops an entry after 3 s
constexpr Nanos kChangeReportInterval = 100'000'000;  // repeats of a change, whose datagram may be lost
constexpr int kChangeRepeats = 3;

}  // namespace

MembershipClient::MembershipClient(Loop& loop, std::string name, const sockaddr_in& service)
    : name_(std::move(name)), service_(service), report_timer_(loop.base(), [this] { send_report(); }) {}

MembershipClient::~MembershipClient() {
  if (socket_ >= 0) ::close(socket_);
}

void MembershipClient::report(bool healthy) {
  healthy_ = healthy;
  repeats_left_ = kChangeRepeats;
  send_report();
}

void MembershipClient::move(const sockaddr_in& service) {
  service_ = service;
  repeats_left_ = kChangeRepeats;
  if (report_timer_.is_set()) send_report();
}

// Send errors are ignored, as the next report follows soon. It also retries a socket that could not be
// created.
void MembershipClient::send_report() {
  if (socket_ < 0) socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::string line = "HB " + name_ + (healthy_ ? " UP" : " OUT");
  ::sendto(socket_, line.data(), line.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&service_),
           sizeof service_);
  report_timer_.set(repeats_left_ > 0 ? kChangeReportInterval : kReportInterval);
  if (repeats_left_ > 0) --repeats_left_;
}

}  // namespace myrtlecroft::net
