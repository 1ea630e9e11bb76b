#include "wire.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace myrtlecroft::wirehost {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;

// ---- Fields. Each reader names the field when it is missing or of the wrong kind.

[[noreturn]] void bad(std::string_view field, const char* what) {
  throw WireError("field '" + std::string(field) + "' " + what);
}

bool find(object fields, std::string_view name, element& value) {
  return fields[name].get(value) == simdjson::SUCCESS && !value.is_null();
}

std::int64_t whole(element value, std::string_view name) {
  std::int64_t number = 0;
  if (value.get(number) == simdjson::SUCCESS) return number;
  std::uint64_t large = 0;
  if (value.get(large) == simdjson::SUCCESS) return static_cast<std::int64_t>(large);
  double real = 0;
  if (value.get(real) == simdjson::SUCCESS && real == std::floor(real) && std::fabs(real) < 9e18) {
    return static_cast<std::int64_t>(real);
  }
  bad(name, "is not a whole number");
}

std::int64_t whole(object fields, std::string_view name) {
  element value;
  if (!find(fields, name, value)) bad(name, "is missing");
  return whole(value, name);
}

std::int64_t whole_or(object fields, std::string_view name, std::int64_t absent) {
  element value;
  return find(fields, name, value) ? whole(value, name) : absent;
}

double number(element value, std::string_view name) {
  double real = 0;
  if (value.get(real) != simdjson::SUCCESS) bad(name, "is not a number");
  return real;
}

double number(object fields, std::string_view name) {
  element value;
  if (!find(fields, name, value)) bad(name, "is missing");
  return number(value, name);
}

double number_or(object fields, std::string_view name, double absent) {
  element value;
  return find(fields, name, value) ? number(value, name) : absent;
}

bool truth(object fields, std::string_view name) {
  element value;
  if (!find(fields, name, value)) return false;
  bool mark = false;
  if (value.get(mark) != simdjson::SUCCESS) bad(name, "is not true or false");
  return mark;
}

std::string text_or(object fields, std::string_view name, std::string_view absent) {
  element value;
  if (!find(fields, name, value)) return std::string(absent);
  std::string_view text;
  if (value.get(text) != simdjson::SUCCESS) bad(name, "is not a text");
  return std::string(text);
}

std::string text(object fields, std::string_view name) {
  element value;
  if (!find(fields, name, value)) bad(name, "is missing");
  return text_or(fields, name, "");
}

object part(object fields, std::string_view name) {
  object inner;
  if (fields[name].get(inner) != simdjson::SUCCESS) bad(name, "is missing or not an object");
  return inner;
}

template <class Value>
Value word(object fields, std::string_view name,
           std::initializer_list<std::pair<std::string_view, Value>> words, std::string_view absent) {
  std::string given = text_or(fields, name, absent);
  for (const auto& [known, value] : words) {
    if (known == given) return value;
  }
  throw WireError("field '" + std::string(name) + "' has the unknown value '" + given + "'");
}

// ---- Settings

template <class Item, class Read>
void read_list(object fields, std::string_view name, std::vector<Item>& items, Read read) {
  element value;
  if (!find(fields, name, value)) return;
  simdjson::dom::array list;
  if (value.get(list) != simdjson::SUCCESS) bad(name, "is not a list");
  for (element entry : list) items.push_back(read(entry, name));
}

EndpointGroup read_group(element entry, std::string_view name) {
  object fields;
  if (entry.get(fields) != simdjson::SUCCESS) bad(name, "has an entry that is not an object");
  EndpointGroup group;
  group.name = text(fields, "name");
  group.effect = word<Effect>(fields, "effect",
                              {{"idempotent", Effect::kRepeatable},
                               {"deduplicated", Effect::kDeduplicated},
                               {"at_most_once", Effect::kMutating}},
                              "");
  group.benefit = number(fields, "gain");
  group.late_benefit = number_or(fields, "lateWorth", 0);
  group.slo_time = whole(fields, "goalTimeNs");
  group.async_timeout = whole(fields, "hardLimitNs");
  group.repeat_window = whole_or(fields, "dedupWindowNs", 0);
  return group;
}

Customer read_customer(element entry, std::string_view name) {
  object fields;
  if (entry.get(fields) != simdjson::SUCCESS) bad(name, "has an entry that is not an object");
  Customer customer;
  customer.name = text(fields, "name");
  customer.quota_per_s = number_or(fields, "quotaPerS", 0);
  return customer;
}

