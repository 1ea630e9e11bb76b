// Stand-ins on loopback for the parties that a server speaks with: its engine, balancers, and the platform
// that starts, pauses and stops it. They follow the operators' protocol page and use no code of the project.
// One thread, one poll loop, the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rig {

inline double unix_seconds() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

// Writes record.txt: what was sent, answered and run, with seconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(unix_seconds()) {
    if (!file_) std::exit(2);
  }
  template <class... Args>
  void line(const char* format, Args... args) {
    std::fprintf(file_, "%8.3f ", unix_seconds() - start_);
    std::fprintf(file_, format, args...);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  void line(const char* text) { line("%s", text); }

 private:
  std::FILE* file_;
  double start_;
};

// A poll loop with timers.
class Loop {
 public:
  using Callback = std::function<void()>;
  void at(double when, Callback callback) { timers_.emplace(when, std::move(callback)); }
  void after(double seconds, Callback callback) { at(unix_seconds() + seconds, std::move(callback)); }
  void watch(int fd, Callback readable) { readers_[fd] = std::move(readable); }
  void unwatch(int fd) { readers_.erase(fd); }
  void run_until(const std::function<bool()>& done, double limit) {
    double end = unix_seconds() + limit;
    while (!done() && unix_seconds() < end) turn(end);
  }
  void run_for(double seconds) {
    run_until([] { return false; }, seconds);
  }
  // Moves all timers: for the time in which a machine stands still.
  void shift_timers(double seconds) {
    std::multimap<double, Callback> moved;
    for (auto& [when, callback] : timers_) moved.emplace(when + seconds, std::move(callback));
    timers_ = std::move(moved);
  }

 private:
  void turn(double end) {
    double now = unix_seconds();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      Callback callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
    std::vector<pollfd> fds;
    for (auto& [fd, callback] : readers_) fds.push_back({.fd = fd, .events = POLLIN, .revents = 0});
    double next = timers_.empty() ? end : std::min(end, timers_.begin()->first);
    int wait_ms = static_cast<int>(std::max(0.0, std::min(50.0, 1000 * (next - unix_seconds()))));
    if (poll(fds.data(), fds.size(), wait_ms) <= 0) return;
    for (const pollfd& one : fds) {
      if (!one.revents) continue;
      auto found = readers_.find(one.fd);
      if (found != readers_.end()) Callback(found->second)();
    }
  }

  std::multimap<double, Callback> timers_;
  std::map<int, Callback> readers_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}
