#include "service_config/service_config_reader.h"

#include <algorithm>

namespace myrtlecroft::config {
namespace {

// Appends the entries of the list `name` to `items`, each converted by `read`. A missing list is empty.
template <class Item, class Read>
void read_list(object fields, std::string_view name, std::vector<Item>& items, Read read) {
  std::optional<element> value = find(fields, name);
  if (!value) return;
  simdjson::dom::array list;
  if (value->get(list) != simdjson::SUCCESS) fail(fields, name, "is not a list");
  for (element entry : list) items.push_back(read(fields, name, entry));
}

RequestClass read_request_class(object parent, std::string_view name, element entry) {
  object fields;
  if (entry.get(fields) != simdjson::SUCCESS) fail(parent, name, "has an entry that is not an object");
  RequestClass request_class;
  request_class.name = text(fields, "name");
  request_class.idempotency = enum_value<Idempotency>(fields, "effect",
                                                      {{"idempotent", Idempotency::kIdempotent},
                                                       {"deduplicated", Idempotency::kKeyed},
                                                       {"at_most_once", Idempotency::kNone}},
                                                      "");
  request_class.priority_weight = number(fields, "gain");
  request_class.late_weight_share = number_or(fields, "lateWorth", 0);
  request_class.latency_objective = integer(fields, "goalTimeNs");
  request_class.client_timeout = integer(fields, "hardLimitNs");
  request_class.deduplication_window = integer_or(fields, "dedupWindowNs", 0);
  return request_class;
}

Tenant read_tenant(object parent, std::string_view name, element entry) {
  object fields;
  if (entry.get(fields) != simdjson::SUCCESS) fail(parent, name, "has an entry that is not an object");
  Tenant tenant;
  tenant.name = text(fields, "name");
  tenant.quota_per_s = number_or(fields, "quotaPerS", 0);
  return tenant;
}

// Reads an integer; 1 if it is missing or lower.
int read_positive_count(object fields, std::string_view name) {
  return static_cast<int>(std::max<std::int64_t>(1, integer_or(fields, name, 1)));
}

void read_server_fields(object family, ServiceConfig& config) {
  config.callers = read_positive_count(family, "senders");
  config.cores = static_cast<int>(integer(family, "nCores"));
  if (config.cores < 1) fail(family, "nCores", "is under 1");
  config.memory_kb = number(family, "ramKb");
  config.running_memory_factor = number_or(family, "blowup", 1);
  config.key_kb = number_or(family, "keyKb", 0);
  config.warming_up = boolean(family, "cold");
  config.max_idle_time = integer_or(family, "idleNs", 0);
  config.answer_sharing_window = integer_or(family, "freshNs", 0);
  config.stop_mode = enum_value<StopMode>(
      family, "stopMode",
      {{"off", StopMode::kNone}, {"discard", StopMode::kDiscard}, {"freeze", StopMode::kFreeze}}, "off");
  config.advertised_capacity =
      enum_value<AdvertisedCapacity>(family, "advert",
                                     {{"off", AdvertisedCapacity::kNone},
                                      {"floor", AdvertisedCapacity::kMinPriority},
                                      {"allowance", AdvertisedCapacity::kMaxInFlight},
                                      {"weight", AdvertisedCapacity::kWeight}},
                                     "off");
}

void read_dependency_fields(object family, ServiceConfig& config) {
  config.has_dependency = text_or(family, "downstream", "off") != "off";
  config.dependency_share = number_or(family, "callsOut", 0);
  config.dependency_window = integer_or(family, "depWindowNs", 0);
  config.abandoned_call_lifetime = integer_or(family, "staysForNs", 0);
  std::vector<bool> calls;
  read_list(family, "classCalls", calls, [](object parent, std::string_view name, element entry) {
    bool out = false;
    if (entry.get(out) != simdjson::SUCCESS) fail(parent, name, "has an entry that is not true or false");
    return out;
  });
  std::vector<double> degraded_shares;
  read_list(family, "classSkipWorth", degraded_shares,
            [](object parent, std::string_view name, element entry) { return number(parent, name, entry); });
  for (std::size_t i = 0; i < config.request_classes.size(); ++i) {
    config.request_classes[i].makes_calls = i < calls.size() && calls[i];
    config.request_classes[i].degraded_weight_share = i < degraded_shares.size() ? degraded_shares[i] : 0;
  }
}

void read_rule_fields(object rules, ServiceConfig& config) {
  config.answer_slack = integer_or(rules, "answerSlackNs", 0);
  config.warm_up_initial_speed = number_or(rules, "coldFrom", 1);
  config.warm_up_time = integer_or(rules, "warmWithinNs", 0);
  config.drain_grace = integer_or(rules, "drainGraceNs", 0);
  config.max_running_per_core = number(rules, "overloadFactor");
  config.contention_window = integer(rules, "overloadForNs");
}

}  // namespace

ServiceConfig read_service_config(object settings) {
  ServiceConfig config;
  read_list(settings, "classes", config.request_classes, read_request_class);
  if (config.request_classes.empty()) fail(settings, "classes", "is missing or empty");
  read_list(settings, "tenants", config.tenants, read_tenant);
  config.servers = read_positive_count(settings, "servers");
  config.over_quota_weight = number_or(settings, "overShareWorth", 1);
  config.weight_is_per_core_second = text_or(settings, "worthBy", "request") == "work";
  config.tick = integer_or(settings, "tickNs", 0);
  object family = object_field(settings, "familyInfo");
  read_server_fields(family, config);
  read_dependency_fields(family, config);
  read_rule_fields(object_field(settings, "rules"), config);
  object limits = object_field(settings, "limits");
  if (boolean(limits, "retryAfter")) config.max_retry_after = integer_or(limits, "maxRetryAfterNs", 0);
  return config;
}

std::vector<std::string> read_gauge_names(object settings) {
  std::vector<std::string> names;
  read_list(object_field(settings, "familyInfo"), "meters", names,
            [](object parent, std::string_view name, element entry) {
              std::string_view gauge;
              if (entry.get(gauge) != simdjson::SUCCESS)
                fail(parent, name, "has an entry that is not a text");
              return std::string(gauge);
            });
  return names;
}

}  // namespace myrtlecroft::config
