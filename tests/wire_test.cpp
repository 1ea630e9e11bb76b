// The simulator's adapter, bytes in and bytes out. In place of the policy stands a Controller that writes
// each input with all that came with it as a log line, and on a notice to leave does every action once. The
// last tests run the program itself, with the policy.
#include "wirehost/wire.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

namespace myrtlecroft {

// Writes inputs down instead of deciding.
class Controller::Core {
 public:
  Core(const ServiceConfig& config, ControllerActions& host, std::uint64_t seed)
      : config(config), host(host), seed(seed) {}

  template <class... Values>
  void note(const Values&... values) {
    std::ostringstream line;
    ((line << values), ...);
    host.log(line.str());
  }

  const ServiceConfig& config;
  ControllerActions& host;
  std::uint64_t seed;
  Request* newest = nullptr;
};

Controller::Controller(const ServiceConfig& config, ControllerActions& host, std::uint64_t seed)
    : core_(std::make_unique<Core>(config, host, seed)) {}
Controller::~Controller() = default;

void Controller::start(Nanos now) {
  const ServiceConfig& config = core_->config;
  core_->note("start at ", now, " seed ", core_->seed);
  for (const RequestClass& request_class : config.request_classes) {
    core_->note("class ", request_class.name, " effect ", static_cast<int>(request_class.idempotency),
                " gain ", request_class.priority_weight, " late ", request_class.late_weight_share, " skip ",
                request_class.degraded_weight_share, " calls ", request_class.makes_calls, " goal ",
                request_class.latency_objective, " limit ", request_class.client_timeout, " window ",
                request_class.deduplication_window);
  }
  for (const Tenant& tenant : config.tenants) {
    core_->note("tenant ", tenant.name, " quota ", tenant.quota_per_s);
  }
  core_->note("servers ", config.servers, " callers ", config.callers, " cores ", config.cores, " memory ",
              config.memory_kb, " blowup ", config.running_memory_factor, " key ", config.key_kb);
  core_->note("over share ", config.over_quota_weight, " by work ", config.weight_is_per_core_second,
              " cold ", config.warming_up, " from ", config.warm_up_initial_speed, " warm in ",
              config.warm_up_time);
  core_->note("crowd ", config.max_running_per_core, " over ", config.contention_window, " below ",
              config.has_dependency, " share ", config.dependency_share, " over ", config.dependency_window,
              " stays ", config.abandoned_call_lifetime);
  core_->note("fresh ", config.answer_sharing_window, " grace ", config.drain_grace, " slack ",
              config.answer_slack, " tick ", config.tick, " idle ", config.max_idle_time, " pause ",
              config.max_retry_after, " stop mode ", static_cast<int>(config.stop_mode), " advert ",
              static_cast<int>(config.advertised_capacity));
}

void Controller::request_received(Request& request, Nanos now) {
  core_->newest = &request;
  core_->note("read at ", now, " class ", request.request_class->name, " tenant ",
              request.tenant ? request.tenant->name : "none", " key ", request.has_lookup_key, " writes ",
              request.writes, " arrived ", request.arrived, " due ", request.client_deadline, " work ",
              request.estimated_work, " kb ", request.queued_kb, " repeats ", request.is_retry,
              " prior of kb ", request.original ? request.original->queued_kb : 0);
}

void Controller::call_needed(Request& request, Nanos now) {
  core_->note("at call at ", now, " kb ", request.queued_kb);
}

void Controller::call_ended(Request& request, Outcome outcome, Nanos took, Nanos now) {
  core_->note("call done at ", now, " kb ", request.queued_kb, " outcome ", static_cast<int>(outcome),
              " took ", took);
}

void Controller::run_completed(Request& request, Outcome outcome, Nanos now) {
  core_->note("settled at ", now, " kb ", request.queued_kb, " outcome ", static_cast<int>(outcome));
  core_->host.release(request);
}

void Controller::caller_disconnected(Request& request, Nanos now) {
  core_->note("gone at ", now, " kb ", request.queued_kb);
}

void Controller::timer_expired(std::uint64_t token, const Gauges& gauges, Nanos now) {
  core_->note("rang at ", now, " token ", token, " core use ", gauges.core_utilization.value_or(-1),
              " on cores ", gauges.runnable_threads.value_or(-1), " links ", gauges.connections.value_or(-1));
}

void Controller::begin_drain(Nanos stop_at, Nanos now) {
  core_->note("leave at ", now, " by ", stop_at);
  if (!core_->newest) return;
  ControllerActions& host = core_->host;
  Request& request = *core_->newest;
  host.run(request);
  host.stop_work(request);
  host.reject(request, true, 7);
  host.reject(request, false, 0);
  host.fail(request);
  host.call(request, 8);
  EXPECT_FALSE(host.abandon_call(request));
  host.skip_call(request);
  host.retain_key(request, 9);
  host.forget_key(request);
  host.coalesce(request);
  host.report_health(true);
  host.report_health(false);
  host.advertise(0.5);
  host.close_idle(10);
  host.schedule_timer(11, 12);
  host.log("a \"quoted\" \\ line\n");
}

namespace wirehost {
namespace {

const std::string kClasses =
    R"("classes":[{"name":"browse","effect":"idempotent","gain":1.5,"lateWorth":0.25,"goalTimeNs":900,"hardLimitNs":2500},)"
    R"({"name":"pay","effect":"deduplicated","gain":4,"goalTimeNs":800,"hardLimitNs":2400,"dedupWindowNs":6000},)"
    R"({"name":"mail","effect":"at_most_once","gain":2,"goalTimeNs":700,"hardLimitNs":2300}])";
const std::string kRules = R"("rules":{"overloadFactor":6,"overloadForNs":1200})";
const std::string kLeast =
    "{" + kClasses + R"(,"familyInfo":{"nCores":3,"ramKb":5000},"limits":{},)" + kRules + "}";
const std::string kWithTenants = "{" + kClasses +
                                 R"(,"tenants":[{"name":"north","quotaPerS":20.5},{"name":"south"}],)"
                                 R"("familyInfo":{"nCores":3,"ramKb":5000},"limits":{},)" +
                                 kRules + "}";

std::string provision(int server, const std::string& env = kWithTenants) {
  return R"({"m":"Provision","server":)" + std::to_string(server) + R"(,"seed":99,"env":)" + env + "}\n";
}

std::string batch(int number, const std::string& events) {
  return R"({"m":"Turn","momentNs":)" + std::to_string(1000 * number) + R"(,"seq":)" +
         std::to_string(number) + "}\n" + events + "{\"m\":\"EofBatch\"}\n";
}

// A call with all that it must have, and more.
std::string call(int id, int kb, const std::string& more = "", int server = 1) {
  return R"({"m":"Call","server":)" + std::to_string(server) + R"(,"requestId":)" + std::to_string(id) +
         R"(,"profile":"browse","footprint":)" + std::to_string(kb) + more + "}\n";
}

std::string served(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  Wire(in, out).serve();
  return out.str();
}

std::string logged(const std::string& text, int server = 1) {
  return R"({"m":"Debug","server":)" + std::to_string(server) + R"(,"bodyText":")" + text + "\"}\n";
}

std::string end_of_reply(int number) { return R"({"m":"Eor","seq":)" + std::to_string(number) + "}\n"; }

// The reply to the second batch, after one in which server 1 was started.
std::string reply_to(const std::string& events, const std::string& first = provision(1)) {
  std::string replies = served(batch(1, first) + batch(2, events));
  std::string past = end_of_reply(1);
  std::string second = replies.substr(replies.find(past) + past.size());
  std::string end = end_of_reply(2);
  EXPECT_TRUE(second.ends_with(end)) << second;
  return second.substr(0, second.size() - end.size());
}

// What is said of an input that can't be read; without an error, nothing.
std::string complaint(const std::string& input) {
  try {
    served(input);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}
// Of one event after a start: it stands on line 5.
std::string complaint_of(const std::string& event) {
  return complaint(batch(1, provision(1)) + batch(2, event));
}

TEST(Wire, EmptyInputHasNoReplyAndAnEmptyBatchOnlyItsEnd) {
  EXPECT_EQ(served(""), "");
  EXPECT_EQ(served(batch(1, "") + batch(7, "")), end_of_reply(1) + end_of_reply(7));
}

TEST(Wire, ProvisionBringsSeedAndAllSettings) {
  std::string env =
      "{" + kClasses +
      R"(,"tenants":[{"name":"north","quotaPerS":20.5,"share":0.5},{"name":"south"}],"servers":4,"tickNs":2,)"
      R"("overShareWorth":0.125,"worthBy":"work",)"
      R"("familyInfo":{"senders":5,"nCores":3,"ramKb":5000.5,"blowup":8.5,"keyKb":1.25,"cold":true,)"
      R"("downstream":"one_for_all","callsOut":2.5,"depWindowNs":3000,"staysForNs":210,"idleNs":31000,)"
      R"("freshNs":42,"stopMode":"freeze","advert":"weight","classCalls":[false,true,true],)"
      R"("classSkipWorth":[0,0.5,0.75]},"rules":{"answerSlackNs":11,"coldFrom":0.375,"warmWithinNs":12,)"
      R"("drainGraceNs":13,"overloadFactor":6.5,"overloadForNs":14},)"
      R"("limits":{"retryAfter":true,"maxRetryAfterNs":15}})";
  EXPECT_EQ(
      served(batch(1, provision(1, env))),
      logged("start at 1000 seed 99") +
          logged("class browse effect 0 gain 1.5 late 0.25 skip 0 calls 0 goal 900 limit 2500 window 0") +
          logged("class pay effect 1 gain 4 late 0 skip 0.5 calls 1 goal 800 limit 2400 window 6000") +
          logged("class mail effect 2 gain 2 late 0 skip 0.75 calls 1 goal 700 limit 2300 window 0") +
          logged("tenant north quota 20.5") + logged("tenant south quota 0") +
          logged("servers 4 callers 5 cores 3 memory 5000.5 blowup 8.5 key 1.25") +
          logged("over share 0.125 by work 1 cold 1 from 0.375 warm in 12") +
          logged("crowd 6.5 over 14 below 1 share 2.5 over 3000 stays 210") +
          logged("fresh 42 grace 13 slack 11 tick 2 idle 31000 pause 15 stop mode 2 advert 3") +
          end_of_reply(1));
}

TEST(Wire, ProvisionWithoutOptionalSettingsTakesTheirDefaults) {
  std::string reply = served(batch(1, provision(1, kLeast)));
  EXPECT_EQ(reply.substr(reply.find(logged("servers 1 callers 1 cores 3 memory 5000 blowup 1 key 0"))),
            logged("servers 1 callers 1 cores 3 memory 5000 blowup 1 key 0") +
                logged("over share 1 by work 0 cold 0 from 1 warm in 0") +
                logged("crowd 6 over 1200 below 0 share 0 over 0 stays 0") +
                logged("fresh 0 grace 0 slack 0 tick 0 idle 0 pause 0 stop mode 0 advert 0") +
                end_of_reply(1));
}

TEST(Wire, CallBringsAllItsFields) {
  EXPECT_EQ(
      reply_to(R"({"m":"Call","server":1,"requestId":4503599627370495,"profile":"pay","tenant":"south",)"
               R"("targetKey":9007199254740991,"giveUpAtNs":2900,"workNs":33,"footprint":24.5,"prio":0.5,)"
               R"("repeat":true,"update":true,"src":17,"ageNs":150,"prior":12})"
               "\n"),
      logged("read at 2000 class pay tenant south key 1 writes 1 arrived 1850 due 2900 work 33 kb 24.5 "
             "repeats 1 prior of kb 0"));
}

TEST(Wire, CallWithoutOptionalFieldsSkipsThemAndUnknownOnesToo) {
  std::string bare = logged(
      "read at 2000 class browse tenant none key 0 writes 0 arrived 2000 due 0 work 0 kb 8 repeats 0 prior "
      "of "
      "kb 0");
  EXPECT_EQ(reply_to(call(5, 8)), bare);
  EXPECT_EQ(reply_to(call(5, 8, R"(,"tenant":0,"prior":0,"giveUpAtNs":0)")), bare);
  EXPECT_EQ(reply_to(call(5, 8, R"(,"mood":{"a":[1,"x"]},"news":null)")), bare);
}

TEST(Wire, TwoTriesOfOneBatchNameEachOther) {
  std::string reply = reply_to(call(5, 8, R"(,"prior":6)") + call(6, 9, R"(,"prior":5)"));
  EXPECT_NE(reply.find("kb 8 repeats 1 prior of kb 9"), std::string::npos) << reply;
  EXPECT_NE(reply.find("kb 9 repeats 1 prior of kb 8"), std::string::npos) << reply;
}

TEST(Wire, AtCallCallDoneAndDroppedReachTheirRequest) {
  std::string first = provision(1) + call(5, 8) + call(6, 9);
  EXPECT_EQ(reply_to(R"({"m":"AtCall","server":1,"requestId":5})"
                     "\n"
                     R"({"m":"CallDone","server":1,"requestId":6,"rttNs":77,"reason":"TimedOut"})"
                     "\n"
                     R"({"m":"Dropped","server":1,"requestId":5})"
                     "\n",
                     first),
            logged("at call at 2000 kb 8") + logged("call done at 2000 kb 9 outcome 3 took 77") +
                logged("gone at 2000 kb 8"));
}

TEST(Wire, SettledEndsTheRequestAndLaterEventsOfItAreIgnored) {
  std::string first = provision(1) + call(5, 8);
  std::string run_completed = R"({"m":"Settled","server":1,"requestId":5,"reason":"Ok","rttNs":44})"
                              "\n";
  std::string replies = served(batch(1, first) + batch(2, run_completed) + batch(3, run_completed));
  EXPECT_TRUE(replies.ends_with(logged("settled at 2000 kb 8 outcome 0") + end_of_reply(2) + end_of_reply(3)))
      << replies;
}

TEST(Wire, EachOutcomeHasItsWord) {
  const char* words[] = {"Ok",           "Failed",      "QueueFull", "TimedOut",
                         "ConnectError", "ResetByPeer", "Canceled",  "Ignored"};
  for (int i = 0; i < 8; ++i) {
    std::string done = R"({"m":"CallDone","server":1,"requestId":5,"rttNs":1,"reason":")";
    EXPECT_EQ(reply_to(done + words[i] + "\"}\n", provision(1) + call(5, 8)),
              logged("call done at 2000 kb 8 outcome " + std::to_string(i) + " took 1"));
  }
}

TEST(Wire, RingBringsItsTokenAndTheGauges) {
  EXPECT_EQ(reply_to(R"({"m":"Ring","server":1,"token":9223372036854775808,)"
                     R"("metrics":{"core_use":0.25,"on_cores":3,"heap_share":0.5,"links":120,"novel":1}})"
                     "\n"),
            logged("rang at 2000 token 9223372036854775808 core use 0.25 on cores 3 links 120"));
}

TEST(Wire, RingWithoutGaugesOrWithSomeSkipsWhatIsAbsent) {
  EXPECT_EQ(reply_to("{\"m\":\"Ring\",\"server\":1,\"token\":0}\n"),
            logged("rang at 2000 token 0 core use -1 on cores -1 links -1"));
  EXPECT_EQ(reply_to("{\"m\":\"Ring\",\"server\":1,\"token\":3,\"metrics\":{\"links\":4}}\n"),
            logged("rang at 2000 token 3 core use -1 on cores -1 links 4"));
}

TEST(Wire, WindDownBringsItsTimeAndEachActionHasItsLine) {
  std::string act = R"(","server":1,"requestId":5)";
  std::string own = R"(","server":1)";
  EXPECT_EQ(reply_to("{\"m\":\"WindDown\",\"server\":1,\"giveUpAtNs\":9900}\n", provision(1) + call(5, 8)),
            logged("leave at 2000 by 9900") + R"({"m":"Take)" + act + "}\n" + R"({"m":"AbortWork)" + act +
                "}\n" + R"({"m":"Reject)" + act + R"(,"dontRetry":true,"pauseNs":7})" + "\n" +
                R"({"m":"Reject)" + act + "}\n" + R"({"m":"FinishError)" + act + "}\n" + R"({"m":"GoCall)" +
                act + ",\"maxWaitNs\":8}\n" + R"({"m":"Bypass)" + act + "}\n" + R"({"m":"StoreKey)" + act +
                ",\"forTimeNs\":9}\n" + R"({"m":"Unpin)" + act + "}\n" + R"({"m":"Attach)" + act + "}\n" +
                R"({"m":"ReportHealth)" + own + ",\"stored\":true,\"want\":true}\n" +
                R"({"m":"ReportHealth)" + own + ",\"stored\":true,\"want\":false}\n" + R"({"m":"Advertise)" +
                own + ",\"level\":0.500000}\n" + R"({"m":"IdleLimit)" + own + ",\"forTimeNs\":10}\n" +
                R"({"m":"SetTimer)" + own + ",\"sleepForNs\":11,\"token\":12}\n" +
                logged(R"(a \"quoted\" \\ line )"));
}

