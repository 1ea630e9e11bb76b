// A client that is no balancer sends many requests at once and takes them back at once. See claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kBalancers = 8;
constexpr int kConnections = 8;  // of the bad client
constexpr int kRequestsPerConnection = 32;
constexpr int kRounds = 5;
constexpr int kSecondsAfter = 2;

struct Count {
  std::atomic<int> sent = 0, served = 0, refused = 0, failed = 0, unanswered = 0;
};

// One request after the other on one connection; each waits for its final answer.
void play_balancer(int index, int port, Ledger& ledger, Record& record, Count& count,
                   const std::atomic<bool>& stop) {
  Connection connection(port);
  for (std::uint64_t number = 1; !stop; ++number) {
    Try one{.id = trace_id(static_cast<std::uint64_t>(index) << 32 | number),
            .request_class = "part-lookup",
            .key = "",
            .body = "look up part " + std::to_string(number)};
    ledger.sent(one);
    Request request{.attempt = one, .tenant = "east-array", .wait = "2000"};
    ++count.sent;
    Answer answer;
    bool sent = connection.send(1, fastcgi_request(1, request_params(request), one.body));
    if (!sent || !connection.wait(1, 2150, answer)) {
      ++count.unanswered;
      record.line("balancer %d: try %s has NO ANSWER", index, one.id.c_str());
      return;
    }
    ledger.end(one.id);
    ++(answer.status == 200 ? count.served : answer.status == 503 ? count.refused : count.failed);
  }
}

// Requests that the engine does not know and whose Max-Wait-Ms is no number, in one write with the records
// that take them back.
void play_bad_client(int port, Record& record) {
  std::vector<std::unique_ptr<Connection>> connections;
  for (int i = 0; i < kConnections; ++i) {
    connections.push_back(std::make_unique<Connection>(port));
    std::string bytes;
    for (int id = 1; id <= kRequestsPerConnection; ++id) {
      Try one{.id = trace_id(0xbad0000 + static_cast<std::uint64_t>(i * 100 + id)),
              .request_class = "part-lookup",
              .key = "",
              .body = "nobody's"};
      Request request{.attempt = one, .tenant = "muon-wall", .wait = ""};
      bytes += fastcgi_request(id, request_params(request), one.body);
    }
    for (int id = 1; id <= kRequestsPerConnection; ++id) bytes += fastcgi_record(2, id, "");  // ABORT_REQUEST
    bool sent = connections.back()->open() && connections.back()->write(bytes);
    record.line("bad client: connection %d, %d requests and as many taken back: %s", i + 1,
                kRequestsPerConnection, sent ? "written" : "not written");
    sleep_ms(50);
  }
  sleep_ms(300);
}

int play(const std::string& root, const std::string& folder) {
  Record record(folder + "/record.txt");
  const bool disturb = trouble();
  record.line("TROUBLE=%d", disturb);
  Ledger ledger;
  Members members;
  Database database;
  Engine::Hooks hooks;
  hooks.work = [](const Try&) { return Engine::Work{.ms = 40, .calls = 1}; };
  Engine engine(record, ledger, std::move(hooks));
  TemporaryFolder temporary;
  ServerFile file{.port = free_port(),
                  .engine = engine.port(),
                  .members = members.port(),
                  .database = database.port(),
                  .settings = custody_settings()};
  write_server_file(temporary.file("config.json"), file);
  Process server;
  server = Process(deploy_command(root, "run"), root, temporary.file("log"),
                   {{"LB_CONFIG", temporary.file("config.json")},
                    {"LB_NAME", "n1"},
                    {"LB_LISTEN", "127.0.0.1:" + std::to_string(file.port)}});
  await_health(server, file.port);

  Count count;
  std::atomic<bool> stop = false;
  std::vector<std::thread> balancers;
  for (int i = 1; i <= kBalancers; ++i)
    balancers.emplace_back([&, i] { play_balancer(i, file.port, ledger, record, count, stop); });
  sleep_ms(1000);
  if (!server.running()) record.line("the server ended before the disruption");
  bool crashed = false;
  for (int round = 0; round < kRounds && !crashed; ++round) {
    disturb ? play_bad_client(file.port, record) : sleep_ms(1000);
    crashed = !server.running();
  }
  for (int i = 0; i < kSecondsAfter * 20 && !crashed; ++i) {
    sleep_ms(50);
    crashed = !server.running();
  }
  stop = true;
  for (std::thread& one : balancers) one.join();
  crashed = crashed || !server.running();
  if (crashed) record.line("the server's process ended by itself: %s", server.end_text().c_str());
  record.line("balancers: sent %d, served %d, refused %d, failed %d, without an answer %d", count.sent.load(),
              count.served.load(), count.refused.load(), count.failed.load(), count.unanswered.load());
  server.end(SIGKILL);
  record_log(record, temporary.file("log"));
  return crashed ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kCouldNotRun;
  try {
    int code = play(argv[1], argv[2]);
    std::printf("%s\n", code == kHeld ? "the rule held" : "RULE BROKEN: the server crashed");
    return code;
  } catch (const std::exception& error) {
    std::printf("could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}
