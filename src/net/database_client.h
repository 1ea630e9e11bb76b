// Calls below, each on a connection of its own that is closed after it: one that breaks or goes useless takes
// no other call with it, and none meets a connection that was closed or forgotten over there while it was
// idle, which would look like a call that ran. Only when there are no more connections do calls share them. A
// reply names only its request; one that comes late or twice could be taken for that of the request's next
// call, which is made on another connection.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "service/service.h"

namespace myrtlecroft::net {

class DatabaseClient final : public service::Dependency {
 public:
  DatabaseClient(Loop& loop, service::Logger& log, const sockaddr_in& database, std::size_t max_connections);
  ~DatabaseClient() override;
  void begin(service::Service& service) { service_ = &service; }
  // It is to be reached elsewhere from now on. Calls that are out end where they are.
  void move(const sockaddr_in& database);

  void call(service::ServerRequest& request, std::string_view body, Nanos longest) override;
  void abandon_call(service::ServerRequest& request) override;

 private:
  class Channel;

  Channel* channel_for(const std::string& id);
  void tell_unreachable();

  Loop& loop_;
  service::Logger& log_;
  sockaddr_in database_;
  std::size_t max_connections_;
  service::Service* service_ = nullptr;
  std::vector<std::unique_ptr<Channel>> channels_;
  Channel* ending_ = nullptr;                         // the one that has ended, while its calls are told
  std::vector<service::ServerRequest*> unreachable_;  // to be told from the loop
  Timer tell_;
};

}  // namespace myrtlecroft::net
