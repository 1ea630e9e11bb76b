// Tests of the simulator's adapter, comparing its input and output texts. A Controller defined in this file
// replaces the real one: it logs each input with all its values and, when a drain begins, performs every
// action once. The last tests run the program itself with the real Controller.
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

// Logs each input instead of making decisions.
class Controller::Core {
 public:
  Core(const ServiceConfig& config, ControllerActions& actions, std::uint64_t seed)
      : config(config), actions(actions), seed(seed) {}

  template <class... Values>
  void log_input(const Values&... values) {
    std::ostringstream line;
    ((line << values), ...);
    actions.log(line.str());
  }

  const ServiceConfig& config;
  ControllerActions& actions;
  std::uint64_t seed;
  Request* last_request = nullptr;
};

Controller::Controller(const ServiceConfig& config, ControllerActions& actions, std::uint64_t seed)
    : core_(std::make_unique<Core>(config, actions, seed)) {}
Controller::~Controller() = default;

void Controller::start(Nanos now) {
  const ServiceConfig& config = core_->config;
  core_->log_input("start at ", now, " seed ", core_->seed);
  for (const RequestClass& request_class : config.request_classes) {
    core_->log_input("class ", request_class.name, " effect ", static_cast<int>(request_class.idempotency),
                     " gain ", request_class.priority_weight, " late ", request_class.late_weight_share,
                     " skip ", request_class.degraded_weight_share, " calls ", request_class.makes_calls,
                     " goal ", request_class.latency_objective, " limit ", request_class.client_timeout,
                     " window ", request_class.deduplication_window);
  }
  for (const Tenant& tenant : config.tenants) {
    core_->log_input("tenant ", tenant.name, " quota ", tenant.quota_per_s);
  }
  core_->log_input("servers ", config.servers, " callers ", config.callers, " cores ", config.cores,
                   " memory ", config.memory_kb, " blowup ", config.running_memory_factor, " key ",
                   config.key_kb);
  core_->log_input("over share ", config.over_quota_weight, " by work ", config.weight_is_per_core_second,
                   " cold ", config.warming_up, " from ", config.warm_up_initial_speed, " warm in ",
                   config.warm_up_time);
  core_->log_input("crowd ", config.max_running_per_core, " over ", config.contention_window, " below ",
                   config.has_dependency, " share ", config.dependency_share, " over ",
                   config.dependency_window, " stays ", config.abandoned_call_lifetime);
  core_->log_input("fresh ", config.answer_sharing_window, " grace ", config.drain_grace, " slack ",
                   config.answer_slack, " tick ", config.tick, " idle ", config.max_idle_time, " pause ",
                   config.max_retry_after, " stop mode ", static_cast<int>(config.stop_mode), " advert ",
                   static_cast<int>(config.advertised_capacity));
}

void Controller::request_received(Request& request, Nanos now) {
  core_->last_request = &request;
  core_->log_input("read at ", now, " class ", request.request_class->name, " tenant ",
                   request.tenant ? request.tenant->name : "none", " key ", request.has_lookup_key,
                   " writes ", request.writes, " arrived ", request.arrived, " due ", request.client_deadline,
                   " work ", request.estimated_work, " kb ", request.queued_kb, " repeats ", request.is_retry,
                   " prior of kb ", request.original ? request.original->queued_kb : 0);
}

void Controller::call_needed(Request& request, Nanos now) {
  core_->log_input("call needed at ", now, " kb ", request.queued_kb);
}

void Controller::call_ended(Request& request, Outcome outcome, Nanos took, Nanos now) {
  core_->log_input("call ended at ", now, " kb ", request.queued_kb, " outcome ", static_cast<int>(outcome),
                   " took ", took);
}

void Controller::run_completed(Request& request, Outcome outcome, Nanos now) {
  core_->log_input("run completed at ", now, " kb ", request.queued_kb, " outcome ",
                   static_cast<int>(outcome));
  core_->actions.release(request);
}

