#include "capacity/real_server_process.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>

#include "child.h"
#include "net/address.h"
#include "node_config.h"
#include "port_reservations.h"
#include "report/load_report.h"

namespace myrtlecroft::capacity {
namespace {

constexpr int kPollMs = 5;
constexpr int kStartLimitMs = 10'000;

// Listens for the load reports of one server and counts them.
class ReportReceiver {
 public:
  ReportReceiver() : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = net::loopback(0);
    socklen_t size = sizeof address;
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(listener_, 4);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ReportReceiver(const ReportReceiver&) = delete;
  ReportReceiver& operator=(const ReportReceiver&) = delete;
  ~ReportReceiver() {
    if (peer_ >= 0) ::close(peer_);
    ::close(listener_);
  }
  int port() const { return port_; }
  double bytes() const { return bytes_; }
  double reports() const { return reports_; }
  void read_reports() {
    if (peer_ < 0) peer_ = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    char buffer[65'536];
    for (ssize_t received; peer_ >= 0 && (received = ::recv(peer_, buffer, sizeof buffer, 0)) > 0;) {
      unparsed_.append(buffer, static_cast<std::size_t>(received));
      bytes_ += static_cast<double>(received);
    }
    report::FrameError malformed{};
    unparsed_.erase(0, report::decode(
                           unparsed_, [this](const report::LoadReport&) { ++reports_; }, malformed));
  }

 private:
  int listener_;
  int peer_ = -1;
  int port_ = 0;
  std::string unparsed_;
  double bytes_ = 0;
  double reports_ = 0;
};

class ServerProcess {
 public:
  ServerProcess(const std::string& folder, const ServerProcessOptions& options,
                standin::PortReservations& ports) {
    std::string stem = folder + "/server-" + std::to_string(options.request_classes) + "-" +
                       std::to_string(options.instances);
    standin::ServerConfig config;
    for (int* port : {&config.port, &config.engine, &config.database}) *port = ports.reserve();
    for (int i = 1; i <= options.request_classes; ++i) {
      config.request_classes +=
          std::string(i > 1 ? "," : "") + R"({"name":"s)" + std::to_string(i) +
          R"(","effect":"idempotent","gain":1,"goalTimeNs":500000000,"hardLimitNs":1000000000})";
    }
    config.family = R"("nCores":1,"ramKb":50000)";
    standin::write_server_config(stem + ".json", config);
    write_settings(stem + ".conf", options.instances);
    child_ = standin::ChildProcess({MYRTLECROFT_PROGRAM}, stem + ".log",
                                   {{"LB_CONFIG", stem + ".json"}, {"MYRTLECROFT_SETTINGS", stem + ".conf"}});
  }

  void read_reports() {
    for (auto& receiver : receivers_) receiver->read_reports();
  }
  bool has_reported() const {
    bool out = true;
    for (const auto& receiver : receivers_) out = out && receiver->reports() > 0;
    return out;
  }
  ServerProcessCost total_cost() const {
    ServerProcessCost out{.cores = cpu_seconds()};
    for (const auto& receiver : receivers_) {
      out.bytes_per_second += receiver->bytes();
      out.reports_per_second += receiver->reports();
    }
    return out;
  }

 private:
  void write_settings(const std::string& path, int instances) {
    std::ofstream out(path);
    out << "version = 1;\n";
    if (instances == 0) return;
    out << "reports = { to = (";
    for (int i = 0; i < instances; ++i) {
      receivers_.push_back(std::make_unique<ReportReceiver>());
      out << (i ? ", " : "") << '"' << standin::loopback_address(receivers_.back()->port()) << '"';
    }
    out << "); };\n";
  }
  // Read in nanoseconds, because ChildProcess::cpu_ms() has a resolution of 10 ms.
  double cpu_seconds() const {
    std::ifstream in("/proc/" + std::to_string(child_.pid()) + "/schedstat");
    double nanos = 0;
    in >> nanos;
    return nanos / 1e9;
  }

  std::vector<std::unique_ptr<ReportReceiver>> receivers_;
  standin::ChildProcess child_;
};

using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point then) {
  return std::chrono::duration<double>(Clock::now() - then).count();
}

using Processes = std::vector<std::unique_ptr<ServerProcess>>;

template <class Done>
bool read_until(Processes& processes, int limit_ms, Done done) {
  auto begun = Clock::now();
  while (seconds_since(begun) * 1e3 < limit_ms) {
    for (auto& process : processes) process->read_reports();
    if (done()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
  return false;
}

ServerProcessCosts measure_round(Processes& processes, int duration_ms) {
  ServerProcessCosts before;
  for (const auto& process : processes) before.push_back(process->total_cost());
  auto begun = Clock::now();
  read_until(processes, duration_ms, [] { return false; });
  double elapsed = seconds_since(begun);
  ServerProcessCosts out;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    ServerProcessCost now = processes[i]->total_cost();
    out.push_back({.bytes_per_second = (now.bytes_per_second - before[i].bytes_per_second) / elapsed,
                   .reports_per_second = (now.reports_per_second - before[i].reports_per_second) / elapsed,
                   .cores = (now.cores - before[i].cores) / elapsed});
  }
  return out;
}

}  // namespace

std::vector<ServerProcessCosts> measure_server_processes(const std::string& folder,
                                                         const std::vector<ServerProcessOptions>& options,
                                                         int rounds, int round_ms) {
  standin::PortReservations ports;
  Processes processes;
  for (const ServerProcessOptions& process : options)
    processes.push_back(std::make_unique<ServerProcess>(folder, process, ports));
  bool up = read_until(processes, kStartLimitMs, [&] {
    return std::all_of(processes.begin(), processes.end(),
                       [](const auto& process) { return process->has_reported(); });
  });
  if (!up) throw std::runtime_error("a server process does not report");
  std::vector<ServerProcessCosts> out;
  for (int round = 0; round < rounds; ++round) out.push_back(measure_round(processes, round_ms));
  return out;
}

}  // namespace myrtlecroft::capacity
