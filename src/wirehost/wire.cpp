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
  auto gauge = [&](std::string_view name, std::optional<double>& target) {
    if (auto reading = find(values, name)) target = number(values, name, *reading);
  };
  gauge("core_use", gauges.core_utilization);
  gauge("on_cores", gauges.runnable_threads);
  gauge("links", gauges.connections);
  return gauges;
}

// Returns an empty name if the request has no tenant: the field is absent or 0.
std::string read_tenant(object fields) {
  std::optional<element> tenant = find(fields, "tenant");
  if (!tenant) return "";
  if (tenant->is_string()) return text(fields, "tenant");
  std::int64_t zero = -1;
  if (tenant->get(zero) != simdjson::SUCCESS || zero != 0) fail(fields, "tenant", "is neither a text nor 0");
  return "";
}

bool read_has_lookup_key(object fields) {
  if (!find(fields, "targetKey")) return false;
  integer(fields, "targetKey");
  return true;
}

// Replaces control characters, which a message may quote from the input, so that it fits on one line.
std::string to_single_line(std::string message) {
  for (char& c : message) {
    if (static_cast<unsigned char>(c) < 0x20) c = ' ';
  }
  return message;
}

// Request with its id in the simulator.
struct SimulatedRequest : Request {
  std::uint64_t id = 0;
  std::uint64_t original_id = 0;  // of the attempt that this one retries; 0: none
};

}  // namespace

// One incarnation of a server: its controller, its requests by id, and its actions as lines of the reply.
class Instance final : public ControllerActions {
 public:
  Instance(std::int64_t number, const ServiceConfig& config, std::uint64_t seed, std::string& reply)
      : config_(config), reply_(reply), controller_(config_, *this, seed) {
    server_field_ = ",\"server\":" + std::to_string(number);
  }

  Controller& controller() { return controller_; }

  SimulatedRequest& add_request(object fields) {
    auto request = std::make_unique<SimulatedRequest>();
    request->id = static_cast<std::uint64_t>(integer(fields, "requestId"));
    std::string request_class = text(fields, "profile");
    for (const RequestClass& known : config_.request_classes) {
      if (known.name == request_class) request->request_class = &known;
    }
    if (!request->request_class)
      throw WireError("field 'profile' names the unknown class '" + request_class + "'");
    request->tenant = tenants_.find(read_tenant(fields));
    request->has_lookup_key = read_has_lookup_key(fields);
    request->writes = boolean(fields, "update");
    request->arrived = -integer_or(fields, "ageNs", 0);  // minus the age; read_details adds the time
    request->client_deadline = integer_or(fields, "giveUpAtNs", 0);
    request->estimated_work = integer_or(fields, "workNs", 0);
    request->queued_kb = number(fields, "footprint");
    request->original_id = static_cast<std::uint64_t>(integer_or(fields, "prior", 0));
    request->is_retry = request->original_id != 0;
    auto [position, inserted] = requests_.emplace(request->id, std::move(request));
    if (!inserted) throw WireError("field 'requestId' repeats the id of another request");
    return *position->second;
  }

  // Null if the request has ended.
  SimulatedRequest* find_request(std::uint64_t id) {
    auto position = requests_.find(id);
    return position == requests_.end() ? nullptr : position->second.get();
  }

  // Destroys the requests that the controller has released.
  void free_released() {
    for (std::uint64_t id : released_) requests_.erase(id);
    released_.clear();
  }