TEST(Wire, StopEndsALifeAndProvisionMayBeginAnotherInTheSameBatch) {
  std::string stop = "{\"m\":\"Stop\",\"server\":1}\n";
  EXPECT_EQ(reply_to(stop), "");
  EXPECT_EQ(complaint(batch(1, provision(1)) + batch(2, stop) + batch(3, call(5, 8))),
            "line 8: field 'server' names 1, which was never started");
  std::string reply = reply_to(stop + provision(1) + call(5, 8), provision(1) + call(5, 7));
  EXPECT_NE(reply.find("start at 2000"), std::string::npos) << reply;
  EXPECT_NE(reply.find("kb 8"), std::string::npos) << reply;
}

TEST(Wire, EventsOfALifeThatStopsInTheirBatchAreVoid) {
  EXPECT_EQ(reply_to(call(5, 8) + "{\"m\":\"Stop\",\"server\":1}\n"), "");
  std::string reply = reply_to(call(5, 8) + provision(1));
  EXPECT_EQ(reply.find("kb 8"), std::string::npos) << reply;
}

TEST(Wire, TwoInstancesOfOneBatchShareNothing) {
  std::string reply = reply_to(call(5, 8, "", 1) + call(5, 9, "", 2) +
                                   "{\"m\":\"Dropped\",\"server\":2,\"requestId\":5}\n"
                                   "{\"m\":\"Dropped\",\"server\":1,\"requestId\":5}\n",
                               provision(1) + provision(2, kLeast));
  std::string read =
      "read at 2000 class browse tenant none key 0 writes 0 arrived 2000 due 0 work 0 kb 8 repeats 0 prior "
      "of "
      "kb 0";
  std::string other = read;
  other.replace(other.find("kb 8"), 4, "kb 9");
  EXPECT_EQ(reply, logged(read, 1) + logged(other, 2) + logged("gone at 2000 kb 9", 2) +
                       logged("gone at 2000 kb 8", 1));
}

