// Calls below, on a few connections that are opened when needed.
//
// A reply names only its exchange. One that crosses a give-up could be taken for that of the exchange's next
// call: that one is made on another connection.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "service/service.h"

namespace myrtlecroft::net {

class Database final : public service::DependencyPort {
 public:
  Database(Loop& loop, service::LogPort& log, const sockaddr_in& database);
  ~Database() override;
  void begin(service::Service& service) { service_ = &service; }

  void call(service::ServerExchange& ex, std::string_view body, Nanos longest) override;
  void give_up(service::ServerExchange& ex) override;
  void forget(service::ServerExchange& ex) override;

 private:
  class Channel;

  Channel* channel_for(const std::string& id);
  void tell_unreachable();

  Loop& loop_;
  service::LogPort& log_;
  sockaddr_in database_;
  service::Service* service_ = nullptr;
  std::vector<std::unique_ptr<Channel>> channels_;
  std::vector<service::ServerExchange*> unreachable_;  // to be told from the loop
  Alarm tell_;
};

}  // namespace myrtlecroft::net
