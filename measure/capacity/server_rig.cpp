#include "server_rig.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "../../standin/node_config.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kCores = 4;
constexpr Nanos kStartLimit = 20 * kSecond;
constexpr Nanos kReloadDelay = 100 * kMs;           // after the start of the probe
constexpr Nanos kProbeTimeAfterReload = 100 * kMs;  // time that the probe continues after the reload
constexpr Nanos kReloadLimit = 10 * kSecond;
constexpr double kProbesPerSecond = 1'000;

std::string tenant_name(int number) {
  char name[32];
  std::snprintf(name, sizeof name, "tenant-%07d", number);
  return name;
}

std::string request_class_name(int number) { return "group-" + std::to_string(number); }

std::string tenant_list(int count) {
  std::string out;
  for (int i = 0; i < count; ++i) {
    out += std::string(i ? "," : "") + R"({"name":")" + tenant_name(i) + R"(","quotaPerS":100})";
  }
  return out;
}

std::string request_class_list(int count) {
  std::string out;
  for (int i = 0; i < count; ++i) {
    out += std::string(i ? "," : "") + R"({"name":")" + request_class_name(i) +
           R"(","effect":"idempotent","gain":1,"goalTimeNs":300000000,"hardLimitNs":2000000000})";
  }
  return out;
}

}  // namespace

ServerRig::ServerRig(net::Loop& loop, ConfigSizes sizes)
    : loop_(loop), sizes_(sizes), engine_(loop, log_, "n1", kCores, [](const standin::ObservedRun&) {}) {
  char name[] = "/tmp/myrtlecroft_capacity.XXXXXX";
  if (!::mkdtemp(name)) throw std::runtime_error("can't create a folder for the server's files");
  folder_ = name;
  port_ = ports_.reserve();
  load_ = std::make_unique<Load>(loop, static_cast<std::uint16_t>(port_), random_target(sizes));
  write_config();
}

ServerRig::~ServerRig() {
  server_.end(SIGKILL);
  std::filesystem::remove_all(folder_);
}

void ServerRig::write_config() const {
  standin::ServerConfig config;
  config.port = port_;
  config.engine = engine_.port();
  config.database = port_;  // unused, because no request class makes dependency calls
  config.request_classes = request_class_list(sizes_.request_classes);
  config.tenants = tenant_list(sizes_.tenants);
  config.family = R"("nCores":)" + std::to_string(kCores) +
                  R"(,"ramKb":400000,"blowup":8,"keyKb":4,"idleNs":30000000000)";
  standin::write_server_config(folder_ + "/server.json", config);
}

Nanos ServerRig::start() {
  Nanos start_time = loop_.now();
  server_ = standin::ChildProcess({MYRTLECROFT_PROGRAM}, folder_ + "/server.log",
                                  {{"LB_CONFIG", folder_ + "/server.json"}});
  return load_->wait_for_answer(kStartLimit) ? loop_.now() - start_time : -1;
}

int ServerRig::count_reload_lines() const {
  std::ifstream log(folder_ + "/server.log");
  int count = 0;
  for (std::string line; std::getline(log, line);) {
    count += line.find("reload: addresses taken over") != std::string::npos;
  }
  return count;
}

ReloadResult ServerRig::reload() {
  LoadOptions probe{.per_second = kProbesPerSecond, .duration = kReloadLimit, .spacing = Spacing::kEven};
  ReloadResult result;
  const int before = count_reload_lines();
  Nanos signalled_at = 0;  // since the start of the probe; 0: not yet
  Nanos probe_end = 0;
  LoadResult answers = load_->run(probe, [&](Nanos elapsed) {
    if (signalled_at == 0 && elapsed >= kReloadDelay) {
      server_.signal(SIGHUP);
      signalled_at = elapsed;
    } else if (signalled_at != 0 && !result.reloaded && count_reload_lines() > before) {
      result.reloaded = true;
      result.reload_time = elapsed - signalled_at;
      probe_end = elapsed + kProbeTimeAfterReload;
    }
    return result.reloaded && elapsed >= probe_end;
  });
  result.gap_during_reload = answers.largest_gap;
  probe.duration = probe_end;
  if (result.reloaded) result.gap_without_reload = load_->run(probe).largest_gap;
  return result;
}

double ServerRig::peak_rss_mb() const {
  std::ifstream in("/proc/" + std::to_string(server_.pid()) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:")) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

Nanos ServerRig::cpu_time() const {
  clockid_t clock{};
  timespec used{};
  if (::clock_getcpuclockid(server_.pid(), &clock) != 0 || ::clock_gettime(clock, &used) != 0)
    throw std::runtime_error("can't read the server's CPU time");
  return used.tv_sec * kSecond + used.tv_nsec;
}

std::function<RequestTarget(std::mt19937&)> random_target(ConfigSizes sizes) {
  return [sizes](std::mt19937& random) {
    auto random_below = [&](int count) {
      return static_cast<int>(random() % static_cast<std::uint32_t>(count));
    };
    return RequestTarget{.path = "/api/v2/" + request_class_name(random_below(sizes.request_classes)),
                         .tenant = tenant_name(random_below(sizes.tenants))};
  };
}

}  // namespace myrtlecroft::capacity
