#include "wire.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "service/tenant_index.h"
#include "service_config/service_config_reader.h"

namespace myrtlecroft::wirehost {
namespace {

using namespace config;

Outcome read_outcome(object fields) {
  return enum_value<Outcome>(fields, "reason",
                             {{"Ok", Outcome::kOk},
                              {"Failed", Outcome::kFailed},
                              {"QueueFull", Outcome::kAtCapacity},
                              {"TimedOut", Outcome::kTimedOut},
                              {"ConnectError", Outcome::kUnreachable},
                              {"ResetByPeer", Outcome::kReset},
                              {"Canceled", Outcome::kCanceled},
                              {"Ignored", Outcome::kIgnored}},
                             "");
}

Gauges read_gauges(object fields) {
  Gauges gauges;
  if (!find(fields, "metrics")) return gauges;
  object values = object_field(fields, "metrics");
  auto gauge = [&](std::string_view name, std::optional<double>& into) {
    if (auto reading = find(values, name)) into = number(values, name, *reading);
  };
  gauge("core_use", gauges.core_utilization);
  gauge("on_cores", gauges.runnable_threads);
  gauge("links", gauges.connections);
  return gauges;
}

// Empty where the site has no tenants, which the wire may also tell by 0.
std::string read_tenant(object fields) {
  std::optional<element> tenant = find(fields, "tenant");
  if (!tenant) return "";
  if (tenant->is_string()) return text(fields, "tenant");
  std::int64_t none = -1;
  if (tenant->get(none) != simdjson::SUCCESS || none != 0) fail(fields, "tenant", "is neither a text nor 0");
  return "";
}

bool has_key(object fields) {
  if (!find(fields, "targetKey")) return false;
  integer(fields, "targetKey");
  return true;
}

// One line for standard error, whatever bytes of the input it quotes.
std::string one_line(std::string message) {
  for (char& c : message) {
    if (static_cast<unsigned char>(c) < 0x20) c = ' ';
  }
  return message;
}

struct SimulatedRequest : Request {
  std::uint64_t id = 0;
  std::uint64_t prior_id = 0;
};

}  // namespace

// One server's life: its Controller, its requests by id, and its actions as lines of the reply.
class Instance final : public ControllerActions {
 public:
  Instance(std::int64_t number, const ServiceConfig& config, std::uint64_t seed, std::string& reply)
      : config_(config), reply_(reply), controller_(config_, *this, seed) {
    server_ = ",\"server\":" + std::to_string(number);
  }

  Controller& controller() { return controller_; }

  SimulatedRequest& add(object fields) {
    auto request = std::make_unique<SimulatedRequest>();
    request->id = static_cast<std::uint64_t>(integer(fields, "requestId"));
    std::string request_class = text(fields, "profile");
    for (const RequestClass& known : config_.request_classes) {
      if (known.name == request_class) request->request_class = &known;
    }
    if (!request->request_class)
      throw WireError("field 'profile' names the unknown class '" + request_class + "'");
    request->tenant = tenants_.find(read_tenant(fields));
    request->has_lookup_key = has_key(fields);
    request->writes = boolean(fields, "update");
    request->arrived = -integer_or(fields, "ageNs", 0);  // made a clock time when it is delivered
    request->client_deadline = integer_or(fields, "giveUpAtNs", 0);
    request->estimated_work = integer_or(fields, "workNs", 0);
    request->queued_kb = number(fields, "footprint");
    request->prior_id = static_cast<std::uint64_t>(integer_or(fields, "prior", 0));
    request->is_retry = request->prior_id != 0;
    auto [place, fresh] = requests_.emplace(request->id, std::move(request));
    if (!fresh) throw WireError("field 'requestId' comes a second time");
    return *place->second;
  }

  // Null for one that is over.
  SimulatedRequest* at(std::uint64_t id) {
    auto place = requests_.find(id);
    return place == requests_.end() ? nullptr : place->second.get();
  }

  void free_released() {
    for (std::uint64_t id : released_) requests_.erase(id);
    released_.clear();
  }

