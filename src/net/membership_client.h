// Reports the server's health to the membership service, in one datagram each, at intervals. The next report
// makes up for a lost one.
#pragma once

#include <netinet/in.h>

#include <string>

#include "net/loop.h"

namespace myrtlecroft::net {

// Belongs to the loop's thread.
class MembershipClient final : public service::HealthReporter {
 public:
  MembershipClient(Loop& loop, std::string name, const sockaddr_in& service);
  ~MembershipClient() override;
  // Sends the new state at once and repeats it a few times quickly, then at the regular interval.
  void report(bool healthy) override;
  // Sets the address of the membership service.
  void move(const sockaddr_in& service);

 private:
  void send_report();

  std::string name_;
  sockaddr_in service_;
  int socket_ = -1;
  bool healthy_ = false;
  int repeats_left_ = 0;
  Timer report_timer_;
};

}  // namespace myrtlecroft::net