ServiceTerms read_terms(object env) {
  ServiceTerms terms;
  read_list(env, "classes", terms.groups, read_group);
  if (terms.groups.empty()) bad("classes", "is missing or empty");
  read_list(env, "tenants", terms.customers, read_customer);
  terms.servers = static_cast<int>(std::max<std::int64_t>(1, whole_or(env, "servers", 1)));
  terms.over_share_benefit = number_or(env, "overShareWorth", 1);
  terms.benefit_by_work = text_or(env, "worthBy", "request") == "work";
  terms.tick = whole_or(env, "tickNs", 0);

  object family = part(env, "familyInfo");
  terms.callers = static_cast<int>(std::max<std::int64_t>(1, whole_or(family, "senders", 1)));
  terms.cores = static_cast<int>(whole(family, "nCores"));
  if (terms.cores < 1) bad("nCores", "is under 1");
  terms.memory_kb = number(family, "ramKb");
  terms.run_factor = number_or(family, "blowup", 1);
  terms.key_kb = number_or(family, "keyKb", 0);
  terms.cold = truth(family, "cold");
  terms.has_dependency = text_or(family, "downstream", "off") != "off";
  terms.calls_share = number_or(family, "callsOut", 0);
  terms.calls_window = whole_or(family, "depWindowNs", 0);
  terms.call_lingers = whole_or(family, "staysForNs", 0);
  terms.longest_idle = whole_or(family, "idleNs", 0);
  terms.fresh_for = whole_or(family, "freshNs", 0);
  terms.stop_mode = word<StopMode>(
      family, "stopMode",
      {{"off", StopMode::kNone}, {"discard", StopMode::kDiscard}, {"freeze", StopMode::kFreeze}}, "off");
  terms.free_value = word<FreeValue>(family, "advert",
                                     {{"off", FreeValue::kNone},
                                      {"floor", FreeValue::kFloor},
                                      {"allowance", FreeValue::kAllowance},
                                      {"weight", FreeValue::kWeight}},
                                     "off");
  std::vector<bool> calls;
  read_list(family, "classCalls", calls, [](element entry, std::string_view name) {
    bool mark = false;
    if (entry.get(mark) != simdjson::SUCCESS) bad(name, "has an entry that is not true or false");
    return mark;
  });
  std::vector<double> skips;
  read_list(family, "classSkipWorth", skips,
            [](element entry, std::string_view name) { return number(entry, name); });
  for (std::size_t i = 0; i < terms.groups.size(); ++i) {
    terms.groups[i].makes_calls = i < calls.size() && calls[i];
    terms.groups[i].skip_benefit = i < skips.size() ? skips[i] : 0;
  }

  object rules = part(env, "rules");
  terms.answer_slack = whole_or(rules, "answerSlackNs", 0);
  terms.cold_from = number_or(rules, "coldFrom", 1);
  terms.warm_within = whole_or(rules, "warmWithinNs", 0);
  terms.drain_grace = whole_or(rules, "drainGraceNs", 0);
  terms.crowd_factor = number(rules, "overloadFactor");
  terms.crowd_window = whole(rules, "overloadForNs");

  object limits = part(env, "limits");
  if (truth(limits, "retryAfter")) terms.longest_pause = whole_or(limits, "maxRetryAfterNs", 0);
  return terms;
}

Outcome read_outcome(object fields) {
  return word<Outcome>(fields, "reason",
                       {{"Ok", Outcome::kOk},
                        {"Failed", Outcome::kFailed},
                        {"QueueFull", Outcome::kFull},
                        {"TimedOut", Outcome::kTimedOut},
                        {"ConnectError", Outcome::kUnreachable},
                        {"ResetByPeer", Outcome::kReset},
                        {"Canceled", Outcome::kCanceled},
                        {"Ignored", Outcome::kIgnored}},
                       "");
}

Gauges read_gauges(object fields) {
  Gauges gauges;
  element value;
  if (!find(fields, "metrics", value)) return gauges;
  object values = part(fields, "metrics");
  auto gauge = [&](std::string_view name, std::optional<double>& into) {
    element reading;
    if (find(values, name, reading)) into = number(reading, name);
  };
  gauge("core_use", gauges.core_use);
  gauge("on_cores", gauges.on_cores);
  gauge("links", gauges.connections);
  return gauges;
}

