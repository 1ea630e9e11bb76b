#include "net/database_client.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "net/database_codec.h"

namespace myrtlecroft::net {
namespace {

constexpr Nanos kPartialLimit = 300 * kMs;  // for a reply that has begun to come to its end

}  // namespace

class DatabaseClient::Channel final : public ConnectionOwner {
 public:
  explicit Channel(DatabaseClient& database)
      : database_(database),
        connection_(database.loop_.base(), database.database_, *this, database.log_, "database connection"),
        partial_(database.loop_.base(), [this] { connection_.end(CloseReason::kMalformed); }) {}

  bool can_carry(const std::string& id) const {
    return !retired_ && !connection_.closing() && !carried_.contains(id);
  }
  // One that does not take its bytes costs the call that is on it, and gets no other while there is a choice.
  std::pair<bool, std::size_t> load() const { return {connection_.unsent() > 0, out_.size()}; }

  void call(service::ServerRequest& request, std::string_view body, Nanos longest) {
    out_[request.id] = &request;
    carried_.insert(request.id);
    connection_.write(query_line(request.id, std::max<Nanos>(1, (longest + kMs - 1) / kMs), body));
  }

  // Closing gives up what is on it. Where other calls are, they end first.
  void abandon_call(service::ServerRequest& request) {
    if (!out_.erase(request.id)) return;
    if (!out_.empty()) connection_.write(give_up_line(request.id));
    retire(CloseReason::kSpent);
  }

  void retire(CloseReason reason) {
    retired_ = true;
    if (out_.empty()) connection_.end(reason);
  }

  void opened(Connection&) override { connection_.set_reset_on_close(); }

  std::size_t bytes_received(Connection&, std::string_view bytes) override {
    std::size_t taken = 0;
    DatabaseReply reply;
    LineState state = LineState::kComplete;
    while (!connection_.closing() && taken < bytes.size() &&
           (state = read_database_reply(bytes.substr(taken), reply)) == LineState::kComplete) {
      taken += reply.size;
      auto place = out_.find(std::string(reply.id));
      if (place == out_.end()) {
        retired_ = true;  // a second copy, or what nobody asked for: no more calls on this one
        continue;
      }
      service::ServerRequest& request = *place->second;
      out_.erase(place);
      if (out_.empty()) retire(CloseReason::kDone);
      database_.service_->call_completed(request, reply.reply, std::string(reply.body));
    }
    if (state == LineState::kMalformed) connection_.end(CloseReason::kMalformed);
    if (connection_.closing()) return bytes.size();
    if (taken == bytes.size()) {
      partial_.clear();
    } else if (!partial_.is_set()) {
      partial_.set(kPartialLimit);
    }
    return taken;
  }

  // A connection that never came up carried nothing. One that breaks proves nothing. What one request makes
  // of it may give up the call of another that is here too: that one is not told any more, as its reply would
  // be taken for that of its next call.
  void ended(Connection& connection, CloseReason) override {
    service::CallResult reply =
        connection.was_open() ? service::CallResult::kConnectionLost : service::CallResult::kUnreachable;
    auto place = std::find_if(database_.channels_.begin(), database_.channels_.end(),
                              [this](auto& each) { return each.get() == this; });
    std::unique_ptr<Channel> own = std::move(*place);
    database_.channels_.erase(place);
    database_.ending_ = this;
    while (!out_.empty()) {
      service::ServerRequest& request = *out_.begin()->second;
      out_.erase(out_.begin());
      database_.service_->call_completed(request, reply, "");
    }
    database_.ending_ = nullptr;
  }

 private:
  DatabaseClient& database_;
  Connection connection_;
  Timer partial_;
  std::map<std::string, service::ServerRequest*> out_;
  std::set<std::string> carried_;  // a reply to these may still come
  bool retired_ = false;
};

DatabaseClient::DatabaseClient(Loop& loop, service::Logger& log, const sockaddr_in& database,
                               std::size_t max_connections)
    : loop_(loop),
      log_(log),
      database_(database),
      max_connections_(max_connections),
      tell_(loop.base(), [this] { tell_unreachable(); }) {}

DatabaseClient::~DatabaseClient() = default;

void DatabaseClient::move(const sockaddr_in& database) {
  database_ = database;
  for (auto& channel : channels_) channel->retire(CloseReason::kMoved);
}

DatabaseClient::Channel* DatabaseClient::channel_for(const std::string& id) {
  if (database_.sin_port == 0) return nullptr;  // none was named
  if (channels_.size() < max_connections_) {
    return channels_.emplace_back(std::make_unique<Channel>(*this)).get();
  }
  Channel* best = nullptr;
  for (auto& channel : channels_) {
    if (channel->can_carry(id) && (!best || channel->load() < best->load())) best = channel.get();
  }
  return best;
}

void DatabaseClient::call(service::ServerRequest& request, std::string_view body, Nanos longest) {
  if (Channel* channel = channel_for(request.id)) return channel->call(request, body, longest);
  unreachable_.push_back(&request);
  tell_.set(0);
}

void DatabaseClient::abandon_call(service::ServerRequest& request) {
  std::erase(unreachable_, &request);
  if (ending_) ending_->abandon_call(request);
  for (auto& channel : channels_) channel->abandon_call(request);
}

void DatabaseClient::tell_unreachable() {
  for (service::ServerRequest* request : std::exchange(unreachable_, {})) {
    service_->call_completed(*request, service::CallResult::kUnreachable, "");
  }
}

}  // namespace myrtlecroft::net