void Controller::caller_disconnected(Request& request, Nanos now) {
  core_->log_input("caller disconnected at ", now, " kb ", request.queued_kb);
}

void Controller::timer_expired(std::uint64_t token, const Gauges& gauges, Nanos now) {
  core_->log_input("timer expired at ", now, " token ", token, " core use ",
                   gauges.core_utilization.value_or(-1), " on cores ", gauges.runnable_threads.value_or(-1),
                   " links ", gauges.connections.value_or(-1));
}

void Controller::begin_drain(Nanos stop_at, Nanos now) {
  core_->log_input("drain at ", now, " by ", stop_at);
  if (!core_->last_request) return;
  ControllerActions& actions = core_->actions;
  Request& request = *core_->last_request;
  actions.run(request);
  actions.stop_work(request);
  actions.reject(request, true, 7);
  actions.reject(request, false, 0);
  actions.fail(request);
  actions.call(request, 8);
  EXPECT_FALSE(actions.abandon_call(request));
  actions.skip_call(request);
  actions.retain_key(request, 9);
  actions.forget_key(request);
  actions.coalesce(request);
  actions.report_health(true);
  actions.report_health(false);
  actions.advertise(0.5);
  actions.close_idle(10);
  actions.schedule_timer(11, 12);
  actions.log("a \"quoted\" \\ line\n");
}

