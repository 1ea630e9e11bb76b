#include "engine.h"

#include <algorithm>
#include <sstream>

#include "net/address.h"
#include "net/base64.h"

namespace myrtlecroft::standin {
namespace {

constexpr std::size_t kConnections = 64;
constexpr double kColdSpeed = 3;  // times its usual time, while cold
constexpr Nanos kBeat = 2 * kMs;
constexpr std::size_t kMaxResult = 4'096;
constexpr Nanos kAtCall = 2 * kSecond;  // a run whose call is never answered ends

}  // namespace

Engine::Engine(net::Loop& loop, service::Logger& log, std::string node, int cores,
               std::function<void(const ObservedRun&)> seen)
    : loop_(loop),
      node_(std::move(node)),
      cores_(cores),
      seen_(std::move(seen)),
      door_(loop, log, net::loopback(0), "engine", kConnections,
            {.received =
                 [this](control::FrameServer::Id id, net::Connection& connection, std::string_view bytes) {
                   link_id_ = id;
                   return bytes_received(connection, bytes);
                 },
             // A new link replaces the one before it, whose end may be seen later.
             .closed =
                 [this](control::FrameServer::Id id) {
                   if (id == link_id_) link_ = nullptr;
                 }}),
      again_(loop.base(), [this] { end_due(); }),
      started_(loop.now()) {
  again_.set(kBeat);
}

void Engine::silent(bool silent) {
  silent_ = silent;
  if (!silent) end_due();
}

void Engine::restart(Nanos cold_for) {
  runs_.clear();
  std::fill(free_at_.begin(), free_at_.end(), 0);
  notices_ = 0;
  started_ = loop_.now();
  warm_at_ = started_ + cold_for;
}

std::size_t Engine::bytes_received(net::Connection& connection, std::string_view bytes) {
  link_ = &connection;
  std::size_t taken = 0;
  for (std::size_t end; (end = bytes.find('\n', taken)) != std::string_view::npos; taken = end + 1) {
    if (auto line = net::read_engine_line(bytes.substr(taken, end - taken))) command(*line);
  }
  return taken;
}

void Engine::tell(const std::string& line) {
  if (link_) link_->write(line + "\n");
}

double Engine::crowd() const { return std::max(1.0, static_cast<double>(runs_.size() + 1) / cores_); }

void Engine::hello() {
  if (!attached_ || loop_.now() < up_at_) return;
  attached_ = false;
  tell("{\"cmd\":\"HELLO\",\"result\":\"" + std::string(warming_up() ? "booting" : "steady") +
       "\",\"elapsed_ms\":" + std::to_string((loop_.now() - started_) / kMs) + "}");
}

void Engine::command(const net::EngineLine& line) {
  if (line.cmd == "ATTACH") {
    attached_ = true;
    hello();
  } else if (line.cmd == "RUN") {
    start(line.req, net::from_base64(line.payload).value_or(""));
  } else if (line.cmd == "FEED" || line.cmd == "SKIP") {
    auto run = runs_.find(line.req);
    if (run != runs_.end())
      run->second = {loop_.now() + 2 * kMs, false, false, run->second.result, run->second.work};
  } else if (line.cmd == "STAT") {
    double on = static_cast<double>(runs_.size());
    std::ostringstream out;
    out << "{\"cmd\":\"STATS\",\"token\":\"" << line.token << "\",\"load\":[" << std::min(1.0, on / cores_)
        << "," << on << ",0.1,10]}";
    tell(out.str());
  } else if (line.cmd == "TEST") {
    tell("{\"cmd\":\"TESTED\",\"token\":\"" + line.token + "\",\"result\":\"" +
         (silent_ ? "failure" : "success") + "\"}");
  }
}

void Engine::start(const std::string& id, const std::string& payload) {
  std::istringstream words(payload);
  ObservedRun seen;
  seen.node = node_;
  seen.at = loop_.now();
  double ms = 0;
  int calls = 0;
  std::size_t result = 0;
  words >> seen.request_class >> seen.key >> ms >> calls >> result;
  seen_(seen);
  if (ms <= 0 && calls == 0 && !silent_) {  // takes no core's time
    runs_[id] = {loop_.now(), false, false, std::min(result, kMaxResult), kMs};
    return end_due();
  }
  bool fits = loop_.now() - started_ >= behaviour_.after && runs_.size() >= behaviour_.min_concurrent_runs &&
              (behaviour_.request_class.empty() || behaviour_.request_class == seen.request_class);
  double work =
      ms * slow_ * (fits ? behaviour_.slow : 1) * (warming_up() ? kColdSpeed : 1) * static_cast<double>(kMs);
  Nanos ends = loop_.now() + static_cast<Nanos>(work * crowd());
  if (!free_at_.empty()) {
    auto core = std::min_element(free_at_.begin(), free_at_.end());
    ends = *core = std::max(*core, loop_.now()) + static_cast<Nanos>(work);
  }
  runs_[id] = {ends, calls > 0, false, std::min(result, kMaxResult), std::max(kMs, static_cast<Nanos>(work))};
}

void Engine::end_due() {
  if (!again_.is_set()) again_.set(kBeat);
  hello();
  if (silent_ || behaviour_.silent) return;
  for (auto run = runs_.begin(); run != runs_.end();) {
    if (run->second.ends > loop_.now()) {
      ++run;
      continue;
    }
    bool given_up = run->second.at_call;
    std::string head = "{\"cmd\":\"" + std::string(run->second.calls ? "NEED" : "DONE") +
                       "\",\"offset\":" + std::to_string(++notices_) + ",\"req\":\"" + run->first + "\"";
    std::string payload;
    std::string result = run->second.result ? std::string(run->second.result, 'r') : "result";
    net::append_base64(payload, run->second.calls ? "parts" : result);
    if (!run->second.calls)
      head += std::string(",\"result\":\"") + (given_up ? "interrupted" : "success") +
              "\",\"elapsed_ms\":" + std::to_string(run->second.work / kMs);
    tell(head + ",\"payload\":\"" + payload + "\"}");
    if (run->second.calls) {
      run->second = {loop_.now() + kAtCall, false, true, run->second.result, run->second.work};
      ++run;
    } else {
      run = runs_.erase(run);
    }
  }
}

Database::Database(net::Loop& loop, service::Logger& log)
    : door_(loop, log, net::loopback(0), "database", 4 * kConnections,
            {.received = [this](control::FrameServer::Id, net::Connection& connection,
                                std::string_view bytes) { return bytes_received(connection, bytes); }}) {}

std::size_t Database::bytes_received(net::Connection& connection, std::string_view bytes) {
  std::size_t taken = 0;
  for (;;) {
    std::size_t end = bytes.find("\r\n", taken);
    if (end == std::string_view::npos) return taken;
    std::istringstream words(std::string(bytes.substr(taken, end - taken)));
    std::string word;
    std::string id;
    std::size_t ms = 0;
    std::size_t size = 0;
    words >> word >> id >> ms >> size;
    if (word != "Q") {
      taken = end + 2;
      continue;
    }
    if (bytes.size() < end + 2 + size + 2) return taken;
    taken = end + 2 + size + 2;
    connection.write(id + " ROWS 4\r\nrows\r\n");
  }
}

}  // namespace myrtlecroft::standin