struct WireExchange : Exchange {
  std::uint64_t id = 0;
  std::uint64_t prior_id = 0;
};

}  // namespace

// One server's life: its Controller, its exchanges by id, and its actions as lines of the reply.
class Instance final : public Host {
 public:
  Instance(std::int64_t number, const ServiceTerms& terms, std::uint64_t seed, std::string& reply)
      : terms_(terms), reply_(reply), controller_(terms_, *this, seed) {
    server_ = ",\"server\":" + std::to_string(number);
  }

  Controller& controller() { return controller_; }

  WireExchange& add(object fields) {
    auto ex = std::make_unique<WireExchange>();
    ex->id = static_cast<std::uint64_t>(whole(fields, "requestId"));
    std::string group = text(fields, "profile");
    for (const EndpointGroup& known : terms_.groups) {
      if (known.name == group) ex->group = &known;
    }
    if (!ex->group) throw WireError("field 'profile' names the unknown class '" + group + "'");
    element tenant;
    if (find(fields, "tenant", tenant) && tenant.is_string()) {
      std::string name = text(fields, "tenant");
      for (const Customer& known : terms_.customers) {
        if (known.name == name) ex->customer = &known;
      }
    }
    element subject;
    ex->has_subject = find(fields, "targetKey", subject);
    ex->writes = truth(fields, "update");
    ex->arrived = -whole_or(fields, "ageNs", 0);  // made a clock time when it is delivered
    ex->gives_up_at = whole_or(fields, "giveUpAtNs", 0);
    ex->work_hint = whole_or(fields, "workNs", 0);
    ex->held_kb = number(fields, "footprint");
    ex->prior_id = static_cast<std::uint64_t>(whole_or(fields, "prior", 0));
    ex->repeats = ex->prior_id != 0;
    auto [place, fresh] = exchanges_.emplace(ex->id, std::move(ex));
    if (!fresh) throw WireError("field 'requestId' comes a second time");
    return *place->second;
  }

  // Null for one that is over.
  WireExchange* at(std::uint64_t id) {
    auto place = exchanges_.find(id);
    return place == exchanges_.end() ? nullptr : place->second.get();
  }

  void free_released() {
    for (std::uint64_t id : released_) exchanges_.erase(id);
    released_.clear();
  }

  void run(Exchange& ex) override { act("Take", ex); }
  void stop_work(Exchange& ex) override { act("AbortWork", ex); }
  void deny(Exchange& ex, bool not_elsewhere, Nanos stay_away) override {
    std::string more = not_elsewhere ? ",\"dontRetry\":true" : "";
    if (stay_away > 0) more += ",\"pauseNs\":" + std::to_string(stay_away);
    act("Reject", ex, more);
  }
  void terminate(Exchange& ex) override { act("FinishError", ex); }
  void call(Exchange& ex, Nanos longest) override {
    act("GoCall", ex, ",\"maxWaitNs\":" + std::to_string(longest));
  }
  void skip_call(Exchange& ex) override { act("Bypass", ex); }
  void keep_key(Exchange& ex, Nanos lifetime) override {
    act("StoreKey", ex, ",\"forTimeNs\":" + std::to_string(lifetime));
  }
  void drop_key(Exchange& ex) override { act("Unpin", ex); }
  void attach(Exchange& ex) override { act("Attach", ex); }
  void report_health(bool good) override {
    line("ReportHealth", std::string(",\"stored\":true,\"want\":") + (good ? "true" : "false"));
  }
  void advertise(double value) override { line("Advertise", ",\"level\":" + std::to_string(value)); }
  void close_idle(Nanos after) override { line("IdleLimit", ",\"forTimeNs\":" + std::to_string(after)); }
  void ring_in(Nanos delay, std::uint64_t token) override {
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
  void release(Exchange& ex) override { released_.push_back(static_cast<WireExchange&>(ex).id); }

 private:
  void line(const char* name, const std::string& more) {
    reply_ += "{\"m\":\"";
    reply_ += name;
    reply_ += '"';
    reply_ += server_;
    reply_ += more;
    reply_ += "}\n";
  }
  void act(const char* name, Exchange& ex, const std::string& more = "") {
    line(name, ",\"requestId\":" + std::to_string(static_cast<WireExchange&>(ex).id) + more);
  }

  const ServiceTerms terms_;
  std::string& reply_;
  std::string server_;
  std::unordered_map<std::uint64_t, std::unique_ptr<WireExchange>> exchanges_;
  std::vector<std::uint64_t> released_;
  Controller controller_;
};

struct Wire::Event {
  enum class Kind { kStart, kStop, kRead, kReachedCall, kCallEnded, kSettled, kGone, kLeave, kRang };
  Kind kind = Kind::kStart;
  Instance* instance = nullptr;
  WireExchange* ex = nullptr;
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
    throw WireError("line " + std::to_string(line_number_) + ": " + error.what());
  }
}