namespace wirehost {
namespace {

const std::string kClasses =
    R"("classes":[{"name":"browse","effect":"idempotent","gain":1.5,"lateWorth":0.25,"goalTimeNs":900,"hardLimitNs":2500},)"
    R"({"name":"pay","effect":"deduplicated","gain":4,"goalTimeNs":800,"hardLimitNs":2400,"dedupWindowNs":6000},)"
    R"({"name":"mail","effect":"at_most_once","gain":2,"goalTimeNs":700,"hardLimitNs":2300}])";
const std::string kRules = R"("rules":{"overloadFactor":6,"overloadForNs":1200})";
const std::string kMinimalEnv =
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

// A call with its required fields, followed by `extra_fields`.
std::string call(int id, int kb, const std::string& extra_fields = "", int server = 1) {
  return R"({"m":"Call","server":)" + std::to_string(server) + R"(,"requestId":)" + std::to_string(id) +
         R"(,"profile":"browse","footprint":)" + std::to_string(kb) + extra_fields + "}\n";
}

std::string serve_input(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  Wire(in, out).serve();
  return out.str();
}

std::string debug_line(const std::string& text, int server = 1) {
  return R"({"m":"Debug","server":)" + std::to_string(server) + R"(,"bodyText":")" + text + "\"}\n";
}

std::string end_of_reply(int number) { return R"({"m":"Eor","seq":)" + std::to_string(number) + "}\n"; }

// Returns the reply to a second batch with `events`, without its end; the first batch starts server 1 by
// default.
std::string reply_to(const std::string& events, const std::string& first = provision(1)) {
  std::string replies = serve_input(batch(1, first) + batch(2, events));
  std::string end_of_first = end_of_reply(1);
  std::string second = replies.substr(replies.find(end_of_first) + end_of_first.size());
  std::string end = end_of_reply(2);
  EXPECT_TRUE(second.ends_with(end)) << second;
  return second.substr(0, second.size() - end.size());
}

// Returns the text of the error that `input` causes; empty if there is none.
std::string error_for(const std::string& input) {
  try {
    serve_input(input);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}
// The same for one event after a start; the event is on line 5 of the input.
std::string error_for_event(const std::string& event) {
  return error_for(batch(1, provision(1)) + batch(2, event));
}

TEST(Wire, EmptyInputHasNoReplyAndAnEmptyBatchOnlyItsEnd) {
  EXPECT_EQ(serve_input(""), "");
  EXPECT_EQ(serve_input(batch(1, "") + batch(7, "")), end_of_reply(1) + end_of_reply(7));
}

TEST(Wire, ProvisionReadsSeedAndAllSettings) {
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
      serve_input(batch(1, provision(1, env))),
      debug_line("start at 1000 seed 99") +
          debug_line("class browse effect 0 gain 1.5 late 0.25 skip 0 calls 0 goal 900 limit 2500 window 0") +
          debug_line("class pay effect 1 gain 4 late 0 skip 0.5 calls 1 goal 800 limit 2400 window 6000") +
          debug_line("class mail effect 2 gain 2 late 0 skip 0.75 calls 1 goal 700 limit 2300 window 0") +
          debug_line("tenant north quota 20.5") + debug_line("tenant south quota 0") +
          debug_line("servers 4 callers 5 cores 3 memory 5000.5 blowup 8.5 key 1.25") +
          debug_line("over share 0.125 by work 1 cold 1 from 0.375 warm in 12") +
          debug_line("crowd 6.5 over 14 below 1 share 2.5 over 3000 stays 210") +
          debug_line("fresh 42 grace 13 slack 11 tick 2 idle 31000 pause 15 stop mode 2 advert 3") +
          end_of_reply(1));
}

TEST(Wire, ProvisionWithoutOptionalSettingsUsesTheirDefaults) {
  std::string reply = serve_input(batch(1, provision(1, kMinimalEnv)));
  EXPECT_EQ(reply.substr(reply.find(debug_line("servers 1 callers 1 cores 3 memory 5000 blowup 1 key 0"))),
            debug_line("servers 1 callers 1 cores 3 memory 5000 blowup 1 key 0") +
                debug_line("over share 1 by work 0 cold 0 from 1 warm in 0") +
                debug_line("crowd 6 over 1200 below 0 share 0 over 0 stays 0") +
                debug_line("fresh 0 grace 0 slack 0 tick 0 idle 0 pause 0 stop mode 0 advert 0") +
                end_of_reply(1));
}

TEST(Wire, CallReadsAllItsFields) {
  EXPECT_EQ(
      reply_to(R"({"m":"Call","server":1,"requestId":4503599627370495,"profile":"pay","tenant":"south",)"
               R"("targetKey":9007199254740991,"giveUpAtNs":2900,"workNs":33,"footprint":24.5,"prio":0.5,)"
               R"("repeat":true,"update":true,"src":17,"ageNs":150,"prior":12})"
               "\n"),
      debug_line("read at 2000 class pay tenant south key 1 writes 1 arrived 1850 due 2900 work 33 kb 24.5 "
                 "repeats 1 prior of kb 0"));
}

TEST(Wire, CallWithoutOptionalFieldsIsReadAndUnknownFieldsAreSkipped) {
  std::string bare = debug_line(
      "read at 2000 class browse tenant none key 0 writes 0 arrived 2000 due 0 work 0 kb 8 repeats 0 prior "
      "of "
      "kb 0");
  EXPECT_EQ(reply_to(call(5, 8)), bare);
  EXPECT_EQ(reply_to(call(5, 8, R"(,"tenant":0,"prior":0,"giveUpAtNs":0)")), bare);
  EXPECT_EQ(reply_to(call(5, 8, R"(,"mood":{"a":[1,"x"]},"news":null)")), bare);
}

TEST(Wire, TwoAttemptsInOneBatchMayReferToEachOther) {
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
            debug_line("call needed at 2000 kb 8") + debug_line("call ended at 2000 kb 9 outcome 3 took 77") +
                debug_line("caller disconnected at 2000 kb 8"));
}

TEST(Wire, SettledEndsTheRequestAndLaterEventsOfItAreIgnored) {
  std::string first = provision(1) + call(5, 8);
  std::string run_completed = R"({"m":"Settled","server":1,"requestId":5,"reason":"Ok","rttNs":44})"
                              "\n";
  std::string replies = serve_input(batch(1, first) + batch(2, run_completed) + batch(3, run_completed));
  EXPECT_TRUE(replies.ends_with(debug_line("run completed at 2000 kb 8 outcome 0") + end_of_reply(2) +
                                end_of_reply(3)))
      << replies;
}

