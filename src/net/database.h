// Calls below, each on a connection of its own as long as there are enough: one that breaks or goes useless
// then takes no other call with it. A connection is used again only soon after its last call, and never twice
// for one exchange: a reply names only its exchange, and one that comes late or twice could be taken for that
// of the exchange's next call.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "service/service.h"

namespace myrtlecroft::net {

class Database final : public service::DependencyPort {
 public:
  Database(Loop& loop, service::LogPort& log, const sockaddr_in& database, std::size_t most_connections);
  ~Database() override;
  void begin(service::Service& service) { service_ = &service; }
  // It is to be reached elsewhere from now on. Calls that are out end where they are.
  void move(const sockaddr_in& database);

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
  std::size_t most_connections_;
  service::Service* service_ = nullptr;
  std::vector<std::unique_ptr<Channel>> channels_;
  std::vector<service::ServerExchange*> unreachable_;  // to be told from the loop
  Alarm tell_;
};

}  // namespace myrtlecroft::net