inline int listen_on_free_port(int& port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 64) != 0) std::exit(2);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
inline int free_port() {
  int port = 0;
  close(listen_on_free_port(port));
  return port;
}
// Blocks until connected, returns -1 if it is refused.
inline int connect_to(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

inline std::string base64(const std::string& in) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t j = 0; j < 3; ++j)
      word = word << 8 | (i + j < in.size() ? static_cast<std::uint8_t>(in[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j) out += i + j <= in.size() ? digits[word >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}
// The string value of a field of one flat JSON line; empty if there is none.
inline std::string json_text(const std::string& line, const std::string& name) {
  std::size_t at = line.find("\"" + name + "\":\"");
  if (at == std::string::npos) return "";
  at += name.size() + 4;
  return line.substr(at, line.find('"', at) - at);
}
inline long json_number(const std::string& line, const std::string& name) {
  std::size_t at = line.find("\"" + name + "\":");
  return at == std::string::npos ? 0 : std::atol(line.c_str() + at + name.size() + 3);
}

// One request as its balancer sent it, and what became of it.
struct Request {
  std::string id, group, key, body;
  double work = 0.3;        // seconds of one core
  long max_wait_ms = 0;     // 0: the site passes no deadline
  bool gives_hint = false;  // of the work to expect
  double written = 0;
  int runs = 0;
  std::vector<std::pair<double, int>> answers;  // time, status
  std::string result;                           // body of the last answer
  double ended = 0;                             // when its connection ended without an answer; 0: it did not
};
using Requests = std::map<std::string, std::unique_ptr<Request>>;

// The engine of one server: `cores` cores of the given speed, shared by all that runs.
class Engine {
 public:
  Engine(Loop& loop, Record& record, Requests& requests, int cores, double speed)
      : loop_(loop), record_(record), requests_(requests), cores_(cores), speed_(speed) {
    listener_ = listen_on_free_port(port_);
    loop_.watch(listener_, [this] { accept_link(); });
    last_step_ = unix_seconds();
    step();
  }
  ~Engine() {
    close_link();
    loop_.unwatch(listener_);
    close(listener_);
  }
  int port() const { return port_; }
  std::size_t running() const { return runs_.size(); }
  // The machine stood still for so long.
  void stood_still(double seconds) { last_step_ += seconds; }

 private:
  void accept_link() {
    int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    close_link();
    link_ = fd;
    input_.clear();
    loop_.watch(link_, [this] { read_link(); });
  }
  void close_link() {
    if (link_ < 0) return;
    loop_.unwatch(link_);
    close(link_);
    link_ = -1;
    attached_ = false;
  }
  void read_link() {
    char bytes[65536];
    ssize_t count = recv(link_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) return close_link();
    input_.append(bytes, static_cast<std::size_t>(count));
    for (std::size_t end; link_ >= 0 && (end = input_.find('\n')) != std::string::npos;) {
      std::string line = input_.substr(0, end);
      input_.erase(0, end + 1);
      command(line);
    }
  }
  void command(const std::string& line) {
    std::string cmd = json_text(line, "cmd");
    if (cmd == "ATTACH") {
      attached_ = true;
      say("{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":60000}");
      long offset = json_number(line, "offset");
      for (std::size_t at = static_cast<std::size_t>(offset); at < notices_.size(); ++at) say(notices_[at]);
    } else if (cmd == "STAT") {
      say("{\"cmd\":\"STATS\",\"token\":\"" + json_text(line, "token") + "\",\"load\":[" +
          (runs_.empty() ? "0.0" : "1.0") + "," + std::to_string(runs_.size()) + ",0.1,10]}");
    } else if (cmd == "TEST") {
      say("{\"cmd\":\"TESTED\",\"token\":\"" + json_text(line, "token") + "\",\"result\":\"success\"}");
    } else if (cmd == "RUN") {
      std::string id = json_text(line, "req");
      auto found = requests_.find(id);
      if (found == requests_.end() || found->second->group != json_text(line, "method") ||
          base64(found->second->body) != json_text(line, "payload")) {
        return say("{\"cmd\":\"NO\",\"result\":\"RUN\",\"req\":\"" + id + "\"}");
      }
      if (runs_.contains(id)) return;
      record_.line("engine  run     %s %s %s", id.c_str(), found->second->group.c_str(),
                   found->second->key.c_str());
      ++found->second->runs;
      runs_[id] = found->second->work;
    }
  }
  void say(const std::string& line) {
    if (link_ >= 0 && attached_) write_all(link_, line + "\n");
  }
  void step() {
    double now = unix_seconds();
    double elapsed = now - last_step_;
    last_step_ = now;
    double share = runs_.empty() ? 0 : std::min(1.0, cores_ / static_cast<double>(runs_.size()));
    std::vector<std::string> ended;
    for (auto& [id, left] : runs_) {
      if ((left -= elapsed * speed_ * share) <= 0) ended.push_back(id);
    }
    for (const std::string& id : ended) {
      runs_.erase(id);
      record_.line("engine  done    %s", id.c_str());
      notices_.push_back("{\"cmd\":\"DONE\",\"offset\":" + std::to_string(notices_.size() + 1) +
                         ",\"req\":\"" + id + "\",\"result\":\"success\",\"elapsed_ms\":100,\"payload\":\"" +
                         base64("result of " + id) + "\"}");
      say(notices_.back());
    }
    loop_.after(0.002, [this] { step(); });
  }

  Loop& loop_;
  Record& record_;
  Requests& requests_;
  int cores_;
  double speed_;
  int port_ = 0;
  int listener_ = -1;
  int link_ = -1;
  bool attached_ = false;
  std::string input_;
  std::map<std::string, double> runs_;  // id: work left
  std::vector<std::string> notices_;
  double last_step_ = 0;
};

// A balancer with one connection to a server.
class Balancer {
 public:
  Balancer(Loop& loop, Record& record, Requests& requests, int number)
      : loop_(loop), record_(record), requests_(requests), number_(number) {}
  ~Balancer() { disconnect(); }
  bool connect(int port) {
    disconnect();
    fd_ = connect_to(port);
    if (fd_ < 0) return false;
    loop_.watch(fd_, [this] { read_answers(); });
    return true;
  }
  void disconnect() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    close(fd_);
    fd_ = -1;
    open_.clear();
    input_.clear();
  }
  bool connected() const { return fd_ >= 0; }

  Request& send(Request fields) {
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(getpid()),
                  static_cast<unsigned>(requests_.size() + 1));
    auto request = std::make_unique<Request>(std::move(fields));
    request->id = id;
    if (request->body.empty()) request->body = "body of " + request->id;
    request->written = unix_seconds();
    Request& out = *request;
    requests_[out.id] = std::move(request);
    std::string params;
    auto add = [&](const std::string& name, const std::string& value) {
      params += static_cast<char>(name.size());
      params += static_cast<char>(value.size());
      params += name + value;
    };
    add("REQUEST_METHOD", "POST");
    add("SCRIPT_NAME", "/api/v2/" + out.group);
    add("HTTP_TRACE_ID", out.id);
    add("HTTP_ACCEPTED_AT_MS", std::to_string(static_cast<long long>(out.written * 1000)));
    add("HTTP_CLIENT_NO", std::to_string(number_));
    add("HTTP_PROJECT", "acme");
    if (out.max_wait_ms > 0) add("HTTP_MAX_WAIT_MS", std::to_string(out.max_wait_ms));
    if (out.gives_hint) add("HTTP_EXPECTED_MS", std::to_string(static_cast<int>(out.work * 1000)));
    add("HTTP_RESERVE_KB", "30.0");
    add("HTTP_STANDING", "0.5000");
    if (!out.key.empty()) add("HTTP_REPLAY_KEY", out.key);
    int number = next_++;
    open_[number] = {&out, ""};
    record_.line("balancer sends  %s %s %s", out.id.c_str(), out.group.c_str(), out.key.c_str());
    const std::string begin("\0\1\1\0\0\0\0\0", 8);
    write_all(fd_, fcgi(1, number, begin) + fcgi(4, number, params) + fcgi(4, number, "") +
                       fcgi(5, number, out.body) + fcgi(5, number, ""));
    return out;
  }

 private:
  static std::string fcgi(int type, int id, const std::string& content) {
    std::string out = {1,
                       static_cast<char>(type),
                       static_cast<char>(id >> 8),
                       static_cast<char>(id),
                       static_cast<char>(content.size() >> 8),
                       static_cast<char>(content.size()),
                       0,
                       0};
    return out + content;
  }
  void read_answers() {
    char bytes[65536];
    ssize_t count = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) {
      for (auto& [number, open] : open_) {
        open.first->ended = unix_seconds();
        record_.line("balancer gets   %s no answer: the server ended the connection%s",
                     open.first->id.c_str(), count < 0 ? " with a reset" : "");
      }
      return disconnect();
    }
    input_.append(bytes, static_cast<std::size_t>(count));
    auto byte = [&](std::size_t at) { return static_cast<std::uint8_t>(input_[at]); };
    while (input_.size() >= 8) {
      std::size_t length = static_cast<std::size_t>(byte(4) << 8 | byte(5));
      std::size_t size = 8 + length + byte(6);
      if (input_.size() < size) break;
      int type = byte(1);
      int number = byte(2) << 8 | byte(3);
      std::string content = input_.substr(8, length);
      input_.erase(0, size);
      auto found = open_.find(number);
      if (found == open_.end()) continue;
      if (type == 6) found->second.second += content;
      if (type != 3) continue;
      finish(*found->second.first, found->second.second, content.size() > 4 ? content[4] : 0);
      open_.erase(found);
    }
  }
  void finish(Request& request, const std::string& output, int protocol_status) {
    std::size_t at = output.find("Status: ");
    int status = protocol_status == 2      ? 503
                 : at == std::string::npos ? 500
                                           : std::atoi(output.c_str() + at + 8);
    std::size_t body = output.find("\r\n\r\n");
    request.result = body == std::string::npos ? "" : output.substr(body + 4);
    request.answers.push_back({unix_seconds(), status});
    record_.line("balancer gets   %s status %d '%s'", request.id.c_str(), status, request.result.c_str());
  }

  Loop& loop_;
  Record& record_;
  Requests& requests_;
  int number_;
  int fd_ = -1;
  int next_ = 1;
  std::string input_;
  std::map<int, std::pair<Request*, std::string>> open_;
};