TEST(Wire, EachOutcomeIsReadFromItsName) {
  const char* outcome_names[] = {"Ok",           "Failed",      "QueueFull", "TimedOut",
                                 "ConnectError", "ResetByPeer", "Canceled",  "Ignored"};
  for (int i = 0; i < 8; ++i) {
    std::string done = R"({"m":"CallDone","server":1,"requestId":5,"rttNs":1,"reason":")";
    EXPECT_EQ(reply_to(done + outcome_names[i] + "\"}\n", provision(1) + call(5, 8)),
              debug_line("call ended at 2000 kb 8 outcome " + std::to_string(i) + " took 1"));
  }
}

TEST(Wire, RingReadsItsTokenAndTheGauges) {
  EXPECT_EQ(reply_to(R"({"m":"Ring","server":1,"token":9223372036854775808,)"
                     R"("metrics":{"core_use":0.25,"on_cores":3,"heap_share":0.5,"links":120,"novel":1}})"
                     "\n"),
            debug_line("timer expired at 2000 token 9223372036854775808 core use 0.25 on cores 3 links 120"));
}

TEST(Wire, AbsentGaugesOfARingStayUnset) {
  EXPECT_EQ(reply_to("{\"m\":\"Ring\",\"server\":1,\"token\":0}\n"),
            debug_line("timer expired at 2000 token 0 core use -1 on cores -1 links -1"));
  EXPECT_EQ(reply_to("{\"m\":\"Ring\",\"server\":1,\"token\":3,\"metrics\":{\"links\":4}}\n"),
            debug_line("timer expired at 2000 token 3 core use -1 on cores -1 links 4"));
}

TEST(Wire, WindDownReadsItsTimeAndEachActionWritesItsLine) {
  std::string request_fields = R"(","server":1,"requestId":5)";
  std::string server_fields = R"(","server":1)";
  EXPECT_EQ(reply_to("{\"m\":\"WindDown\",\"server\":1,\"giveUpAtNs\":9900}\n", provision(1) + call(5, 8)),
            debug_line("drain at 2000 by 9900") + R"({"m":"Take)" + request_fields + "}\n" +
                R"({"m":"AbortWork)" + request_fields + "}\n" + R"({"m":"Reject)" + request_fields +
                R"(,"dontRetry":true,"pauseNs":7})" + "\n" + R"({"m":"Reject)" + request_fields + "}\n" +
                R"({"m":"FinishError)" + request_fields + "}\n" + R"({"m":"GoCall)" + request_fields +
                ",\"maxWaitNs\":8}\n" + R"({"m":"Bypass)" + request_fields + "}\n" + R"({"m":"StoreKey)" +
                request_fields + ",\"forTimeNs\":9}\n" + R"({"m":"Unpin)" + request_fields + "}\n" +
                R"({"m":"Attach)" + request_fields + "}\n" + R"({"m":"ReportHealth)" + server_fields +
                ",\"stored\":true,\"want\":true}\n" + R"({"m":"ReportHealth)" + server_fields +
                ",\"stored\":true,\"want\":false}\n" + R"({"m":"Advertise)" + server_fields +
                ",\"level\":0.500000}\n" + R"({"m":"IdleLimit)" + server_fields + ",\"forTimeNs\":10}\n" +
                R"({"m":"SetTimer)" + server_fields + ",\"sleepForNs\":11,\"token\":12}\n" +
                debug_line(R"(a \"quoted\" \\ line )"));
}