struct WrongField {
  const char* event;
  const char* complaint;
};

TEST(Wire, WrongTypeIsToldWithLineAndField) {
  const WrongField wrong[] = {
      {R"({"m":7,"server":1})", "field 'm' is not a text"},
      {R"({"m":"Call","server":"one"})", "field 'server' is not a whole number"},
      {R"({"m":"Call","server":1,"requestId":1.5})", "field 'requestId' is not a whole number"},
      {R"({"m":"Call","server":1,"requestId":1,"profile":2})", "field 'profile' is not a text"},
      {R"({"m":"Call","server":1,"requestId":1,"profile":"odd"})",
       "field 'profile' names the unknown class 'odd'"},
      {R"({"m":"Call","server":1,"requestId":1,"profile":"pay","footprint":"big"})",
       "field 'footprint' is not a number"},
      {R"({"m":"AtCall","server":1,"requestId":[]})", "field 'requestId' is not a whole number"},
      {R"({"m":"CallDone","server":1,"requestId":1,"reason":3,"rttNs":4})", "field 'reason' is not a text"},
      {R"({"m":"CallDone","server":1,"requestId":1,"reason":"Odd","rttNs":4})",
       "field 'reason' has the unknown value 'Odd'"},
      {R"({"m":"Settled","server":1,"requestId":1,"reason":"Ok","rttNs":true})",
       "field 'rttNs' is not a whole number"},
      {R"({"m":"Dropped","server":1,"requestId":{}})", "field 'requestId' is not a whole number"},
      {R"({"m":"WindDown","server":1,"giveUpAtNs":"soon"})", "field 'giveUpAtNs' is not a whole number"},
      {R"({"m":"Ring","server":1,"token":"t"})", "field 'token' is not a whole number"},
      {R"({"m":"Ring","server":1,"token":1,"metrics":[1]})", "field 'metrics' is missing or not an object"},
      {R"({"m":"Ring","server":1,"token":1,"metrics":{"core_use":"0.5"}})",
       "field 'core_use' is not a number"},
      {R"({"m":"Ring","server":1,"token":1,"metrics":{"on_cores":{}}})", "field 'on_cores' is not a number"},
      {R"({"m":"Ring","server":1,"token":1,"metrics":{"links":true}})", "field 'links' is not a number"},
      {R"({"m":"Stop","server":{}})", "field 'server' is not a whole number"},
      {R"({"m":"Provision","server":1,"seed":"s","env":{}})", "field 'seed' is not a whole number"},
      {R"({"m":"Provision","server":1,"seed":1,"env":3})", "field 'env' is missing or not an object"},
      {R"({"m":"Provision","server":1,"seed":1,"env":{"classes":[3]}})",
       "field 'classes' has an entry that is not an object"}};
  for (const WrongField& each : wrong) {
    EXPECT_EQ(complaint_of(std::string(each.event) + "\n"), std::string("line 5: ") + each.complaint);
  }
}