  void run(Request& request) override { act("Take", request); }
  void stop_work(Request& request) override { act("AbortWork", request); }
  void reject(Request& request, bool no_failover, Nanos retry_after) override {
    std::string more = no_failover ? ",\"dontRetry\":true" : "";
    if (retry_after > 0) more += ",\"pauseNs\":" + std::to_string(retry_after);
    act("Reject", request, more);
  }
  void fail(Request& request) override { act("FinishError", request); }
  void call(Request& request, Nanos longest) override {
    act("GoCall", request, ",\"maxWaitNs\":" + std::to_string(longest));
  }
  bool abandon_call(Request&) override { return false; }
  void skip_call(Request& request) override { act("Bypass", request); }
  void retain_key(Request& request, Nanos lifetime) override {
    act("StoreKey", request, ",\"forTimeNs\":" + std::to_string(lifetime));
  }
  void forget_key(Request& request) override { act("Unpin", request); }
  void coalesce(Request& request) override { act("Attach", request); }
  void report_health(bool good) override {
    line("ReportHealth", std::string(",\"stored\":true,\"want\":") + (good ? "true" : "false"));
  }
  void advertise(double value) override { line("Advertise", ",\"level\":" + std::to_string(value)); }
  void close_idle(Nanos after) override { line("IdleLimit", ",\"forTimeNs\":" + std::to_string(after)); }
  void schedule_timer(Nanos delay, std::uint64_t token) override {
    line("SetTimer", ",\"sleepForNs\":" + std::to_string(delay) + ",\"token\":" + std::to_string(token));
  }
  void log(const std::string& text) override {
    std::string quoted;
    for (char c : text) {
      if (c == '"' || c == '\\') quoted += '\\';
      quoted += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    line("Debug", ",\"bodyText\":\"" + quoted + "\"");
  }
  void release(Request& request) override { released_.push_back(static_cast<SimulatedRequest&>(request).id); }

 private:
  void line(const char* name, const std::string& more) {
    reply_ += "{\"m\":\"";
    reply_ += name;
    reply_ += '"';
    reply_ += server_;
    reply_ += more;
    reply_ += "}\n";
  }
  void act(const char* name, Request& request, const std::string& more = "") {
    line(name, ",\"requestId\":" + std::to_string(static_cast<SimulatedRequest&>(request).id) + more);
  }

  const ServiceConfig config_;
  const service::TenantIndex<> tenants_{config_.tenants};
  std::string& reply_;
  std::string server_;
  std::unordered_map<std::uint64_t, std::unique_ptr<SimulatedRequest>> requests_;
  std::vector<std::uint64_t> released_;
  Controller controller_;
};

struct Wire::Event {
  enum class Kind {
    kStart,
    kStop,
    kReceived,
    kCallNeeded,
    kCallEnded,
    kRunCompleted,
    kDisconnected,
    kDrain,
    kTimerExpired
  };
  static Kind kind_of(object fields);