TEST(Wire, StopEndsAnInstanceAndProvisionMayStartAnotherInTheSameBatch) {
  std::string stop = "{\"m\":\"Stop\",\"server\":1}\n";
  EXPECT_EQ(reply_to(stop), "");
  EXPECT_EQ(error_for(batch(1, provision(1)) + batch(2, stop) + batch(3, call(5, 8))),
            "line 8: field 'server' names 1, which was never started");
  std::string reply = reply_to(stop + provision(1) + call(5, 8), provision(1) + call(5, 7));
  EXPECT_NE(reply.find("start at 2000"), std::string::npos) << reply;
  EXPECT_NE(reply.find("kb 8"), std::string::npos) << reply;
}

TEST(Wire, EventsOfAnInstanceStoppedInTheSameBatchAreDropped) {
  EXPECT_EQ(reply_to(call(5, 8) + "{\"m\":\"Stop\",\"server\":1}\n"), "");
  std::string reply = reply_to(call(5, 8) + provision(1));
  EXPECT_EQ(reply.find("kb 8"), std::string::npos) << reply;
}

TEST(Wire, TwoInstancesOfOneBatchShareNothing) {
  std::string reply = reply_to(call(5, 8, "", 1) + call(5, 9, "", 2) +
                                   "{\"m\":\"Dropped\",\"server\":2,\"requestId\":5}\n"
                                   "{\"m\":\"Dropped\",\"server\":1,\"requestId\":5}\n",
                               provision(1) + provision(2, kMinimalEnv));
  std::string read =
      "read at 2000 class browse tenant none key 0 writes 0 arrived 2000 due 0 work 0 kb 8 repeats 0 prior "
      "of "
      "kb 0";
  std::string other = read;
  other.replace(other.find("kb 8"), 4, "kb 9");
  EXPECT_EQ(reply, debug_line(read, 1) + debug_line(other, 2) +
                       debug_line("caller disconnected at 2000 kb 9", 2) +
                       debug_line("caller disconnected at 2000 kb 8", 1));
}

struct WrongField {
  const char* event;
  const char* error_text;
};