Instance& Wire::instance_of(object fields) {
  std::int64_t number = whole(fields, "server");
  auto place = instances_.find(number);
  if (place == instances_.end()) throw WireError("server " + std::to_string(number) + " was never started");
  return *place->second;
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
    if ((name == "Turn") == open) throw WireError("'" + name + "' in the wrong place");
    if (name == "Turn") {
      open = true;
      now_ = whole(fields, "momentNs");
      batch_ = whole(fields, "seq");
    } else if (name == "EofBatch") {
      return true;
    } else {
      read_event(fields);
    }
  }
  if (open) throw WireError("the input ends inside a batch");
  return false;
}

// Exchanges of the whole batch exist before the first event is delivered: tries may name later ones.
void Wire::read_event(object fields) {
  std::string name = text(fields, "m");
  using Kind = Event::Kind;
  constexpr std::pair<std::string_view, Kind> known[] = {
      {"Provision", Kind::kStart},    {"Stop", Kind::kStop},          {"Call", Kind::kRead},
      {"AtCall", Kind::kReachedCall}, {"CallDone", Kind::kCallEnded}, {"Settled", Kind::kSettled},
      {"Dropped", Kind::kGone},       {"WindDown", Kind::kLeave},     {"Ring", Kind::kRang}};
  auto entry =
      std::find_if(std::begin(known), std::end(known), [&](auto& each) { return each.first == name; });
  if (entry == std::end(known)) throw WireError("the unknown event '" + name + "'");
  Event event;
  event.kind = entry->second;
  if (event.kind == Kind::kStart) {
    std::int64_t number = whole(fields, "server");
    auto seed = static_cast<std::uint64_t>(whole(fields, "seed"));
    instances_[number] = std::make_unique<Instance>(number, read_terms(part(fields, "env")), seed, reply_);
    event.instance = instances_[number].get();
    events_.push_back(event);
    return;
  }
  event.instance = &instance_of(fields);
  switch (event.kind) {
    case Kind::kStop:
      instances_.erase(whole(fields, "server"));
      return;
    case Kind::kRead:
      event.ex = &event.instance->add(fields);
      event.ex->arrived += now_;
      break;
    case Kind::kLeave:
      event.time = whole(fields, "giveUpAtNs");
      break;
    case Kind::kRang:
      event.number = static_cast<std::uint64_t>(whole(fields, "token"));
      event.gauges = read_gauges(fields);
      break;
    default:  // what befell one exchange
      event.number = static_cast<std::uint64_t>(whole(fields, "requestId"));
      if (event.kind == Kind::kCallEnded || event.kind == Kind::kSettled) {
        event.outcome = read_outcome(fields);
        event.time = whole(fields, "rttNs");
      }
  }
  events_.push_back(event);
}

void Wire::deliver(const Event& event) {
  Controller& controller = event.instance->controller();
  switch (event.kind) {
    case Event::Kind::kStart:
      return controller.start(now_);
    case Event::Kind::kLeave:
      return controller.leave_by(event.time, now_);
    case Event::Kind::kRang:
      return controller.rang(event.number, event.gauges, now_);
    case Event::Kind::kRead:
      event.ex->prior = event.instance->at(event.ex->prior_id);
      return controller.read(*event.ex, now_);
    default:
      break;
  }
  WireExchange* ex = event.instance->at(event.number);
  if (!ex) return;  // over: nothing is left to decide
  switch (event.kind) {
    case Event::Kind::kReachedCall:
      return controller.reached_call(*ex, now_);
    case Event::Kind::kCallEnded:
      return controller.call_ended(*ex, event.outcome, event.time, now_);
    case Event::Kind::kSettled:
      return controller.settled(*ex, event.outcome, now_);
    default:
      return controller.caller_gone(*ex, now_);
  }
}

}  // namespace myrtlecroft::wirehost
