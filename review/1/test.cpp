// A keyed request whose engine link breaks right after its RUN, and whose run ends in the moment in which
// the next link is up. See claim.txt.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kRunsBefore = 24;

int play(const std::string& root, const std::string& folder) {
  Record record(folder + "/record.txt");
  const bool disturb = trouble();
  record.line("TROUBLE=%d", disturb);
  Ledger ledger;
  Members members;
  Database database;

  // The request that meets the break. Its run makes no call; all others make one each.
  std::string probed_id;
  std::string probed_key;
  enum class Stage { kBefore, kRunning, kBroken, kLinkIsBack, kOver } stage = Stage::kBefore;
  Engine* engine_pointer = nullptr;
  Engine::Hooks hooks;
  hooks.work = [&](const Try& one) {
    return one.key == probed_key ? Engine::Work{.ms = 40, .calls = 0} : Engine::Work{.ms = 30, .calls = 1};
  };
  hooks.run_started = [&](const Try& one) {
    if (one.key != probed_key || stage != Stage::kBefore) return;
    stage = Stage::kRunning;
    if (!disturb) return;
    record.line("engine: the link breaks, the run of %s goes on", one.id.c_str());
    engine_pointer->drop_link_locked();
    stage = Stage::kBroken;
  };
  hooks.stat_answered = [&] {
    if (stage != Stage::kBroken) return;
    stage = Stage::kLinkIsBack;
    record.line("engine: the new link's first STAT is answered");
    engine_pointer->end_run_locked(probed_id);
  };
  Engine engine(record, ledger, std::move(hooks));
  engine_pointer = &engine;

  TemporaryFolder temporary;
  ServerFile file{.port = free_port(),
                  .engine = engine.port(),
                  .members = members.port(),
                  .database = database.port(),
                  .settings = hub_settings()};
  write_server_file(temporary.file("config.json"), file);
  Process server;
  server = Process(deploy_command(root, "run"), root, temporary.file("log"),
                   {{"LB_CONFIG", temporary.file("config.json")},
                    {"LB_NAME", "n1"},
                    {"LB_LISTEN", "127.0.0.1:" + std::to_string(file.port)}});
  await_health(server, file.port);

  Connection balancer(file.port);
  std::uint64_t number = static_cast<std::uint64_t>(steady_us());
  auto exchange = [&](int id, Try one, Answer& answer) {
    ledger.sent(one);
    Request request{.attempt = one, .tenant = "sunroad", .wait = "3000"};
    record.line("balancer: try %s of key %s is written", one.id.c_str(), one.key.c_str());
    bool sent = balancer.send(id, fastcgi_request(id, request_params(request), one.body),
                              [&](const Answer&) { ledger.end(one.id); });
    bool answered = sent && balancer.wait(id, 3500, answer);
    record.line("balancer: try %s: %s, status %d", one.id.c_str(), answered ? "answered" : "NO ANSWER",
                answer.status);
    return answered;
  };
  for (int i = 0; i < kRunsBefore; ++i) {
    Try one{.id = trace_id(++number),
            .request_class = "charge-record",
            .key = replay_key(number),
            .body = "charge " + std::to_string(i)};
    Answer answer;
    if (!exchange(1, one, answer) || answer.status != 200)
      throw CouldNotRun("a request before the disruption was not served");
    if (engine.runs(one.key) != 1) throw CouldNotRun("a request before the disruption did not run once");
  }

  Try probed{.id = trace_id(++number),
             .request_class = "charge-record",
             .key = replay_key(number),
             .body = "charge of a trip"};
  {
    std::lock_guard lock(engine.mutex());
    probed_id = probed.id;
    probed_key = probed.key;
  }
  Answer answer;
  bool answered = exchange(1, probed, answer);
  sleep_ms(1500);  // runs that were begun meanwhile end
  if (!server.running()) throw CouldNotRun("the server ended: " + server.end_text());
  int runs = engine.runs(probed.key);
  record.line("the request was written once and ran %d times; answer: %s, status %d", runs,
              answered ? "yes" : "none", answer.status);
  if (disturb && engine.links() < 2) throw CouldNotRun("the server made no new link");
  server.end(SIGKILL);
  record_log(record, temporary.file("log"));
  return runs > 1 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return kCouldNotRun;
  try {
    int code = play(argv[1], argv[2]);
    std::printf("%s\n", code == kHeld ? "the rule held" : "RULE BROKEN: a deduplicated request ran twice");
    return code;
  } catch (const std::exception& error) {
    std::printf("could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}