TEST(Wire, WrongTypeIsReportedWithLineAndField) {
  const WrongField wrong_fields[] = {
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
  for (const WrongField& wrong_field : wrong_fields) {
    EXPECT_EQ(error_for_event(std::string(wrong_field.event) + "\n"),
              std::string("line 5: ") + wrong_field.error_text);
  }
}

TEST(Wire, WrongTypeOfAnOptionalFieldOfACallIsReported) {
  const std::pair<const char*, const char*> wrong_fields[] = {
      {R"("tenant":5)", "field 'tenant' is neither a text nor 0"},
      {R"("targetKey":"k")", "field 'targetKey' is not a whole number"},
      {R"("giveUpAtNs":"x")", "field 'giveUpAtNs' is not a whole number"},
      {R"("workNs":[])", "field 'workNs' is not a whole number"},
      {R"("update":1)", "field 'update' is not true or false"},
      {R"("ageNs":{})", "field 'ageNs' is not a whole number"},
      {R"("prior":"p")", "field 'prior' is not a whole number"}};
  for (const auto& [field, expected_error] : wrong_fields) {
    EXPECT_EQ(error_for_event(call(5, 8, std::string(",") + field)),
              std::string("line 5: ") + expected_error);
  }
}

TEST(Wire, UnknownAndMisplacedEventsAreReportedWithTheirLine) {
  EXPECT_EQ(error_for_event("{\"m\":\"Sneeze\",\"server\":1}\n"),
            "line 5: field 'm' names the unknown event 'Sneeze'");
  EXPECT_EQ(error_for_event("{\"m\":\"Two\\nlines\",\"server\":1}\n"),
            "line 5: field 'm' names the unknown event 'Two lines'");
  EXPECT_EQ(error_for(call(5, 8)), "line 1: field 'm' names 'Call' in the wrong place");
  EXPECT_EQ(error_for_event("{\"m\":\"Turn\",\"momentNs\":1,\"seq\":2}\n"),
            "line 5: field 'm' names 'Turn' in the wrong place");
  EXPECT_EQ(error_for_event(call(5, 8) + call(5, 8)),
            "line 6: field 'requestId' repeats the id of another request");
}

TEST(Wire, TruncatedLineAndInputThatEndsInsideABatchAreReported) {
  std::string complete_input = batch(1, provision(1)) + batch(2, call(5, 8));
  EXPECT_EQ(
      error_for(complete_input.substr(0, complete_input.find("footprint"))).rfind("line 5: not JSON: ", 0),
      0U);
  EXPECT_EQ(error_for(complete_input.substr(0, complete_input.rfind("{"))),
            "line 5: the input ends inside a batch");
  EXPECT_EQ(error_for(complete_input + "[1]\n"), "line 7: not an object");
  EXPECT_EQ(error_for(complete_input.substr(0, complete_input.size() - 1)), "")
      << "only the last line's end is missing";
}

TEST(Wire, BatchesBeforeMalformedInputAreAnswered) {
  std::istringstream in(batch(1, "") + "{");
  std::ostringstream out;
  EXPECT_THROW(Wire(in, out).serve(), WireError);
  EXPECT_EQ(out.str(), end_of_reply(1));
}

// Runs the program in a separate process with a file as its input.
struct WireProgram : testing::Test {
  WireProgram() {
    char path[] = "/tmp/myrtlecroft-wire-XXXXXX";
    folder = mkdtemp(path);
  }
  ~WireProgram() override { std::filesystem::remove_all(folder); }
  void run(const std::string& input) {
    std::ofstream(folder / "in") << input;
    std::string folder_path = folder.string();
    int status = std::system(
        (MYRTLECROFT_WIREHOST " <" + folder_path + "/in >" + folder_path + "/out 2>" + folder_path + "/err")
            .c_str());
    exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    out = text_of("out");
    error_output = text_of("err");
  }
  std::string text_of(const char* name) const {
    std::ostringstream contents;
    contents << std::ifstream(folder / name).rdbuf();
    return contents.str();
  }

  std::filesystem::path folder;
  int exit_code = -1;
  std::string out;
  std::string error_output;
};

TEST_F(WireProgram, ServesBatchesWithGaugesAndExitsWithZero) {
  run(batch(1, provision(1)) + batch(2, call(5, 8)) +
      batch(3, R"({"m":"Ring","server":1,"token":0,"metrics":{"core_use":0.5,"on_cores":1,"links":2}})"
               "\n") +
      batch(4, R"({"m":"Settled","server":1,"requestId":5,"reason":"Ok","rttNs":2})"
               "\n"));
  EXPECT_EQ(exit_code, 0);
  EXPECT_EQ(error_output, "");
  EXPECT_NE(out.find(R"({"m":"SetTimer","server":1)"), std::string::npos) << out;
  EXPECT_TRUE(out.ends_with(end_of_reply(4))) << out;
}

TEST_F(WireProgram, MalformedInputGivesOneLineOnStandardErrorAndExitCodeOne) {
  const std::pair<std::string, std::string> faults[] = {
      {batch(1, provision(1)) + batch(2, call(5, 8, R"(,"workNs":"w")")),
       "line 5: field 'workNs' is not a whole number"},
      {batch(1, "{\"m\":\"Sneeze\"}\n"), "line 2: field 'm' names the unknown event 'Sneeze'"},
      {"{\"m\":\"Turn\",\"momentNs\":1,\"seq\":1}\n", "line 1: the input ends inside a batch"},
      {"{\"m\":\"Tu", "line 1: not JSON: "}};
  for (const auto& [input, expected_error] : faults) {
    run(input);
    EXPECT_EQ(exit_code, 1);
    EXPECT_EQ(error_output.rfind("myrtlecroft_wirehost: " + expected_error, 0), 0U) << error_output;
    EXPECT_EQ(error_output.find('\n'), error_output.size() - 1) << error_output;
  }
}

}  // namespace
}  // namespace wirehost
}  // namespace myrtlecroft
