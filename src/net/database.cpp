#include "net/database.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "net/database_lines.h"

namespace myrtlecroft::net {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr std::size_t kMostChannels = 4;
constexpr Nanos kIdleLimit = 8'000 * kMs;  // sooner than the database, so that no call crosses its close

}  // namespace

class Database::Channel final : public ConnectionOwner {
 public:
  explicit Channel(Database& database)
      : database_(database),
        connection_(database.loop_.base(), database.database_, *this, database.log_, "database connection"),
        idle_(database.loop_.base(), [this] { connection_.end(Reason::kIdle); }) {}

  bool can_carry(const std::string& id) const {
    return !connection_.parting() && !out_.contains(id) && !given_up_.contains(id);
  }

  void call(service::ServerExchange& ex, std::string_view body, Nanos longest) {
    idle_.clear();
    out_[ex.id] = &ex;
    connection_.write(query_line(ex.id, std::max<Nanos>(1, (longest + kMs - 1) / kMs), body));
  }

  void give_up(service::ServerExchange& ex) {
    if (!out_.erase(ex.id)) return;
    given_up_.insert(ex.id);
    connection_.write(give_up_line(ex.id));
    rest();
  }

  void forget(const std::string& id) {
    out_.erase(id);
    given_up_.erase(id);
  }

  std::size_t came(Connection&, std::string_view bytes) override {
    std::size_t taken = 0;
    DatabaseReply reply;
    for (;;) {
      LineState state = read_database_reply(bytes.substr(taken), reply);
      if (state == LineState::kMalformed) connection_.end(Reason::kMalformed);
      if (state != LineState::kWhole) return taken;
      taken += reply.size;
      std::string id(reply.id);
      given_up_.erase(id);
      auto place = out_.find(id);
      if (place == out_.end()) continue;
      service::ServerExchange& ex = *place->second;
      out_.erase(place);
      rest();
      database_.service_->replied(ex, reply.reply, std::string(reply.body));
    }
  }

  // A connection that never came up carried nothing. One that breaks proves nothing.
  void ended(Connection& connection, Reason) override {
    std::map<std::string, service::ServerExchange*> out = std::exchange(out_, {});
    Database& database = database_;
    service::Reply reply = connection.was_open() ? service::Reply::kBroken : service::Reply::kUnreachable;
    std::erase_if(database.channels_, [this](auto& each) { return each.get() == this; });
    // From here on it is gone.
    for (auto& [id, ex] : out) database.service_->replied(*ex, reply, "");
  }

 private:
  void rest() {
    if (out_.empty()) idle_.set(kIdleLimit);
  }

  Database& database_;
  Connection connection_;
  Alarm idle_;
  std::map<std::string, service::ServerExchange*> out_;
  std::set<std::string> given_up_;  // a reply may still come
};

Database::Database(Loop& loop, service::LogPort& log, const sockaddr_in& database)
    : loop_(loop), log_(log), database_(database), tell_(loop.base(), [this] { tell_unreachable(); }) {}

Database::~Database() = default;

Database::Channel* Database::channel_for(const std::string& id) {
  for (auto& channel : channels_) {
    if (channel->can_carry(id)) return channel.get();
  }
  if (channels_.size() >= kMostChannels) return nullptr;
  return channels_.emplace_back(std::make_unique<Channel>(*this)).get();
}

void Database::call(service::ServerExchange& ex, std::string_view body, Nanos longest) {
  if (Channel* channel = channel_for(ex.id)) return channel->call(ex, body, longest);
  unreachable_.push_back(&ex);
  tell_.set(0);
}

void Database::give_up(service::ServerExchange& ex) {
  std::erase(unreachable_, &ex);
  for (auto& channel : channels_) channel->give_up(ex);
}

void Database::forget(service::ServerExchange& ex) {
  std::erase(unreachable_, &ex);
  for (auto& channel : channels_) channel->forget(ex.id);
}

void Database::tell_unreachable() {
  for (service::ServerExchange* ex : std::exchange(unreachable_, {})) {
    service_->replied(*ex, service::Reply::kUnreachable, "");
  }
}

}  // namespace myrtlecroft::net
