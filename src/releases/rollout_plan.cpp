#include "releases/rollout_plan.h"

#include <google/protobuf/util/json_util.h>

#include "fencing/fencing_guard.h"
#include "settings/document.h"

namespace myrtlecroft::releases {
namespace {

using settings::Section;

constexpr std::int64_t kMaxDuration = 86'400'000;  // ms
constexpr std::int64_t kMaxFirstServers = 1000;
constexpr std::int64_t kMaxFailedServers = 10'000;
constexpr std::int64_t kMaxMinRequests = 1'000'000;
constexpr std::size_t kMaxWaves = 50;
constexpr std::size_t kMaxName = 64;        // bytes
constexpr std::uint32_t kFullShare = 1000;  // thousandths

void read_waves(Section& root, agreement::Plan& out) {
  for (Section& wave : root.list("waves")) {
    out.add_waves(to_thousandths(wave.number("share", 0.001, 1)));
    wave.reject_unknown_fields();
    int count = out.waves_size();
    if (count > 1 && out.waves(count - 1) <= out.waves(count - 2))
      wave.fail("share", "is not above the share of the previous wave");
  }
  if (out.waves_size() == 0) {
    for (std::uint32_t share : {50u, 150u, 400u, 1000u}) out.add_waves(share);
  }
  if (static_cast<std::size_t>(out.waves_size()) > kMaxWaves) root.fail("waves", "are more than 50");
  if (out.waves(out.waves_size() - 1) != kFullShare) root.fail("waves", "do not end with a share of 1");
}

void set_default_health(agreement::Plan& out) {
  out.set_least_exchanges(20);
  out.set_worse_by(30);
  out.set_good_within(100);
  out.set_slower_by(150);
  out.set_false_halts(20);
  out.set_false_goods(50);
  out.set_alarm(200);
  out.set_alarm_for_ns(3000 * kMs);
}

void read_health(Section& health, agreement::Plan& out) {
  auto share = [&](const char* name, std::uint32_t default_value, double min, double max) {
    return to_thousandths(health.number_or(name, default_value / 1000.0, min, max));
  };
  out.set_least_exchanges(static_cast<std::uint32_t>(
      health.integer_or("least_exchanges", out.least_exchanges(), 1, kMaxMinRequests)));
  out.set_worse_by(share("worse_by", out.worse_by(), 0, 1));
  out.set_good_within(share("good_within", out.good_within(), 0.001, 1));
  out.set_slower_by(share("slower_by", out.slower_by(), 0, 10));
  out.set_false_halts(share("false_halts", out.false_halts(), 0.001, 0.5));
  out.set_false_goods(share("false_goods", out.false_goods(), 0.001, 0.5));
  out.set_alarm(share("alarm", out.alarm(), 0.01, 1));
  out.set_alarm_for_ns(health.milliseconds_or("alarm_for_ms", out.alarm_for_ns(), 100, kMaxDuration));
  for (const std::string& request_class : health.text_list("groups")) out.add_groups(request_class);
  if (out.good_within() <= out.worse_by()) health.fail("good_within", "is not above worse_by");
  health.reject_unknown_fields();
}

}  // namespace

std::string release_start_command(const agreement::Plan& plan) {
  std::string json;
  // Can't fail: the plan holds only numbers and valid UTF-8 text.
  if (!google::protobuf::util::MessageToJsonString(plan, &json).ok()) json.clear();
  return "release start " + json;
}

std::optional<agreement::Plan> parse_release_plan(const std::string& json) {
  agreement::Plan out;
  if (!google::protobuf::util::JsonStringToMessage(json, &out).ok()) return std::nullopt;
  return out;
}

agreement::Plan read_plan(const std::string& path) {
  settings::Document document(path);
  Section root = document.root();
  agreement::Plan out;
  root.integer("version", 1, 1);
  out.set_name(root.text("name"));
  if (out.name().size() > kMaxName) root.fail("name", "is longer than 64 bytes");
  out.set_version(static_cast<std::uint32_t>(root.integer("wanted", 0, fencing::kMaxVersion)));
  out.set_first_nodes(static_cast<std::uint32_t>(root.integer_or("first_nodes", 3, 1, kMaxFirstServers)));
  read_waves(root, out);
  Nanos soak = root.milliseconds_or("soak_ms", 60'000 * kMs, 100, kMaxDuration);
  out.set_soak_ns(soak);
  out.set_longest_soak_ns(root.milliseconds_or("longest_soak_ms", 10 * soak, 100, kMaxDuration));
  if (out.longest_soak_ns() < soak) root.fail("longest_soak_ms", "is shorter than soak_ms");
  out.set_empty_within_ns(root.milliseconds_or("empty_within_ms", 15'000 * kMs, 100, kMaxDuration));
  out.set_back_within_ns(root.milliseconds_or("back_within_ms", 60'000 * kMs, 100, kMaxDuration));
  out.set_warm_within_ns(root.milliseconds_or("warm_within_ms", 120'000 * kMs, 100, kMaxDuration));
  out.set_way_back(root.boolean_or("way_back", true));
  out.set_most_failed(static_cast<std::uint32_t>(root.integer_or("most_failed", 0, 0, kMaxFailedServers)));
  out.set_reserve(to_thousandths(root.number_or("reserve", 0.1, 0, 0.9)));
  set_default_health(out);
  if (auto health = root.optional_section("health")) read_health(*health, out);
  root.reject_unknown_fields();
  return out;
}

}  // namespace myrtlecroft::releases
