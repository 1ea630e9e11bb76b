#include "incident.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "settings/document.h"

namespace myrtlecroft::rehearsal {
namespace {

using settings::Section;

constexpr std::array<std::pair<const char*, Fault>, 15> kFaults = {{{"kill", Fault::kKill},
                                                                    {"stop", Fault::kPause},
                                                                    {"stall", Fault::kStall},
                                                                    {"close", Fault::kClose},
                                                                    {"late", Fault::kLate},
                                                                    {"reset", Fault::kReset},
                                                                    {"cut-frame", Fault::kCutFrame},
                                                                    {"lose", Fault::kLose},
                                                                    {"disk-fails", Fault::kDiskFails},
                                                                    {"disk-full", Fault::kDiskFull},
                                                                    {"disk-slow", Fault::kDiskSlow},
                                                                    {"clock", Fault::kClock},
                                                                    {"kill-at-sync", Fault::kKillAtSync},
                                                                    {"noise", Fault::kNoise},
                                                                    {"command", Fault::kCommand}}};
constexpr std::array<std::pair<const char*, Direction>, 3> kDirections = {
    {{"there", Direction::kOutward}, {"back", Direction::kInward}, {"both", Direction::kBoth}}};
constexpr std::array<std::pair<const char*, Defect>, kDefects> kDefectNames = {
    {{"none", Defect::kNone},
     {"slow", Defect::kSlow},
     {"under-load", Defect::kSlowUnderLoad},
     {"later", Defect::kSlowAfterDelay},
     {"one-group", Defect::kSlowRequestClass},
     {"silent", Defect::kLost}}};
constexpr std::array<const char*, 4> kTargetNames = {"leader", "instance", "node", "proxy"};

template <class Table>
auto read_enum(Section& section, const std::string& name, const Table& names) {
  std::string text = section.text(name);
  std::string all;
  for (const auto& [known_name, value] : names) {
    if (text == known_name) return value;
    all += (all.empty() ? "" : ", ") + std::string(known_name);
  }
  section.fail(name, "must be one of " + all);
}

std::optional<int> parse_number(std::string_view text) {
  int number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

// "3" or "3-7".
std::optional<std::pair<int, int>> parse_range(std::string_view text) {
  std::size_t dash = text.find('-');
  std::optional<int> first = parse_number(text.substr(0, dash));
  std::optional<int> last = dash == std::string_view::npos ? first : parse_number(text.substr(dash + 1));
  if (!first || !last) return std::nullopt;
  return std::pair(*first, *last);
}

// "leader", "instance 2", "node 3-7", "node all", "proxy 1".
Target read_target(Section& section, const Incident& incident) {
  std::string text = section.text("who");
  if (text == "leader") return {};
  std::size_t space = text.find(' ');
  for (std::size_t kind = 1; kind < kTargetNames.size(); ++kind) {
    if (space == std::string::npos || text.substr(0, space) != kTargetNames[kind]) continue;
    Target out{.kind = static_cast<Target::Kind>(kind)};
    int max = out.kind == Target::Kind::kInstance ? incident.instances
              : out.kind == Target::Kind::kServer ? incident.nodes
                                                  : incident.proxies;
    std::string numbers = text.substr(space + 1);
    if (numbers == "all") {
      out.last = max - 1;
      return out;
    }
    std::optional<std::pair<int, int>> range = parse_range(numbers);
    if (!range || range->first < 1 || range->second < range->first || range->second > max) break;
    out.first = range->first - 1;
    out.last = range->second - 1;
    return out;
  }
  section.fail(
      "who",
      "must be leader, instance N, node N or proxy N, where N is a number, A-B or all, and no number "
      "exceeds the count of its kind");
}

// The instances that "to" lists, as a bit mask.
unsigned read_other_instances(Section& section, const Incident& incident) {
  unsigned out = 0;
  for (const std::string& text : section.text_list("to")) {
    std::optional<int> number = parse_number(text);
    if (!number || *number < 1 || *number > incident.instances)
      section.fail("to", "must list instance numbers, not '" + text + "'");
    out |= 1u << (*number - 1);
  }
  return out;
}

void read_fault_fields(Section& section, Step& out) {
  if (out.fault == Fault::kStall) out.direction = read_enum(section, "way", kDirections);
  if (out.fault == Fault::kLate || out.fault == Fault::kDiskSlow)
    out.by = section.milliseconds("by_ms", 1, 60'000);
  if (out.fault == Fault::kClock) out.by = section.integer("by_ms", -600'000, 600'000) * kMs;
  if (out.fault == Fault::kNoise) out.times = section.number("times", 1, 100);
  if (out.fault == Fault::kCommand) out.command = section.text("say");
  if (out.fault == Fault::kKillAtSync) out.count = static_cast<int>(section.integer("sync", 1, 1000));
  if (out.fault == Fault::kCutFrame)
    out.bytes = static_cast<std::size_t>(section.integer("bytes", 0, 10'000'000));
}

// Rejects faults that the target can't have.
void check_target(Section& section, const Step& step) {
  bool targets_servers = step.target.kind == Target::Kind::kServer;
  if (step.fault == Fault::kNoise && !targets_servers) section.fail("what", "is allowed for nodes only");
  if (step.fault == Fault::kCommand && targets_servers) section.fail("what", "is allowed for instances only");
  if (step.target.kind == Target::Kind::kProxy && step.fault != Fault::kReset)
    section.fail("what", "is not allowed for proxies: their streams can only be reset");
  bool is_disk_fault = step.fault == Fault::kLose || step.fault == Fault::kDiskFails ||
                       step.fault == Fault::kDiskFull || step.fault == Fault::kDiskSlow ||
                       step.fault == Fault::kKillAtSync;
  if (is_disk_fault && targets_servers)
    section.fail("what", "is not allowed for nodes: they store nothing in a rehearsal");
}

Step read_step(Section section, const Incident& incident) {
  Step out;
  out.at = static_cast<Nanos>(section.number("at_s", 0, 600) * static_cast<double>(kSecond));
  out.fault = read_enum(section, "what", kFaults);
  out.target = read_target(section, incident);
  bool once = out.fault == Fault::kReset || out.fault == Fault::kCutFrame || out.fault == Fault::kCommand;
  if (!once)
    out.length = static_cast<Nanos>(section.number("for_s", 0.05, 600) * static_cast<double>(kSecond));
  if (section.has("to")) {
    if (!is_link_fault(out.fault)) section.fail("to", "is allowed only for faults of links");
    out.others = read_other_instances(section, incident);
  }
  read_fault_fields(section, out);
  check_target(section, out);
  section.reject_unknown_fields();
  return out;
}

PlannedRelease read_release(Section section, const Incident& incident) {
  PlannedRelease out;
  out.at = static_cast<Nanos>(section.number("at_s", 0, 600) * static_cast<double>(kSecond));
  out.version = static_cast<int>(section.integer("to", 1, 99));
  if (section.has("bad")) out.defect = read_enum(section, "bad", kDefectNames);
  out.instance = static_cast<int>(section.integer_or("by", 1, 1, incident.instances)) - 1;
  section.reject_unknown_fields();
  return out;
}

}  // namespace

bool is_link_fault(Fault fault) {
  return fault == Fault::kStall || fault == Fault::kClose || fault == Fault::kLate ||
         fault == Fault::kReset || fault == Fault::kCutFrame;
}

const char* name_of(Defect defect) { return kDefectNames[static_cast<std::size_t>(defect)].first; }

std::string describe(const Step& step) {
  if (step.fault == Fault::kCommand) return "command: " + step.command;
  std::string out = kFaults[static_cast<std::size_t>(step.fault)].first;
  if (step.fault == Fault::kStall)
    out += std::string(" ") + kDirections[static_cast<std::size_t>(step.direction)].first;
  out += std::string(" ") + kTargetNames[static_cast<std::size_t>(step.target.kind)];
  if (step.target.kind != Target::Kind::kLeader) {
    out += " " + std::to_string(step.target.first + 1);
    if (step.target.last > step.target.first) out += "-" + std::to_string(step.target.last + 1);
  }
  if (step.length > 0) out += " for " + std::to_string(step.length / kMs) + " ms";
  return out;
}

Incident read_incident(const std::string& path) {
  settings::Document document(path);
  Section root = document.root();
  root.integer("version", 1, 1);
  Incident out;
  out.instances = static_cast<int>(root.integer_or("instances", out.instances, 1, 7));
  out.nodes = static_cast<int>(root.integer_or("nodes", out.nodes, 1, 300));
  out.proxies = static_cast<int>(root.integer_or("proxies", out.proxies, 1, 64));
  out.keys_per_s = root.number_or("keys_per_s", out.keys_per_s, 1, 2000);
  out.length = static_cast<Nanos>(root.number("seconds", 1, 600) * static_cast<double>(kSecond));
  out.faults_per_s = root.number_or("faults_per_s", 0, 0, 20);
  for (Section& section : root.list("steps")) {
    out.steps.push_back(read_step(section, out));
    if (out.steps.back().at + out.steps.back().length > out.length)
      section.fail("at_s", "with for_s ends after the incident");
  }
  std::stable_sort(out.steps.begin(), out.steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  out.reads_per_s = root.number_or("reads_per_s", out.reads_per_s, 0, 5000);
  out.read_ms = root.number_or("read_ms", out.read_ms, 1, 10'000);
  out.zones = static_cast<int>(root.integer_or("zones", out.zones, 1, 20));
  out.services = static_cast<int>(root.integer_or("services", out.services, 0, 50));
  out.max_unavailable = root.number_or("most_out", out.max_unavailable, 0, 1);
  out.service_max_unavailable = root.number_or("service_most_out", out.service_max_unavailable, 0, 1);
  out.restart = root.milliseconds_or("restart_ms", out.restart, 1, 60'000);
  out.soak = root.milliseconds_or("soak_ms", out.soak, 100, 600'000);
  out.first_nodes = static_cast<int>(root.integer_or("first_nodes", out.first_nodes, 1, 300));
  for (Section& section : root.list("releases")) out.releases.push_back(read_release(section, out));
  root.reject_unknown_fields();
  return out;
}

namespace {

int draw_index(std::mt19937& draws, int count) {
  return static_cast<int>(draws() % static_cast<unsigned>(count));
}

// Targets drawn before the kind of fault, of which each fault uses one.
struct DrawnTargets {
  Target instance;
  Target server;
  Target proxy;
};

// Draws the rest of a fault of an instance or its links.
void draw_instance_fault(int kind, std::mt19937& draws, const Target& instance, Step& out) {
  out.target = instance;
  switch (kind) {
    case 1:
      out.fault = Fault::kKill;
      break;
    case 3:
    case 4:
      out.fault = Fault::kStall;
      out.direction = draw_index(draws, 2) ? Direction::kOutward : Direction::kInward;
      out.others = ~0u;
      break;
    case 5:
      out.fault = Fault::kClose;
      break;
    case 6:
      out.fault = Fault::kLate;
      out.others = ~0u;
      break;
    case 7:
      out.fault = Fault::kCutFrame;
      break;
    case 11:
      out.fault = draw_index(draws, 2) ? Fault::kDiskFails : Fault::kDiskFull;
      break;
    case 12:
      out.fault = Fault::kDiskSlow;
      out.by /= 2;
      break;
    default:
      out.fault = Fault::kClock;
      out.by = (draw_index(draws, 2) ? 20 : -20) * kSecond;
      break;
  }
}

// Draws the rest of a fault of a server or its links. Some last long enough for the server's shards to move.
void draw_server_fault(int kind, std::mt19937& draws, const Target& server, Step& out) {
  out.target = server;
  switch (kind) {
    case 8:
      out.fault = Fault::kKill;
      break;
    case 9:
      out.fault = Fault::kStall;
      out.direction = draw_index(draws, 2) ? Direction::kOutward : Direction::kBoth;
      out.length *= 3;
      break;
    case 10:
      out.fault = Fault::kReset;
      break;
    default:
      out.fault = Fault::kNoise;
      out.times = 3;
      out.length *= 3;
      break;
  }
}

void draw_kind(std::mt19937& draws, const DrawnTargets& targets, Step& out) {
  constexpr int kKinds = 17;
  int kind = draw_index(draws, kKinds);
  switch (kind) {
    case 0:
      out.fault = Fault::kKill;
      break;
    case 2:
      out.fault = Fault::kPause;
      break;
    case 14:
      out.fault = Fault::kKillAtSync;
      out.count = 1 + draw_index(draws, 6);
      break;
    case 8:
    case 9:
    case 10:
    case 15:
      draw_server_fault(kind, draws, targets.server, out);
      break;
    case 16:
      out.fault = Fault::kReset;
      out.target = targets.proxy;
      break;
    default:
      draw_instance_fault(kind, draws, targets.instance, out);
      break;
  }
}

}  // namespace

Step draw_fault(std::mt19937& draws, const ProcessCounts& counts) {
  int instance = draw_index(draws, counts.instances);
  int server = draw_index(draws, counts.servers);
  int proxy = draw_index(draws, counts.proxies);
  Step out;  // targets the leader unless draw_kind() sets another target
  out.length = (300 + draw_index(draws, 3000)) * kMs;
  out.others = static_cast<unsigned>(draws());
  out.bytes = static_cast<std::size_t>(draw_index(draws, 2000));
  out.by = kSecond;
  draw_kind(draws,
            {.instance = {Target::Kind::kInstance, instance, instance},
             .server = {Target::Kind::kServer, server, server},
             .proxy = {Target::Kind::kProxy, proxy, proxy}},
            out);
  return out;
}

bool concerns_control(const Step& step) { return step.target.kind != Target::Kind::kServer; }

}  // namespace myrtlecroft::rehearsal