TEST(Wire, WrongTypeOfAnOptionalFieldOfACallIsToldToo) {
  const std::pair<const char*, const char*> wrong[] = {
      {R"("tenant":5)", "field 'tenant' is neither a text nor 0"},
      {R"("targetKey":"k")", "field 'targetKey' is not a whole number"},
      {R"("giveUpAtNs":"x")", "field 'giveUpAtNs' is not a whole number"},
      {R"("workNs":[])", "field 'workNs' is not a whole number"},
      {R"("update":1)", "field 'update' is not true or false"},
      {R"("ageNs":{})", "field 'ageNs' is not a whole number"},
      {R"("prior":"p")", "field 'prior' is not a whole number"}};
  for (const auto& [field, words] : wrong) {
    EXPECT_EQ(complaint_of(call(5, 8, std::string(",") + field)), std::string("line 5: ") + words);
  }
}

TEST(Wire, UnknownEventAndEventsOutOfPlaceAreToldWithTheirLine) {
  EXPECT_EQ(complaint_of("{\"m\":\"Sneeze\",\"server\":1}\n"),
            "line 5: field 'm' names the unknown event 'Sneeze'");
  EXPECT_EQ(complaint_of("{\"m\":\"Two\\nlines\",\"server\":1}\n"),
            "line 5: field 'm' names the unknown event 'Two lines'");
  EXPECT_EQ(complaint(call(5, 8)), "line 1: field 'm' names 'Call' in the wrong place");
  EXPECT_EQ(complaint_of("{\"m\":\"Turn\",\"momentNs\":1,\"seq\":2}\n"),
            "line 5: field 'm' names 'Turn' in the wrong place");
  EXPECT_EQ(complaint_of(call(5, 8) + call(5, 8)), "line 6: field 'requestId' repeats the id of another request");
}