  void run(Request& request) override { append_request_action("Take", request); }
  void stop_work(Request& request) override { append_request_action("AbortWork", request); }
  void reject(Request& request, bool no_failover, Nanos retry_after) override {
    std::string extra_fields = no_failover ? ",\"dontRetry\":true" : "";
    if (retry_after > 0) extra_fields += ",\"pauseNs\":" + std::to_string(retry_after);
    append_request_action("Reject", request, extra_fields);
  }
  void fail(Request& request) override { append_request_action("FinishError", request); }
  void call(Request& request, Nanos max_wait) override {
    append_request_action("GoCall", request, ",\"maxWaitNs\":" + std::to_string(max_wait));
  }
  bool abandon_call(Request&) override { return false; }
  void skip_call(Request& request) override { append_request_action("Bypass", request); }
  void retain_key(Request& request, Nanos lifetime) override {
    append_request_action("StoreKey", request, ",\"forTimeNs\":" + std::to_string(lifetime));
  }
  void forget_key(Request& request) override { append_request_action("Unpin", request); }
  void coalesce(Request& request) override { append_request_action("Attach", request); }
  void report_health(bool healthy) override {
    append_action("ReportHealth", std::string(",\"stored\":true,\"want\":") + (healthy ? "true" : "false"));
  }
  void advertise(double value) override { append_action("Advertise", ",\"level\":" + std::to_string(value)); }
  void close_idle(Nanos max_idle_time) override {
    append_action("IdleLimit", ",\"forTimeNs\":" + std::to_string(max_idle_time));
  }
  void schedule_timer(Nanos delay, std::uint64_t token) override {
    append_action("SetTimer",
                  ",\"sleepForNs\":" + std::to_string(delay) + ",\"token\":" + std::to_string(token));
  }
  void log(const std::string& text) override {
    std::string quoted;
    for (char c : text) {
      if (c == '"' || c == '\\') quoted += '\\';
      quoted += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    append_action("Debug", ",\"bodyText\":\"" + quoted + "\"");
  }
  void release(Request& request) override { released_.push_back(static_cast<SimulatedRequest&>(request).id); }

 private:
  void append_action(const char* name, const std::string& extra_fields) {
    reply_ += "{\"m\":\"";
    reply_ += name;
    reply_ += '"';
    reply_ += server_field_;
    reply_ += extra_fields;
    reply_ += "}\n";
  }
  void append_request_action(const char* name, Request& request, const std::string& extra_fields = "") {
    append_action(
        name, ",\"requestId\":" + std::to_string(static_cast<SimulatedRequest&>(request).id) + extra_fields);
  }

  const ServiceConfig config_;
  const service::TenantIndex<> tenants_{config_.tenants};
  std::string& reply_;
  std::string server_field_;
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
  std::uint64_t number = 0;  // request id, or timer token
  Outcome outcome = Outcome::kOk;
  Nanos time = 0;  // stop time of kDrain, duration of kCallEnded and kRunCompleted
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
    throw WireError("line " + std::to_string(line_number_) + ": " + to_single_line(error.what()));
  }
}

Instance& Wire::instance_of(object fields) {
  std::int64_t number = integer(fields, "server");
  auto position = instances_.find(number);
  if (position == instances_.end()) {
    throw WireError("field 'server' names " + std::to_string(number) + ", which was never started");
  }
  return *position->second;
}

// Also drops the instance's earlier events of the present batch.
void Wire::end_instance(std::int64_t number) {
  auto position = instances_.find(number);
  if (position == instances_.end()) return;
  std::erase_if(events_, [&](const Event& event) { return event.instance == position->second.get(); });
  instances_.erase(position);
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
  Instance& new_instance = *instance;
  instances_[number] = std::move(instance);
  return new_instance;
}

// Creates all requests of the batch before the first event is delivered, since an attempt may refer to a
// later one.
void Wire::read_details(object fields, Event& event) {
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::kReceived:
      event.request = &event.instance->add_request(fields);
      event.request->arrived += now_;
      break;
    case Kind::kDrain:
      event.time = integer(fields, "giveUpAtNs");
      break;
    case Kind::kTimerExpired:
      event.number = static_cast<std::uint64_t>(integer(fields, "token"));
      event.gauges = read_gauges(fields);
      break;
    default:  // events of one request
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
      event.request->original = event.instance->find_request(event.request->original_id);
      return controller.request_received(*event.request, now_);
    default:
      break;
  }
  SimulatedRequest* request = event.instance->find_request(event.number);
  if (!request) return;  // the request has ended
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
