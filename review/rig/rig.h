// Stand-ins and helpers of the review's tests: the project's server as a process of its own, an engine, a
// database and a membership service as the protocol page describes them, and a client that speaks FastCGI.
// POSIX and the standard library only. Each stand-in has threads of its own and listens on loopback.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct CouldNotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t steady_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// ---- The record of what was sent, answered and run. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), begin_(steady_us()) {
    if (!file_) throw CouldNotRun("cannot write " + path);
  }
  ~Record() { std::fclose(file_); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%10.3f ms  ", static_cast<double>(steady_us() - begin_) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  std::int64_t begin_;
};

// ---- A process of the test. Signalled by its id only; killed and reaped at the end.
class Process {
 public:
  Process() = default;
  Process(const std::string& command, const std::string& folder, const std::string& log,
          const std::vector<std::pair<std::string, std::string>>& variables) {
    pid_ = ::fork();
    if (pid_ < 0) throw CouldNotRun("fork failed");
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    for (const auto& [name, value] : variables) ::setenv(name.c_str(), value.c_str(), 1);
    if (::chdir(folder.c_str()) != 0) ::_exit(127);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process& operator=(Process&& other) noexcept {
    end(SIGKILL);
    pid_ = std::exchange(other.pid_, -1);
    status_ = other.status_;
    return *this;
  }
  ~Process() { end(SIGKILL); }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Whether it still runs. Reaps it otherwise.
  bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  void end(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    ::waitpid(pid_, &status_, 0);
    pid_ = -1;
  }
  pid_t pid() const { return pid_; }
  // How it ended, once running() is false.
  std::string end_text() const {
    if (WIFSIGNALED(status_))
      return std::string("killed by signal ") + std::to_string(WTERMSIG(status_)) + " (" +
             strsignal(WTERMSIG(status_)) + ")";
    return "exit code " + std::to_string(WEXITSTATUS(status_));
  }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
};

// The value of `name = "..."` in the deploy file.
inline std::string deploy_command(const std::string& root, const std::string& name) {
  std::ifstream in(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with(name + " = \"")) continue;
    std::size_t begin = line.find('"') + 1;
    return line.substr(begin, line.find('"', begin) - begin);
  }
  throw CouldNotRun("deploy/balancer.toml names no command " + name);
}

// A folder for files of the test; removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    path_ = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
    if (!::mkdtemp(path_.data())) throw CouldNotRun("cannot make a temporary folder");
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { remove(); }
  void remove() const {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// Appends the last lines of a program's log to the record.
inline void record_log(Record& record, const std::string& path, std::size_t lines = 40) {
  std::ifstream in(path);
  std::vector<std::string> all;
  for (std::string line; std::getline(in, line);) all.push_back(line);
  for (std::size_t i = all.size() > lines ? all.size() - lines : 0; i < all.size(); ++i)
    record.line("log: %s", all[i].c_str());
}

// ---- Sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

// A listening socket on a free port below the range that the kernel gives to outgoing connections.
inline int listen_on_free_port(int& port, int type = SOCK_STREAM) {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 500; ++tries) {
    port = 20'000 + static_cast<int>(random() % 11'000);
    int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
        (type != SOCK_STREAM || ::listen(fd, 512) == 0))
      return fd;
    ::close(fd);
  }
  throw CouldNotRun("no free port");
}

