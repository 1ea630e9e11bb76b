#include "net/database_client.h"

#include <algorithm>
#include <set>
#include <utility>

#include "net/database_codec.h"

namespace myrtlecroft::net {
namespace {

constexpr Nanos kPartialReplyTimeout = 300 * kMs;  // from the first byte of a reply to its last

}  // namespace

class DatabaseClient::Channel final : public ConnectionOwner {
 public:
  explicit Channel(DatabaseClient& database)
      : database_(database),
        connection_(database.loop_.base(), database.database_, *this, database.log_, "database connection"),
        partial_reply_timer_(database.loop_.base(), [this] { connection_.end(CloseReason::kMalformed); }) {}

  bool can_carry(const std::string& id) const {
    return !retired_ && !connection_.closing() && !used_request_ids_.contains(id);
  }
  // Order in which channels are chosen: those with unsent bytes last, as their calls are already at risk,
  // then by the number of pending calls.
  std::pair<bool, std::size_t> load() const { return {connection_.unsent() > 0, pending_calls_.size()}; }

  void call(const std::string& request_id, std::string_view body, Nanos timeout) {
    pending_calls_.insert(request_id);
    used_request_ids_.insert(request_id);
    connection_.write(encode_query(request_id, std::max<Nanos>(1, (timeout + kMs - 1) / kMs), body));
  }

  // Closing the connection cancels the call. If other calls are pending on it, a cancel line is sent instead,
  // and the connection closes after the last of them.
  void abandon_call(const std::string& request_id) {
    if (!pending_calls_.erase(request_id)) return;
    if (!pending_calls_.empty()) connection_.write(encode_cancel(request_id));
    retire(CloseReason::kSpent);
  }

  // Takes no more calls, and ends once none is pending.
  void retire(CloseReason reason) {
    retired_ = true;
    if (pending_calls_.empty()) connection_.end(reason);
  }

  void opened(Connection&) override { connection_.set_reset_on_close(); }

  std::size_t bytes_received(Connection&, std::string_view bytes) override {
    std::size_t consumed = 0;
    DatabaseReply reply;
    LineState state = LineState::kComplete;
    while (!connection_.closing() && consumed < bytes.size() &&
           (state = read_database_reply(bytes.substr(consumed), reply)) == LineState::kComplete) {
      consumed += reply.size;
      std::string request_id(reply.id);
      if (!pending_calls_.erase(request_id)) {
        retired_ = true;  // a duplicate or unexpected reply: no further calls on this connection
        continue;
      }
      if (pending_calls_.empty()) retire(CloseReason::kDone);
      database_.service_->call_completed(request_id, reply.result, std::string(reply.body));
    }
    if (state == LineState::kMalformed) connection_.end(CloseReason::kMalformed);
    if (connection_.closing()) return bytes.size();
    if (consumed == bytes.size()) {
      partial_reply_timer_.clear();
    } else if (!partial_reply_timer_.is_set()) {
      partial_reply_timer_.set(kPartialReplyTimeout);
    }
    return consumed;
  }

  // Calls of a connection that was never established were not sent; those of a broken one may have been
  // executed. The handling of one result can abandon the call of another request on this channel: that call
  // is not reported any more, as its result would be taken for that of the request's next call.
  void ended(Connection& connection, CloseReason) override {
    service::CallResult result =
        connection.was_open() ? service::CallResult::kConnectionLost : service::CallResult::kUnreachable;
    auto entry = std::find_if(database_.channels_.begin(), database_.channels_.end(),
                              [this](auto& each) { return each.get() == this; });
    std::unique_ptr<Channel> own = std::move(*entry);
    database_.channels_.erase(entry);
    database_.ending_channel_ = this;
    while (!pending_calls_.empty()) {
      std::string request_id = pending_calls_.extract(pending_calls_.begin()).value();
      database_.service_->call_completed(request_id, result, "");
    }
    database_.ending_channel_ = nullptr;
  }

 private:
  DatabaseClient& database_;
  Connection connection_;
  Timer partial_reply_timer_;
  std::set<std::string> pending_calls_;     // ids of the requests
  std::set<std::string> used_request_ids_;  // a late reply to these is possible
  bool retired_ = false;
};

DatabaseClient::DatabaseClient(Loop& loop, service::Logger& log, const sockaddr_in& database,
                               std::size_t max_connections)
    : loop_(loop),
      log_(log),
      database_(database),
      max_connections_(max_connections),
      report_timer_(loop.base(), [this] { report_unreachable_calls(); }) {}

DatabaseClient::~DatabaseClient() = default;

void DatabaseClient::move(const sockaddr_in& database) {
  database_ = database;
  for (auto& channel : channels_) channel->retire(CloseReason::kMoved);
}

DatabaseClient::Channel* DatabaseClient::channel_for(const std::string& id) {
  if (database_.sin_port == 0) return nullptr;  // no database is configured
  if (channels_.size() < max_connections_) {
    return channels_.emplace_back(std::make_unique<Channel>(*this)).get();
  }
  Channel* best = nullptr;
  for (auto& channel : channels_) {
    if (channel->can_carry(id) && (!best || channel->load() < best->load())) best = channel.get();
  }
  return best;
}

void DatabaseClient::call(const std::string& request_id, std::string_view body, Nanos timeout) {
  if (Channel* channel = channel_for(request_id)) return channel->call(request_id, body, timeout);
  unreachable_requests_.push_back(request_id);
  report_timer_.set(0);
}

void DatabaseClient::abandon_call(const std::string& request_id) {
  std::erase(unreachable_requests_, request_id);
  if (ending_channel_) ending_channel_->abandon_call(request_id);
  for (auto& channel : channels_) channel->abandon_call(request_id);
}

void DatabaseClient::report_unreachable_calls() {
  while (!unreachable_requests_.empty()) {
    std::string request_id = std::move(unreachable_requests_.front());
    unreachable_requests_.pop_front();
    service_->call_completed(request_id, service::CallResult::kUnreachable, "");
  }
}

}  // namespace myrtlecroft::net