TEST(Wire, CutLineAndInputThatEndsInsideABatchAreTold) {
  std::string whole = batch(1, provision(1)) + batch(2, call(5, 8));
  EXPECT_EQ(complaint(whole.substr(0, whole.find("footprint"))).rfind("line 5: not JSON: ", 0), 0U);
  EXPECT_EQ(complaint(whole.substr(0, whole.rfind("{"))), "line 5: the input ends inside a batch");
  EXPECT_EQ(complaint(whole + "[1]\n"), "line 7: not an object");
  EXPECT_EQ(complaint(whole.substr(0, whole.size() - 1)), "") << "only the last line's end is missing";
}

TEST(Wire, BatchesBeforeTheFaultAreAnswered) {
  std::istringstream in(batch(1, "") + "{");
  std::ostringstream out;
  EXPECT_THROW(Wire(in, out).serve(), WireError);
  EXPECT_EQ(out.str(), end_of_reply(1));
}

// The program in a process of its own, fed from a file.
struct WireProgram : testing::Test {
  WireProgram() {
    char path[] = "/tmp/myrtlecroft-wire-XXXXXX";
    folder = mkdtemp(path);
  }
  ~WireProgram() override { std::filesystem::remove_all(folder); }
  void run(const std::string& input) {
    std::ofstream(folder / "in") << input;
    std::string at = folder.string();
    int status =
        std::system((MYRTLECROFT_WIREHOST " <" + at + "/in >" + at + "/out 2>" + at + "/err").c_str());
    exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    out = text_of("out");
    complaint = text_of("err");
  }
  std::string text_of(const char* name) const {
    std::ostringstream all;
    all << std::ifstream(folder / name).rdbuf();
    return all.str();
  }

