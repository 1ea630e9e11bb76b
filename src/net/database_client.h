// Client of the database. Each call has a connection of its own, which is closed after the call: a connection
// that breaks or hangs affects no other call, and no call is sent on an idle connection that the database has
// closed or forgotten, which would look like a call that may have been executed. Calls share connections only
// when `max_connections` are open. A reply names its request but not the call, so a late or duplicate reply
// could be taken for that of the request's next call; therefore each call of a request uses another
// connection.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "service/service.h"

namespace myrtlecroft::net {

// Belongs to the loop's thread.
class DatabaseClient final : public service::Dependency {
 public:
  // Port 0 in `database` means that no database is configured: every call then fails as unreachable.
  DatabaseClient(Loop& loop, service::Logger& log, const sockaddr_in& database, std::size_t max_connections);
  ~DatabaseClient() override;
  // Sets the service that receives the results. Call it before call().
  void begin(service::Service& service) { service_ = &service; }
  // Sets the address for new connections. Pending calls stay on their connections.
  void move(const sockaddr_in& database);

  void call(const std::string& request_id, std::string_view body, Nanos timeout) override;
  void abandon_call(const std::string& request_id) override;

 private:
  class Channel;

  Channel* channel_for(const std::string& id);
  void report_unreachable_calls();

  Loop& loop_;
  service::Logger& log_;
  sockaddr_in database_;
  std::size_t max_connections_;
  service::Service* service_ = nullptr;
  std::vector<std::unique_ptr<Channel>> channels_;
  Channel* ending_channel_ = nullptr;             // has ended; its calls are being completed
  std::deque<std::string> unreachable_requests_;  // ids; completed from the event loop
  Timer report_timer_;
};

}  // namespace myrtlecroft::net