inline int free_port() {
  int port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

inline int connect_to(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// ---- Base64 and the few JSON fields of the engine's lines

inline std::string to_base64(std::string_view bytes) {
  constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    for (std::size_t k = 0; k < 4; ++k)
      out += i + k <= bytes.size() ? kAlphabet[group >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

inline std::string from_base64(std::string_view text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (char c : text) {
    int value = c >= 'A' && c <= 'Z'   ? c - 'A'
                : c >= 'a' && c <= 'z' ? c - 'a' + 26
                : c >= '0' && c <= '9' ? c - '0' + 52
                : c == '+'             ? 62
                : c == '/'             ? 63
                                       : -1;
    if (value < 0) break;
    group = group << 6 | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>(group >> bits & 255);
  }
  return out;
}

// A field of a line that the server wrote: a text or a number. The server's lines have no escapes here.
inline std::string json_field(const std::string& line, const std::string& name) {
  std::size_t at = line.find("\"" + name + "\":");
  if (at == std::string::npos) return "";
  at += name.size() + 3;
  if (line[at] == '"') return line.substr(at + 1, line.find('"', at + 1) - at - 1);
  return line.substr(at, line.find_first_of(",}", at) - at);
}

// ---- Requests that were written to the server: what the balancers know, and what the engine may know of
// them. Thread-safe.
struct Try {
  std::string id;  // Trace-Id
  std::string request_class;
  std::string key;
  std::string body;
  bool over = false;  // the final answer was received, or the caller gave up
};
class Ledger {
 public:
  void sent(const Try& one) {
    std::lock_guard lock(mutex_);
    tries_[one.id] = one;
  }
  void end(const std::string& id) {
    std::lock_guard lock(mutex_);
    tries_[id].over = true;
  }
  bool find(const std::string& id, Try& out) {
    std::lock_guard lock(mutex_);
    auto found = tries_.find(id);
    if (found == tries_.end()) return false;
    out = found->second;
    return true;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, Try> tries_;
};

// ---- The engine. It keeps notices for a new link, and neither results nor keys.
class Engine {
 public:
  struct Work {
    int ms = 30;    // of a run, in all
    int calls = 0;  // to the database
  };
  struct Hooks {
    std::function<Work(const Try&)> work = [](const Try&) { return Work{}; };
    // Called with the lock held, after a RUN that was started.
    std::function<void(const Try&)> run_started = [](const Try&) {};
    // Called with the lock held, before a STAT is answered; returns whether to answer.
    std::function<bool()> stat_received = [] { return true; };
    std::function<void()> stat_answered = [] {};
  };

  Engine(Record& record, Ledger& ledger, Hooks hooks)
      : record_(record), ledger_(ledger), hooks_(std::move(hooks)), listener_(listen_on_free_port(port_)) {
    accept_thread_ = std::thread([this] { accept_links(); });
    timer_thread_ = std::thread([this] { end_due_runs(); });
  }
  ~Engine() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    drop_link();
    accept_thread_.join();
    timer_thread_.join();
    for (std::thread& one : link_threads_) one.join();
    ::close(listener_);
  }

  int port() const { return port_; }
  int links() const { return links_; }
  int runs(const std::string& key) {
    std::lock_guard lock(mutex_);
    return runs_of_key_[key];
  }
  std::size_t running() {
    std::lock_guard lock(mutex_);
    return runs_.size();
  }
  // Breaks the link. Commands on their way are lost, notices are kept.
  void drop_link() {
    std::lock_guard lock(mutex_);
    drop_link_locked();
  }
  void drop_link_locked() {
    if (link_ >= 0) ::shutdown(link_, SHUT_RDWR);
    link_ = -1;
  }
  // Ends the run of this request now, if there is one. With the lock held.
  void end_run_locked(const std::string& id) {
    auto run = runs_.find(id);
    if (run != runs_.end()) end_run(run);
  }
  std::mutex& mutex() { return mutex_; }

 private:
  struct Run {
    Try request;
    std::int64_t begun = 0;
    std::int64_t due = 0;  // of the next notice
    int calls_left = 0;
    bool waits = false;  // for the reply to its call
    std::uint64_t need = 0;
  };
  using Runs = std::map<std::string, Run>;

  void accept_links() {
    while (!stopping_) {
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      link_threads_.emplace_back([this, fd] { serve(fd); });
    }
  }
  void serve(int fd) {
    std::string input;
    char buffer[65'536];
    for (;;) {
      ssize_t size = ::recv(fd, buffer, sizeof buffer, 0);
      if (size <= 0) break;
      input.append(buffer, static_cast<std::size_t>(size));
      std::lock_guard lock(mutex_);
      for (std::size_t end; (end = input.find('\n')) != std::string::npos; input.erase(0, end + 1))
        if (!command(fd, input.substr(0, end))) break;
    }
    std::lock_guard lock(mutex_);
    if (link_ == fd) link_ = -1;
    ::close(fd);
  }
  bool command(int fd, const std::string& line) {
    std::string name = json_field(line, "cmd");
    std::string id = json_field(line, "req");
    if (name == "ATTACH") {
      drop_link_locked();  // a new link replaces the one before it
      link_ = fd;
      ++links_;
      std::uint64_t last = std::strtoull(json_field(line, "offset").c_str(), nullptr, 10);
      record_.line("engine: link %d, notices after %llu", links_.load(),
                   static_cast<unsigned long long>(last));
      write("{\"cmd\":\"HELLO\",\"result\":\"steady\",\"elapsed_ms\":60000}");
      for (auto notice = notices_.upper_bound(last); notice != notices_.end(); ++notice)
        write(notice->second);
      return true;
    }
    if (fd != link_) return false;  // replaced or broken: what still comes on it is lost
    if (name == "STAT") {
      if (!hooks_.stat_received()) return true;
      write("{\"cmd\":\"STATS\",\"token\":\"" + json_field(line, "token") + "\",\"load\":[0.3," +
            std::to_string(runs_.size()) + ",0.1,10]}");
      hooks_.stat_answered();
    } else if (name == "TEST") {
      write("{\"cmd\":\"TESTED\",\"token\":\"" + json_field(line, "token") + "\",\"result\":\"success\"}");
    } else if (name == "RUN") {
      run(id, json_field(line, "method"), from_base64(json_field(line, "payload")));
    } else if (name == "FEED" || name == "SKIP") {
      auto found = runs_.find(id);
      if (found == runs_.end() || !found->second.waits) return true;
      found->second.waits = false;
      found->second.due = steady_us() + 2'000;
    }
    return true;
  }
  void run(const std::string& id, const std::string& request_class, const std::string& body) {
    Try request;
    if (!ledger_.find(id, request) || request.request_class != request_class || request.body != body) {
      write("{\"cmd\":\"NO\",\"result\":\"RUN\",\"req\":\"" + id + "\"}");
      return;
    }
    if (runs_.contains(id)) {
      record_.line("engine: RUN %s, which runs already: nothing happens", id.c_str());
      return;
    }
    if (request.over) {
      record_.line("engine: RUN %s, whose request is over: nothing is started", id.c_str());
      notify("DONE", id, "nothing", "");
      return;
    }
    Work work = hooks_.work(request);
    std::int64_t now = steady_us();
    std::int64_t part = 1000LL * work.ms / (work.calls + 1);
    runs_[id] = {.request = request, .begun = now, .due = now + part, .calls_left = work.calls};
    int count = request.key.empty() ? 0 : ++runs_of_key_[request.key];
    record_.line("engine: run of try %s of %s key %s begins (run %d of this key)", id.c_str(),
                 request_class.c_str(), request.key.c_str(), count);
    hooks_.run_started(request);
  }
  void end_run(Runs::iterator run) {
    Try request = run->second.request;
    runs_.erase(run);
    record_.line("engine: run of try %s ends", request.id.c_str());
    notify("DONE", request.id, "success", "result of " + request.body);
  }
  void end_due_runs() {
    while (!stopping_) {
      std::this_thread::sleep_for(std::chrono::microseconds(500));
      std::lock_guard lock(mutex_);
      std::int64_t now = steady_us();
      for (auto next = runs_.begin(); next != runs_.end();) {
        auto run = next++;
        if (run->second.waits || run->second.due > now) continue;
        if (run->second.calls_left == 0) {
          end_run(run);
          continue;
        }
        --run->second.calls_left;
        run->second.waits = true;
        notify("NEED", run->first, "", "call of " + run->second.request.body);
      }
    }
  }
  void notify(const std::string& kind, const std::string& id, const std::string& result,
              const std::string& payload) {
    std::uint64_t number = ++last_notice_;
    std::string line =
        "{\"cmd\":\"" + kind + "\",\"offset\":" + std::to_string(number) + ",\"req\":\"" + id + "\"";
    if (!result.empty()) line += ",\"result\":\"" + result + "\",\"elapsed_ms\":10";
    line += ",\"payload\":\"" + to_base64(payload) + "\"}";
    notices_[number] = line;
    if (notices_.size() > 4000) notices_.erase(notices_.begin());
    write(line);
  }
  void write(const std::string& line) {
    if (link_ >= 0) send_all(link_, line + "\n");
  }

  Record& record_;
  Ledger& ledger_;
  Hooks hooks_;
  int port_ = 0;
  int listener_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  int link_ = -1;
  std::atomic<int> links_ = 0;
  Runs runs_;
  std::map<std::string, int> runs_of_key_;
  std::uint64_t last_notice_ = 0;
  std::map<std::uint64_t, std::string> notices_;
  std::thread accept_thread_;
  std::thread timer_thread_;
  std::list<std::thread> link_threads_;
};

// ---- The database: answers each call with rows after a short time.
class Database {
 public:
  explicit Database(int ms = 5) : ms_(ms), listener_(listen_on_free_port(port_)) {
    thread_ = std::thread([this] {
      while (!stopping_) {
        int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::lock_guard lock(mutex_);
        open_.insert(fd);
        connections_.emplace_back([this, fd] { serve(fd); });
      }
    });
  }
  ~Database() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    {
      std::lock_guard lock(mutex_);
      for (int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& one : connections_) one.join();
    ::close(listener_);
  }
  int port() const { return port_; }

 private:
  void serve(int fd) {
    std::string input;
    char buffer[8192];
    for (;;) {
      ssize_t size = ::recv(fd, buffer, sizeof buffer, 0);
      if (size <= 0) break;
      input.append(buffer, static_cast<std::size_t>(size));
      for (std::size_t end; (end = input.find("\r\n")) != std::string::npos;) {
        std::istringstream fields(input.substr(0, end));
        std::string command, id;
        std::size_t wait = 0, length = 0;
        fields >> command >> id >> wait >> length;
        if (command == "Q" && input.size() < end + 2 + length + 2) break;
        input.erase(0, end + 2 + (command == "Q" ? length + 2 : 0));
        if (command != "Q") continue;
        sleep_ms(ms_);
        send_all(fd, id + " ROWS 4\r\nrows\r\n");
      }
    }
    std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }
  int ms_;
  int port_ = 0;
  int listener_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::thread thread_;
  std::list<std::thread> connections_;
};

// ---- The membership service: takes reports and says nothing.
class Members {
 public:
  Members() : socket_(listen_on_free_port(port_, SOCK_DGRAM)) {}
  ~Members() { ::close(socket_); }
  int port() const { return port_; }

 private:
  int port_ = 0;
  int socket_;
};

// ---- FastCGI, the balancers' side

inline std::string fastcgi_record(int type, int id, std::string_view content) {
  std::string out = {1,
                     static_cast<char>(type),
                     static_cast<char>(id >> 8),
                     static_cast<char>(id),
                     static_cast<char>(content.size() >> 8),
                     static_cast<char>(content.size()),
                     0,
                     0};
  return out.append(content);
}

inline std::string fastcgi_request(int id, const std::vector<std::pair<std::string, std::string>>& params,
                                   const std::string& body) {
  std::string encoded;
  for (const auto& [name, value] : params) {
    encoded += static_cast<char>(name.size());
    encoded += static_cast<char>(value.size());
    encoded += name + value;
  }
  const char begin[8] = {0, 1, 1, 0, 0, 0, 0, 0};  // Responder, KEEP_CONN
  return fastcgi_record(1, id, std::string_view(begin, 8)) + fastcgi_record(4, id, encoded) +
         fastcgi_record(4, id, "") + (body.empty() ? "" : fastcgi_record(5, id, body)) +
         fastcgi_record(5, id, "");
}

struct Request {
  Try attempt;
  std::string tenant;
  std::string wait = "2000";  // Max-Wait-Ms
};

inline std::vector<std::pair<std::string, std::string>> request_params(const Request& request) {
  std::vector<std::pair<std::string, std::string>> out = {
      {"REQUEST_METHOD", "POST"},
      {"SCRIPT_NAME", "/api/v2/" + request.attempt.request_class},
      {"HTTP_TRACE_ID", request.attempt.id},
      {"HTTP_ACCEPTED_AT_MS", std::to_string(unix_ms())},
      {"HTTP_CLIENT_NO", "1"},
      {"HTTP_PROJECT", request.tenant},
      {"HTTP_EXPECTED_MS", "30.00"},
      {"HTTP_RESERVE_KB", "24.5"},
      {"HTTP_STANDING", "0.6250"},
      {"HTTP_MAX_WAIT_MS", request.wait}};
  if (!request.attempt.key.empty()) out.push_back({"HTTP_REPLAY_KEY", request.attempt.key});
  return out;
}

struct Answer {
  int status = 0;  // of the CGI response; 0: none
  int protocol_status = 0;
  std::string body{};
};

// A connection of a balancer. One thread reads; answers are kept by FastCGI id.
class Connection {
 public:
  explicit Connection(int port) : fd_(connect_to(port)) {
    if (fd_ >= 0) thread_ = std::thread([this] { read(); });
  }
  ~Connection() {
    if (fd_ < 0) return;
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
  }
  bool open() const { return fd_ >= 0 && !ended_; }
  // `answered`: called on the reading thread with the whole answer.
  bool send(int id, const std::string& bytes, std::function<void(const Answer&)> answered = {}) {
    {
      std::lock_guard lock(mutex_);
      handlers_[id] = std::move(answered);
      answers_.erase(id);
    }
    return fd_ >= 0 && send_all(fd_, bytes);
  }
  bool write(const std::string& bytes) { return fd_ >= 0 && send_all(fd_, bytes); }
  // Waits for the answer. False: it did not come in time, or the connection ended.
  bool wait(int id, int ms, Answer& out) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(ms), [&] { return answers_.contains(id) || ended_; });
    auto found = answers_.find(id);
    if (found == answers_.end()) return false;
    out = found->second;
    return true;
  }

 private:
  void read() {
    std::string input;
    std::map<int, std::string> outputs;
    char buffer[65'536];
    for (;;) {
      ssize_t size = ::recv(fd_, buffer, sizeof buffer, 0);
      if (size <= 0) break;
      input.append(buffer, static_cast<std::size_t>(size));
      std::size_t at = 0;
      while (input.size() - at >= 8) {
        auto byte = [&](std::size_t i) { return static_cast<unsigned char>(input[at + i]); };
        std::size_t length = static_cast<std::size_t>(byte(4) << 8 | byte(5));
        std::size_t record = 8 + length + byte(6);
        if (input.size() - at < record) break;
        int id = byte(2) << 8 | byte(3);
        if (byte(1) == 6) outputs[id] += input.substr(at + 8, length);
        if (byte(1) == 3) {
          Answer answer{.protocol_status = static_cast<unsigned char>(input[at + 12])};
          std::string output = std::move(outputs[id]);
          outputs.erase(id);
          if (output.starts_with("Status: ")) answer.status = std::atoi(output.c_str() + 8);
          std::size_t end = output.find("\r\n\r\n");
          if (end != std::string::npos) answer.body = output.substr(end + 4);
          finish(id, answer);
        }
        at += record;
      }
      input.erase(0, at);
    }
    std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }
  void finish(int id, const Answer& answer) {
    std::function<void(const Answer&)> handler;
    {
      std::lock_guard lock(mutex_);
      handler = handlers_[id];
    }
    if (handler) handler(answer);
    std::lock_guard lock(mutex_);
    answers_[id] = answer;
    changed_.notify_all();
  }
  int fd_;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<int, std::function<void(const Answer&)>> handlers_;
  std::map<int, Answer> answers_;
  std::atomic<bool> ended_ = false;
};

inline std::string trace_id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL | 1));
  return text;
}
inline std::string replay_key(std::uint64_t number) {
  return trace_id(number * 3 + 1) + trace_id(number * 5 + 2);
}

// Waits until the server answers a health check with 200.
inline void await_health(Process& server, int port, int seconds = 20) {
  for (int i = 0; i < seconds * 20; ++i) {
    if (!server.running()) throw CouldNotRun("the server ended at its start: " + server.end_text());
    Connection connection(port);
    Answer answer;
    if (connection.send(1,
                        fastcgi_request(1, {{"REQUEST_METHOD", "GET"}, {"SCRIPT_NAME", "/-/healthy"}}, "")) &&
        connection.wait(1, 1000, answer) && answer.status == 200)
      return;
    sleep_ms(50);
  }
  throw CouldNotRun("the server is not ready");
}

// The configuration of a server, with the settings of a small deployment.
struct ServerFile {
  std::string name = "n1";
  int port = 0, engine = 0, members = 0, database = 0;
  int stop_ms = 3200;
  std::string settings;  // the JSON object
};
inline void write_server_file(const std::string& path, const ServerFile& file) {
  auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  std::ofstream(path) << "{\"name\":\"" << file.name << "\",\"listen\":" << address(file.port)
                      << ",\"engine\":" << address(file.engine) << ",\"members\":" << address(file.members)
                      << ",\"db\":" << address(file.database)
                      << ",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":" << file.stop_ms
                      << ",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                      << "\"settings\":" << file.settings << "}\n";
}

// The settings of qcra-roaming-hub: site-lookup, session-status and charge-record.
inline std::string hub_settings() {
  return R"({"classes":[
    {"name":"site-lookup","effect":"idempotent","gain":1,"goalTimeNs":2500000000,"hardLimitNs":6200000000,"lateWorth":0,"dedupWindowNs":5000000000},
    {"name":"session-status","effect":"idempotent","gain":1,"goalTimeNs":2500000000,"hardLimitNs":7500000000,"lateWorth":0,"dedupWindowNs":5000000000},
    {"name":"charge-record","effect":"deduplicated","gain":3,"goalTimeNs":1500000000,"hardLimitNs":5000000000,"lateWorth":0,"dedupWindowNs":14982000000}],
    "clients":{"marksRetry":false},
    "familyInfo":{"nCores":6,"ramKb":77208,"blowup":16,"keyKb":100,"idleNs":30000000000,"cold":false,"downstream":"one_for_all",
      "callsOut":4.5,"depWindowNs":5000000000,"staysForNs":200000000,"classCalls":[true,false,true],"classSkipWorth":[0,0,0],
      "freshNs":0,"senders":4,"stopMode":"freeze","advert":"allowance","heededNs":1000000000,"deepChecks":false,"registryFollows":true,
      "passesDeadline":true,"cancelSeen":false,"meters":["core_use","on_cores","heap_share","links"]},
    "limits":{"retryAfter":true,"maxRetryAfterNs":1000000000,"cpuUsPerS":60000},
    "overShareWorth":0.05,"worthBy":"request",
    "rules":{"answerSlackNs":100000000,"coldFrom":0.24,"drainGraceNs":2500000000,"overloadFactor":6,"overloadForNs":2000000000,"warmWithinNs":18000000000},
    "servers":12,"tickNs":4000000,
    "tenants":[{"name":"coastcharge","quotaPerS":80,"share":0.33},{"name":"sunroad","quotaPerS":75,"share":0.3},
      {"name":"outback-plug","quotaPerS":60,"share":0.24},{"name":"reef-volts","quotaPerS":30,"share":0.13}]})";
}