// A process that the case started. It ends with the case.
class Process {
 public:
  Process(const std::string& shell_command, const std::string& folder, const std::string& log,
          const std::vector<std::pair<std::string, std::string>>& variables) {
    pid_ = fork();
    if (pid_ != 0) return;
    if (chdir(folder.c_str()) != 0) _exit(127);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
    execl("/bin/sh", "sh", "-c", shell_command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  Process(const Process&) = delete;
  ~Process() {
    if (!ended()) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, &status_, 0);
    }
  }
  void signal(int number) {
    if (!ended()) kill(pid_, number);
  }
  bool ended() {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  int status() const { return status_; }

 private:
  pid_t pid_;
  int status_ = 0;
  bool ended_ = false;
};

inline std::string environment(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value && *value ? value : otherwise;
}

// The settings of a small deployment, after the pages of booking-lisboa-porto.
struct Site {
  std::string classes;  // JSON objects of the settings
  int cores = 2;
  int stop_ms = 3300;
  bool passes_deadline = true;
};
inline void write_config(const std::string& path, const Site& site, int listen, int engine) {
  auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::FILE* file = std::fopen(path.c_str(), "w");
  if (!file) std::exit(2);
  std::fprintf(
      file,
      "{\"name\":\"n1\",\"listen\":%s,\"engine\":%s,\"members\":%s,\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":"
      "%d,"
      "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":{\"classes\":[%s],"
      "\"clients\":{\"marksRetry\":true},\"failureDomains\":[\"lisboa\",\"porto\"],\"familyInfo\":{"
      "\"advert\":\"off\","
      "\"blowup\":16.0,\"cancelSeen\":false,\"classCalls\":[false,false,false],\"classSkipWorth\":[0,0,0],"
      "\"cold\":false,\"deepChecks\":true,\"downstream\":\"off\",\"freshNs\":0,\"heededNs\":1000000000,"
      "\"idleNs\":30000000000,\"keyKb\":180.0,\"meters\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"]"
      ","
      "\"nCores\":%d,\"passesDeadline\":%s,\"ramKb\":77208.0,\"registryFollows\":false,\"senders\":3,"
      "\"staysForNs\":200000000,\"stopMode\":\"off\"},\"layer\":0,\"limits\":{\"cpuUsPerRequest\":0.0,"
      "\"cpuUsPerS\":60000,\"maxRetryAfterNs\":1000000000,\"retryAfter\":true},\"loadInfo\":{\"columns\":["
      "\"avg_ms\"],"
      "\"how\":\"inline\"},\"me\":1,\"overShareWorth\":0.05,\"rules\":{\"answerSlackNs\":100000000,"
      "\"coldFrom\":0.26,"
      "\"drainGraceNs\":2000000000,\"overloadFactor\":8.0,\"overloadForNs\":2000000000,"
      "\"warmWithinNs\":18000000000},\"servers\":20,\"serviceType\":\"server\",\"stages\":[\"booking-"
      "servers\"],"
      "\"tenants\":[{\"name\":\"acme\",\"quotaPerS\":350.0,\"share\":1.0}],\"tickNs\":2000000,\"worthBy\":"
      "\"request\","
      "\"zone\":\"lisboa\"}}\n",
      at(listen).c_str(), at(engine).c_str(), at(free_port()).c_str(), site.stop_ms, site.classes.c_str(),
      site.cores, site.passes_deadline ? "true" : "false");
  std::fclose(file);
}

}  // namespace rig
