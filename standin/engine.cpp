#include "engine.h"

#include <algorithm>
#include <sstream>

#include "net/address.h"
#include "net/base64.h"

namespace myrtlecroft::standin {
namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr double kWarmUpSlowdown = 3;  // factor on a run's duration while warming up
constexpr Nanos kTickInterval = 2 * kMs;
constexpr std::size_t kMaxResult = 4'096;
constexpr Nanos kCallTimeout = 2 * kSecond;  // after this a run whose dependency call is not answered ends

}  // namespace

Engine::Engine(net::Loop& loop, service::Logger& log, std::string node, int cores,
               std::function<void(const ObservedRun&)> run_started)
    : loop_(loop),
      node_(std::move(node)),
      cores_(cores),
      run_started_(std::move(run_started)),
      server_(loop, log, net::loopback(0), "engine", kMaxConnections,
              {.received =
                   [this](control::FrameServer::Id id, net::Connection& connection, std::string_view bytes) {
                     link_id_ = id;
                     return bytes_received(connection, bytes);
                   },
               // A new link replaces the previous one, whose end may be reported after it.
               .closed =
                   [this](control::FrameServer::Id id) {
                     if (id == link_id_) link_ = nullptr;
                   }}),
      tick_(loop.base(), [this] { end_due(); }),
      started_at_(loop.now()) {
  tick_.set(kTickInterval);
}

void Engine::silent(bool silent) {
  silent_ = silent;
  if (!silent) end_due();
}

void Engine::restart(Nanos cold_for) {
  runs_.clear();
  std::fill(core_free_at_.begin(), core_free_at_.end(), 0);
  last_offset_ = 0;
  started_at_ = loop_.now();
  warm_at_ = started_at_ + cold_for;
}

std::size_t Engine::bytes_received(net::Connection& connection, std::string_view bytes) {
  link_ = &connection;
  std::size_t consumed = 0;
  for (std::size_t end; (end = bytes.find('\n', consumed)) != std::string_view::npos; consumed = end + 1) {
    if (auto line = net::read_engine_line(bytes.substr(consumed, end - consumed))) command(*line);
  }
  return consumed;
}

void Engine::send_line(const std::string& line) {
  if (link_) link_->write(line + "\n");
}

double Engine::load_slowdown() const { return std::max(1.0, static_cast<double>(runs_.size() + 1) / cores_); }

void Engine::send_hello_when_ready() {
  if (!hello_pending_ || loop_.now() < ready_at_) return;
  hello_pending_ = false;
  send_line("{\"cmd\":\"HELLO\",\"result\":\"" + std::string(warming_up() ? "booting" : "steady") +
            "\",\"elapsed_ms\":" + std::to_string((loop_.now() - started_at_) / kMs) + "}");
}

void Engine::command(const net::EngineLine& line) {
  if (line.cmd == "ATTACH") {
    hello_pending_ = true;
    send_hello_when_ready();
  } else if (line.cmd == "RUN") {
    start(line.req, net::from_base64(line.payload).value_or(""));
  } else if (line.cmd == "FEED" || line.cmd == "SKIP") {
    auto run = runs_.find(line.req);
    if (run != runs_.end())
      run->second = {loop_.now() + 2 * kMs, false, false, run->second.result, run->second.work};
  } else if (line.cmd == "STAT") {
    double running = static_cast<double>(runs_.size());
    std::ostringstream out;
    out << "{\"cmd\":\"STATS\",\"token\":\"" << line.token << "\",\"load\":["
        << std::min(1.0, running / cores_) << "," << running << ",0.1,10]}";
    send_line(out.str());
  } else if (line.cmd == "TEST") {
    send_line("{\"cmd\":\"TESTED\",\"token\":\"" + line.token + "\",\"result\":\"" +
              (silent_ ? "failure" : "success") + "\"}");
  }
}

void Engine::start(const std::string& id, const std::string& payload) {
  std::istringstream fields(payload);
  ObservedRun observed;
  observed.node = node_;
  observed.at = loop_.now();
  double ms = 0;
  int dependency_calls = 0;
  std::size_t result = 0;
  fields >> observed.request_class >> observed.key >> ms >> dependency_calls >> result;
  run_started_(observed);
  if (ms <= 0 && dependency_calls == 0 && !silent_) {  // needs no core time
    runs_[id] = {loop_.now(), false, false, std::min(result, kMaxResult), kMs};
    return end_due();
  }
  bool behaviour_applies =
      loop_.now() - started_at_ >= behaviour_.after && runs_.size() >= behaviour_.min_concurrent_runs &&
      (behaviour_.request_class.empty() || behaviour_.request_class == observed.request_class);
  double work = ms * slowdown_ * (behaviour_applies ? behaviour_.slow : 1) *
                (warming_up() ? kWarmUpSlowdown : 1) * static_cast<double>(kMs);
  Nanos ends_at = loop_.now() + static_cast<Nanos>(work * load_slowdown());
  if (!core_free_at_.empty()) {
    auto core = std::min_element(core_free_at_.begin(), core_free_at_.end());
    ends_at = *core = std::max(*core, loop_.now()) + static_cast<Nanos>(work);
  }
  runs_[id] = {ends_at, dependency_calls > 0, false, std::min(result, kMaxResult),
               std::max(kMs, static_cast<Nanos>(work))};
}

void Engine::end_due() {
  if (!tick_.is_set()) tick_.set(kTickInterval);
  send_hello_when_ready();
  if (silent_ || behaviour_.silent) return;
  for (auto run = runs_.begin(); run != runs_.end();) {
    if (run->second.ends_at > loop_.now()) {
      ++run;
      continue;
    }
    bool call_timed_out = run->second.call_pending;
    std::string head = "{\"cmd\":\"" + std::string(run->second.will_call ? "NEED" : "DONE") +
                       "\",\"offset\":" + std::to_string(++last_offset_) + ",\"req\":\"" + run->first + "\"";
    std::string payload;
    std::string result = run->second.result ? std::string(run->second.result, 'r') : "result";
    net::append_base64(payload, run->second.will_call ? "parts" : result);
    if (!run->second.will_call)
      head += std::string(",\"result\":\"") + (call_timed_out ? "interrupted" : "success") +
              "\",\"elapsed_ms\":" + std::to_string(run->second.work / kMs);
    send_line(head + ",\"payload\":\"" + payload + "\"}");
    if (run->second.will_call) {
      run->second = {loop_.now() + kCallTimeout, false, true, run->second.result, run->second.work};
      ++run;
    } else {
      run = runs_.erase(run);
    }
  }
}

Database::Database(net::Loop& loop, service::Logger& log)
    : server_(loop, log, net::loopback(0), "database", 4 * kMaxConnections,
              {.received = [this](control::FrameServer::Id, net::Connection& connection,
                                  std::string_view bytes) { return bytes_received(connection, bytes); }}) {}

std::size_t Database::bytes_received(net::Connection& connection, std::string_view bytes) {
  std::size_t consumed = 0;
  for (;;) {
    std::size_t end = bytes.find("\r\n", consumed);
    if (end == std::string_view::npos) return consumed;
    std::istringstream fields(std::string(bytes.substr(consumed, end - consumed)));
    std::string command_name;
    std::string id;
    std::size_t ms = 0;
    std::size_t size = 0;
    fields >> command_name >> id >> ms >> size;
    if (command_name != "Q") {
      consumed = end + 2;
      continue;
    }
    if (bytes.size() < end + 2 + size + 2) return consumed;
    consumed = end + 2 + size + 2;
    connection.write(id + " ROWS 4\r\nrows\r\n");
  }
}

}  // namespace myrtlecroft::standin