// The settings of hsinchu-main: part-lookup, status-set and custody-record.
inline std::string custody_settings() {
  return R"({"classes":[
    {"name":"part-lookup","effect":"idempotent","gain":1,"goalTimeNs":1800000000,"hardLimitNs":4400000000,"lateWorth":0.2,"dedupWindowNs":5000000000},
    {"name":"status-set","effect":"idempotent","gain":2,"goalTimeNs":1800000000,"hardLimitNs":4400000000,"lateWorth":0,"dedupWindowNs":5000000000},
    {"name":"custody-record","effect":"deduplicated","gain":3,"goalTimeNs":1800000000,"hardLimitNs":4400000000,"lateWorth":0,"dedupWindowNs":13212000000}],
    "clients":{"marksRetry":false},
    "familyInfo":{"nCores":6,"ramKb":77208,"blowup":16,"keyKb":181.93,"idleNs":30000000000,"cold":false,"downstream":"one_for_all",
      "callsOut":4.58,"depWindowNs":5000000000,"staysForNs":200000000,"classCalls":[true,true,true],"classSkipWorth":[0.3,0.5,0],
      "freshNs":0,"senders":3,"stopMode":"off","advert":"off","heededNs":1000000000,"deepChecks":true,"registryFollows":true,
      "passesDeadline":true,"cancelSeen":false,"meters":["core_use","on_cores","heap_share","links"]},
    "limits":{"retryAfter":true,"maxRetryAfterNs":1000000000,"cpuUsPerS":60000},
    "overShareWorth":0.05,"worthBy":"work",
    "rules":{"answerSlackNs":100000000,"coldFrom":0.24,"drainGraceNs":2000000000,"overloadFactor":8,"overloadForNs":1500000000,"warmWithinNs":18000000000},
    "servers":12,"tickNs":2000000,
    "tenants":[{"name":"east-array","quotaPerS":35,"share":0.26},{"name":"muon-wall","quotaPerS":29,"share":0.21}]})";
}

}  // namespace rig