  Kind kind = Kind::kStart;
  Instance* instance = nullptr;
  SimulatedRequest* request = nullptr;
  std::uint64_t number = 0;  // request id or token
  Outcome outcome = Outcome::kOk;
  Nanos time = 0;
  Gauges gauges;
};

Wire::Wire(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
Wire::~Wire() = default;

void Wire::serve() {
  try {
    while (read_batch()) {
      for (const Event& event : events_) deliver(event);
      for (const Event& event : events_) event.instance->free_released();
      reply_ += "{\"m\":\"Eor\",\"seq\":" + std::to_string(batch_) + "}\n";
      out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
      out_.flush();
      if (!out_) throw WireError("the reply can't be written");
    }
  } catch (const std::exception& error) {
    throw WireError("line " + std::to_string(line_number_) + ": " + one_line(error.what()));
  }
}

Instance& Wire::instance_of(object fields) {
  std::int64_t number = integer(fields, "server");
  auto place = instances_.find(number);
  if (place == instances_.end()) {
    throw WireError("field 'server' names " + std::to_string(number) + ", which was never started");
  }
  return *place->second;
}

// Events of the present batch that came before its end are void with it.
void Wire::end_instance(std::int64_t number) {
  auto place = instances_.find(number);
  if (place == instances_.end()) return;
  std::erase_if(events_, [&](const Event& event) { return event.instance == place->second.get(); });
  instances_.erase(place);
}

// Reads one batch into events_. False at the end of the input.
bool Wire::read_batch() {
  events_.clear();
  reply_.clear();
  bool open = false;
  while (std::getline(in_, line_)) {
    ++line_number_;
    element value;
    if (auto error = parser_.parse(line_).get(value)) {
      throw WireError(std::string("not JSON: ") + simdjson::error_message(error));
    }
    object fields;
    if (value.get(fields) != simdjson::SUCCESS) throw WireError("not an object");
    std::string name = text(fields, "m");
    if ((name == "Turn") == open) throw WireError("field 'm' names '" + name + "' in the wrong place");
    if (name == "Turn") {
      open = true;
      now_ = integer(fields, "momentNs");
      batch_ = integer(fields, "seq");
    } else if (name == "EofBatch") {
      return true;
    } else {
      read_event(fields);
    }
  }
  if (open) throw WireError("the input ends inside a batch");
  return false;
}

Wire::Event::Kind Wire::Event::kind_of(object fields) {
  constexpr std::pair<std::string_view, Kind> kKinds[] = {
      {"Provision", Kind::kStart},      {"Stop", Kind::kStop},          {"Call", Kind::kReceived},
      {"AtCall", Kind::kCallNeeded},    {"CallDone", Kind::kCallEnded}, {"Settled", Kind::kRunCompleted},
      {"Dropped", Kind::kDisconnected}, {"WindDown", Kind::kDrain},     {"Ring", Kind::kTimerExpired}};
  std::string name = text(fields, "m");
  for (const auto& [known, kind] : kKinds) {
    if (known == name) return kind;
  }
  throw WireError("field 'm' names the unknown event '" + name + "'");
}

void Wire::read_event(object fields) {
  Event event;
  event.kind = Event::kind_of(fields);
  if (event.kind == Event::Kind::kStart) {
    event.instance = &start_instance(fields);
    events_.push_back(event);
    return;
  }
  event.instance = &instance_of(fields);
  if (event.kind == Event::Kind::kStop) {
    end_instance(integer(fields, "server"));
    return;
  }
  read_details(fields, event);
  events_.push_back(event);
}

Instance& Wire::start_instance(object fields) {
  std::int64_t number = integer(fields, "server");
  auto seed = static_cast<std::uint64_t>(integer(fields, "seed"));
  end_instance(number);
  auto instance =
      std::make_unique<Instance>(number, read_service_config(object_field(fields, "env")), seed, reply_);
  Instance& started = *instance;
  instances_[number] = std::move(instance);
  return started;
}

// Requests of the whole batch exist before the first event is delivered: attempts may name later ones.
void Wire::read_details(object fields, Event& event) {
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::kReceived:
      event.request = &event.instance->add(fields);
      event.request->arrived += now_;
      break;
    case Kind::kDrain:
      event.time = integer(fields, "giveUpAtNs");
      break;
    case Kind::kTimerExpired:
      event.number = static_cast<std::uint64_t>(integer(fields, "token"));
      event.gauges = read_gauges(fields);
      break;
    default:  // an event of one request
      event.number = static_cast<std::uint64_t>(integer(fields, "requestId"));
      if (event.kind == Kind::kCallEnded || event.kind == Kind::kRunCompleted) {
        event.outcome = read_outcome(fields);
        event.time = integer(fields, "rttNs");
      }
  }
}

void Wire::deliver(const Event& event) {
  Controller& controller = event.instance->controller();
  switch (event.kind) {
    case Event::Kind::kStart:
      return controller.start(now_);
    case Event::Kind::kDrain:
      return controller.begin_drain(event.time, now_);
    case Event::Kind::kTimerExpired:
      return controller.timer_expired(event.number, event.gauges, now_);
    case Event::Kind::kReceived:
      event.request->original = event.instance->at(event.request->prior_id);
      return controller.request_received(*event.request, now_);
    default:
      break;
  }
  SimulatedRequest* request = event.instance->at(event.number);
  if (!request) return;  // over: nothing is left to decide
  switch (event.kind) {
    case Event::Kind::kCallNeeded:
      return controller.call_needed(*request, now_);
    case Event::Kind::kCallEnded:
      return controller.call_ended(*request, event.outcome, event.time, now_);
    case Event::Kind::kRunCompleted:
      return controller.run_completed(*request, event.outcome, now_);
    default:
      return controller.caller_disconnected(*request, now_);
  }
}

}  // namespace myrtlecroft::wirehost
