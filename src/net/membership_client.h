// Reports to the membership service: one datagram each, over and over. One that is lost harms nothing.
#pragma once

#include <netinet/in.h>

#include <string>

#include "net/loop.h"

namespace myrtlecroft::net {

class MembershipClient final : public service::HealthReporter {
 public:
  MembershipClient(Loop& loop, std::string name, const sockaddr_in& service);
  ~MembershipClient() override;
  void report(bool good) override;
  void move(const sockaddr_in& service);

 private:
  void send();

  std::string name_;
  sockaddr_in service_;
  int socket_ = -1;
  bool good_ = false;
  int is_retry_ = 0;
  Timer again_;
};

}  // namespace myrtlecroft::net
