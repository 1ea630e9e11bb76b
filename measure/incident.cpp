#include "incident.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "settings/document.h"

namespace myrtlecroft::rehearsal {
namespace {

using settings::Section;

constexpr std::array<std::pair<const char*, Fault>, 15> kFaults = {{{"kill", Fault::kKill},
                                                                    {"stop", Fault::kStop},
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
constexpr std::array<std::pair<const char*, Way>, 3> kWays = {
    {{"there", Way::kThere}, {"back", Way::kBack}, {"both", Way::kBoth}}};
constexpr std::array<std::pair<const char*, Bad>, kBads> kBadWords = {{{"none", Bad::kNone},
                                                                       {"slow", Bad::kSlow},
                                                                       {"under-load", Bad::kUnderLoad},
                                                                       {"later", Bad::kLater},
                                                                       {"one-group", Bad::kOneClass},
                                                                       {"silent", Bad::kLost}}};
constexpr std::array<const char*, 4> kKinds = {"leader", "instance", "node", "proxy"};

template <class Table>
auto word_in(Section& part, const std::string& name, const Table& words) {
  std::string given = part.text(name);
  std::string all;
  for (const auto& [word, value] : words) {
    if (given == word) return value;
    all += (all.empty() ? "" : ", ") + std::string(word);
  }
  part.fail(name, "is none of " + all);
}

// "leader", "instance 2", "server 3-7", "server all", "proxy 1".
Who who_in(Section& part, const Incident& of) {
  std::string given = part.text("who");
  if (given == "leader") return {};
  std::size_t space = given.find(' ');
  for (std::size_t kind = 1; kind < kKinds.size(); ++kind) {
    if (space == std::string::npos || given.substr(0, space) != kKinds[kind]) continue;
    Who out{.kind = static_cast<Who::Kind>(kind)};
    int max = out.kind == Who::Kind::kInstance ? of.instances
              : out.kind == Who::Kind::kNode   ? of.nodes
                                               : of.proxies;
    std::string numbers = given.substr(space + 1);
    if (numbers == "all") {
      out.last = max - 1;
      return out;
    }
    const char* end = numbers.data() + numbers.size();
    auto [past, error] = std::from_chars(numbers.data(), end, out.first);
    out.last = out.first;
    if (error == std::errc() && past < end && *past == '-')
      std::tie(past, error) = [&] {
        auto read = std::from_chars(past + 1, end, out.last);
        return std::pair(read.ptr, read.ec);
      }();
    if (error != std::errc() || past != end || out.first < 1 || out.last < out.first || out.last > max) break;
    --out.first;
    --out.last;
    return out;
  }
  part.fail("who",
            "is none of leader, instance N, node N, proxy N, with N a number, A-B or all, and no more than "
            "there are");
}

Step read_step(Section part, const Incident& of) {
  Step out;
  out.at = static_cast<Nanos>(part.number("at_s", 0, 600) * static_cast<double>(kSecond));
  out.fault = word_in(part, "what", kFaults);
  out.who = who_in(part, of);
  bool once = out.fault == Fault::kReset || out.fault == Fault::kCutFrame || out.fault == Fault::kCommand;
  if (!once) out.length = static_cast<Nanos>(part.number("for_s", 0.05, 600) * static_cast<double>(kSecond));
  bool link = on_links(out.fault);
  if (part.has("to")) {
    if (!link) part.fail("to", "is only for what fails on links");
    out.others = 0;
    for (const std::string& one : part.text_list("to")) {
      int number = 0;
      auto [past, error] = std::from_chars(one.data(), one.data() + one.size(), number);
      if (error != std::errc() || past != one.data() + one.size() || number < 1 || number > of.instances) {
        part.fail("to", "holds what is no number of an instance: '" + one + "'");
      }
      out.others |= 1u << (number - 1);
    }
  }
  if (out.fault == Fault::kStall) out.way = word_in(part, "way", kWays);
  if (out.fault == Fault::kLate || out.fault == Fault::kDiskSlow)
    out.by = part.milliseconds("by_ms", 1, 60'000);
  if (out.fault == Fault::kClock) out.by = part.integer("by_ms", -600'000, 600'000) * kMs;
  if (out.fault == Fault::kNoise) out.times = part.number("times", 1, 100);
  if (out.fault == Fault::kCommand) out.say = part.text("say");
  bool of_nodes = out.who.kind == Who::Kind::kNode;
  if ((out.fault == Fault::kNoise) != of_nodes &&
      (out.fault == Fault::kNoise || out.fault == Fault::kCommand))
    part.fail("what", out.fault == Fault::kNoise ? "is for nodes only" : "is said to instances only");
  if (out.fault == Fault::kKillAtSync) out.count = static_cast<int>(part.integer("sync", 1, 1000));
  if (out.fault == Fault::kCutFrame)
    out.bytes = static_cast<std::size_t>(part.integer("bytes", 0, 10'000'000));
  if (out.who.kind == Who::Kind::kProxy && out.fault != Fault::kReset)
    part.fail("what", "is not for proxies: their streams can only be reset");
  bool disk = out.fault == Fault::kLose || out.fault == Fault::kDiskFails || out.fault == Fault::kDiskFull ||
              out.fault == Fault::kDiskSlow || out.fault == Fault::kKillAtSync;
  if (disk && out.who.kind == Who::Kind::kNode) part.fail("what", "is not for nodes: they keep nothing here");
  part.reject_unknown_fields();
  return out;
}

}  // namespace

bool on_links(Fault fault) {
  return fault == Fault::kStall || fault == Fault::kClose || fault == Fault::kLate ||
         fault == Fault::kReset || fault == Fault::kCutFrame;
}

const char* name_of(Bad bad) { return kBadWords[static_cast<std::size_t>(bad)].first; }

std::string told(const Step& step) {
  if (step.fault == Fault::kCommand) return "said: " + step.say;
  std::string out = kFaults[static_cast<std::size_t>(step.fault)].first;
  if (step.fault == Fault::kStall) out += std::string(" ") + kWays[static_cast<std::size_t>(step.way)].first;
  out += std::string(" ") + kKinds[static_cast<std::size_t>(step.who.kind)];
  if (step.who.kind != Who::Kind::kLeader) {
    out += " " + std::to_string(step.who.first + 1);
    if (step.who.last > step.who.first) out += "-" + std::to_string(step.who.last + 1);
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
  for (Section& part : root.list("steps")) {
    out.steps.push_back(read_step(part, out));
    if (out.steps.back().at + out.steps.back().length > out.length)
      part.fail("at_s", "with for_s ends after the incident");
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
  for (Section& part : root.list("releases")) {
    ReleaseWanted one;
    one.at = static_cast<Nanos>(part.number("at_s", 0, 600) * static_cast<double>(kSecond));
    one.to = static_cast<int>(part.integer("to", 1, 99));
    if (part.has("bad")) one.bad = word_in(part, "bad", kBadWords);
    one.by = static_cast<int>(part.integer_or("by", 1, 1, out.instances)) - 1;
    part.reject_unknown_fields();
    out.releases.push_back(one);
  }
  root.reject_unknown_fields();
  return out;
}

Step drawn(std::mt19937& draws, int instances, int nodes, int proxies) {
  auto pick = [&](int count) { return static_cast<int>(draws() % static_cast<unsigned>(count)); };
  Step out;
  int instance = pick(instances);
  int node = pick(nodes);
  int proxy = pick(proxies);
  out.length = (300 + pick(3000)) * kMs;
  out.others = static_cast<unsigned>(draws());
  out.bytes = static_cast<std::size_t>(pick(2000));
  out.by = kSecond;
  Who one{Who::Kind::kInstance, instance, instance};
  Who a_node{Who::Kind::kNode, node, node};
  switch (pick(17)) {
    case 0:
      out.fault = Fault::kKill;
      break;
    case 1:
      out.fault = Fault::kKill;
      out.who = one;
      break;
    case 2:
      out.fault = Fault::kStop;
      break;
    case 3:
    case 4:
      out.fault = Fault::kStall;
      out.who = one;
      out.way = pick(2) ? Way::kThere : Way::kBack;
      out.others = ~0u;
      break;
    case 5:
      out.fault = Fault::kClose;
      out.who = one;
      break;
    case 6:
      out.fault = Fault::kLate;
      out.who = one;
      out.others = ~0u;
      break;
    case 7:
      out.fault = Fault::kCutFrame;
      out.who = one;
      break;
    case 8:
      out.fault = Fault::kKill;
      out.who = a_node;
      break;
    case 9:  // long enough to move its shards
      out.fault = Fault::kStall;
      out.who = a_node;
      out.way = pick(2) ? Way::kThere : Way::kBoth;
      out.length *= 3;
      break;
    case 10:
      out.fault = Fault::kReset;
      out.who = a_node;
      break;
    case 11:
      out.fault = pick(2) ? Fault::kDiskFails : Fault::kDiskFull;
      out.who = one;
      break;
    case 12:
      out.fault = Fault::kDiskSlow;
      out.who = one;
      out.by /= 2;
      break;
    case 13:
      out.fault = Fault::kClock;
      out.who = one;
      out.by = (pick(2) ? 20 : -20) * kSecond;
      break;
    case 14:
      out.fault = Fault::kKillAtSync;
      out.count = 1 + pick(6);
      break;
    case 15:
      out.fault = Fault::kNoise;
      out.who = a_node;
      out.times = 3;
      out.length *= 3;
      break;
    default:
      out.fault = Fault::kReset;
      out.who = {Who::Kind::kProxy, proxy, proxy};
      break;
  }
  return out;
}

bool of_control(const Step& step) { return step.who.kind != Who::Kind::kNode; }

}  // namespace myrtlecroft::rehearsal