  std::filesystem::path folder;
  int exit_code = -1;
  std::string out;
  std::string complaint;
};

TEST_F(WireProgram, ServesADayWithGaugesAndExitsWithZero) {
  run(batch(1, provision(1)) + batch(2, call(5, 8)) +
      batch(3, R"({"m":"Ring","server":1,"token":0,"metrics":{"core_use":0.5,"on_cores":1,"links":2}})"
               "\n") +
      batch(4, R"({"m":"Settled","server":1,"requestId":5,"reason":"Ok","rttNs":2})"
               "\n"));
  EXPECT_EQ(exit_code, 0);
  EXPECT_EQ(complaint, "");
  EXPECT_NE(out.find(R"({"m":"SetTimer","server":1)"), std::string::npos) << out;
  EXPECT_TRUE(out.ends_with(end_of_reply(4))) << out;
}

TEST_F(WireProgram, FaultGivesOneLineOnStandardErrorAndExitCodeOne) {
  const std::pair<std::string, std::string> faults[] = {
      {batch(1, provision(1)) + batch(2, call(5, 8, R"(,"workNs":"w")")),
       "line 5: field 'workNs' is not a whole number"},
      {batch(1, "{\"m\":\"Sneeze\"}\n"), "line 2: field 'm' names the unknown event 'Sneeze'"},
      {"{\"m\":\"Turn\",\"momentNs\":1,\"seq\":1}\n", "line 1: the input ends inside a batch"},
      {"{\"m\":\"Tu", "line 1: not JSON: "}};
  for (const auto& [input, words] : faults) {
    run(input);
    EXPECT_EQ(exit_code, 1);
    EXPECT_EQ(complaint.rfind("myrtlecroft_wirehost: " + words, 0), 0U) << complaint;
    EXPECT_EQ(complaint.find('\n'), complaint.size() - 1) << complaint;
  }
}

}  // namespace
}  // namespace wirehost
}  // namespace myrtlecroft
