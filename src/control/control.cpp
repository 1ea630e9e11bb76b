#include "control/control.h"

#include <malloc.h>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "fleet/fleet_file.h"
#include "settings/document.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kBeat = 100 * kMs;
constexpr Nanos kKeepEvery = 1000 * kMs;     // at most so often, but for what is about to be served
constexpr Nanos kTrimEvery = 5000 * kMs;     // memory of a crowd that came at once is given back
constexpr std::size_t kSpareReporters = 32;  // beyond two connections for each server of the file
constexpr std::size_t kMaxAdmins = 16;
constexpr std::size_t kLongestQuestion = 8192;  // a plan is told with its command
constexpr int kLargestRequest = 1 << 20;        // bytes, of a proxy
constexpr int kMaxStreams = 64;                 // of one connection
constexpr int kMaxThreads = 16;
constexpr int kKeepaliveMs = 10'000;  // a proxy that is gone without a word is noticed
constexpr int kKeepaliveWaitMs = 5'000;
constexpr int kMinPingMs = 5'000;  // between pings of a proxy
constexpr int kReadChunk = 4096;   // bytes
constexpr std::size_t kGrpcMemory = std::size_t{512} << 20;

const char* why(routing::ServerRegistry::Verdict verdict) {
  using Verdict = routing::ServerRegistry::Verdict;
  switch (verdict) {
    case Verdict::kAccepted:
      return "";
    case Verdict::kUnknownNode:
      return "the fleet file names no such node";
    case Verdict::kOtherAddress:
      return "it listens at another address than the fleet file says";
    case Verdict::kFuture:
      return "its clock is ahead of ours";
    case Verdict::kStale:
      return "older than what came before";
  }
  return "";
}

// Of a file's bytes, so that instances see whether they have the same.
std::uint64_t hash_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(in)), {});
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

Control::Control(net::Loop& loop, service::Logger& log, ControlOptions options)
    : loop_(loop),
      log_(log),
      options_(std::move(options)),
      discovery_([this](const std::string& line) { log_.frequent(line); }),
      state_(options_.state_folder.empty()
                 ? nullptr
                 : std::make_unique<StateStore>(options_.state_folder, loop,
                                                [this](bool durable) { kept(durable); })),
      alone_(options_.agreement.id != 0
                 ? nullptr
                 : std::make_unique<routing::Router>(fleet::read_fleet(options_.fleet_path), remembered(),
                                                     options_.first_start, loop.now(),
                                                     [this](const std::string& line) { log_.line(line); })),
      agreed_(options_.agreement.id == 0
                  ? nullptr
                  : std::make_unique<ReplicatedControl>(
                        loop, log, options_.agreement,
                        ReplicatedControl::Start{.fleet = fleet::read_fleet(options_.fleet_path),
                                                 .first_start = options_.first_start,
                                                 .settings_hash = hash_of(options_.fleet_path)},
                        [this] { serve_agreed(); })),
      operators_(agreed_ ? std::make_unique<AdminCommands>(loop, *agreed_) : nullptr),
      router_(alone_ ? *alone_ : agreed_->replica().router()),
      reports_(loop, log, options_.addresses.reports, "reporter",
               2 * router_.fleet().nodes.size() + kSpareReporters,
               {.received = [this](FrameServer::Id id, net::Connection& connection,
                                   std::string_view bytes) { return reports_came(id, connection, bytes); },
                .closed = [this](FrameServer::Id id) { reporter_gone(id); }}),
      admin_(loop, log, options_.addresses.admin, "admin", kMaxAdmins,
             {.received = [this](FrameServer::Id id, net::Connection& connection,
                                 std::string_view bytes) { return asked(id, connection, bytes); },
              .closed =
                  [this](FrameServer::Id id) {
                    if (operators_) operators_->gone(id);
                  }}),
      answers_(loop, router_, discovery_, agreed_.get(), operators_.get()),
      again_(loop.base(), [this] { step(); }) {
  discovery_.remember(proxies_before_);
  step();
  serve();
}

Control::~Control() {
  if (server_) server_->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
}

std::optional<routing::PersistedState> Control::remembered() {
  if (!state_ || state_->found().empty()) return std::nullopt;
  std::optional<routing_state::SavedState> state = routing_state::parse_saved_state(state_->found());
  if (!state) {
    log_.line(options_.state_folder +
              ": a state that makes no sense to this version; nothing is known of who ran what");
    return std::nullopt;
  }
  proxies_before_ = std::move(state->proxies);
  log_.line("last good state: " + std::to_string(state->routing.snapshot.nodes.size()) + " nodes, " +
            std::to_string(proxies_before_.size()) + " proxies");
  return std::move(state->routing);
}

void Control::serve() {
  grpc::ServerBuilder builder;
  builder.AddListeningPort(options_.addresses.discovery, grpc::InsecureServerCredentials(), &discovery_port_);
  builder.RegisterService(&discovery_.service());
  builder.RegisterService(&loads_);
  builder.SetMaxReceiveMessageSize(kLargestRequest);
  builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, kMaxStreams);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveWaitMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kMinPingMs);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  // Proxies say little: what is read from each needs no large buffer, and no measuring of the line.
  builder.AddChannelArgument(GRPC_ARG_TCP_READ_CHUNK_SIZE, kReadChunk);
  builder.AddChannelArgument(GRPC_ARG_TCP_MAX_READ_CHUNK_SIZE, kReadChunk);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  grpc::ResourceQuota quota;
  quota.Resize(kGrpcMemory);
  quota.SetMaxThreads(kMaxThreads);
  builder.SetResourceQuota(quota);
  server_ = builder.BuildAndStart();
  if (!server_ || discovery_port_ == 0) {
    throw std::runtime_error("can't listen for proxies on " + options_.addresses.discovery);
  }
}

void Control::reload() {
  try {
    fleet::Fleet next = fleet::read_fleet(options_.fleet_path);
    std::size_t nodes = next.nodes.size();
    if (agreed_) {
      agreed_->replica().fleet_changed(std::move(next), hash_of(options_.fleet_path));
    } else {
      router_.fleet_changed(std::move(next), loop_.now());
    }
    log_.line("reload: the fleet file is in force, " + std::to_string(nodes) + " nodes");
  } catch (const std::exception& error) {
    log_.line(std::string("reload failed, the fleet file before it stays in force: ") + error.what());
  }
}

// ---- From servers

std::size_t Control::reports_came(FrameServer::Id id, net::Connection& connection, std::string_view bytes) {
  report::Malformed malformed{};
  std::size_t taken = report::decode(
      bytes, [&](const report::LoadReport& report) { take(id, connection, report); }, malformed);
  if (malformed != report::Malformed::kNo) {
    log_.frequent("reporter " + std::to_string(id) + " makes no sense: " + report::name_of(malformed));
    connection.end(net::Reason::kMalformed);
  }
  return taken;
}

// What is refused is told once for each server and reason.
void Control::take(FrameServer::Id id, net::Connection& connection, const report::LoadReport& report) {
  auto verdict = router_.handle_report(report, loop_.now(), net::Loop::unix_now());
  std::string reason = why(verdict);
  if (verdict == routing::ServerRegistry::Verdict::kAccepted) {
    told_.erase(report.node);
    if (reporters_.names(id, report.node)) router_.handle_report_connection(report.node, true, loop_.now());
    // A change of what a server says of itself is not left to wait for the beat.
    std::string word = std::string(name_of(report.mode)) + (report.draining ? " leaving" : "");
    if (std::exchange(words_[report.node], word) != word) {
      if (agreed_) agreed_->replica().decide_soon();
      again_.set(0);
    }
    if (agreed_ && report.obeys) order(connection, report);
    return;
  }
  if (words_.size() > 2 * router_.fleet().nodes.size() + kSpareReporters) words_.clear();
  if (told_.size() > 2 * router_.fleet().nodes.size() + kSpareReporters) told_.clear();
  if (told_[report.node] != reason) {
    log_.line("reports of " + report.node.substr(0, 64) + " are refused: " + reason);
    told_[report.node] = reason;
  }
  if (verdict == routing::ServerRegistry::Verdict::kUnknownNode) connection.end(net::Reason::kMalformed);
}

void Control::reporter_gone(FrameServer::Id id) {
  if (std::optional<std::string> node = reporters_.ended(id))
    router_.handle_report_connection(*node, false, loop_.now());
}

// ---- From proxies

void Control::hear_proxies() {
  for (const LoadService::Told& told : loads_.take()) {
    std::string node = told.node;
    const routing::ServerStatus* listens =
        node.empty() ? router_.registry().server_at(told.address) : nullptr;
    if (listens) node = listens->node.name;
    router_.handle_proxy_counts({node, told.issued, told.succeeded, told.failed}, loop_.now());
  }
  if (!agreed_) {
    applied_ = discovery_.applied_by_all(router_.fleet().bounds.forget_proxies);
    router_.all_proxies_applied(applied_);
    return;
  }
  // All are looked at only where one of them has said something; before they are, so that nothing is missed.
  std::uint64_t changes = discovery_.changes();
  if (std::exchange(heard_changes_, changes) == changes) {
    agreed_->replica().local_proxies_unchanged();
  } else {
    agreed_->replica().set_local_proxies(proxy_words());
  }
  applied_ = agreed_->replica().applied_by_all();
}

google::protobuf::RepeatedPtrField<consensus::ProxyStatus> Control::proxy_words() {
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> words;
  for (const xds::ProxyView& proxy : discovery_.view()) {
    if (proxy.id.empty()) continue;
    words.Add()->set_id(proxy.id);
    words.rbegin()->set_applied(proxy.applied);
    words.rbegin()->set_here(true);
  }
  return words;
}

// ---- Where several decide as one

// To a server that acts on an older order, or on none.
void Control::order(net::Connection& connection, const report::LoadReport& report) {
  fencing::ShardAssignment order = agreed_->replica().assignment_for(report.node);
  if (order.epoch.number == 0 || order.incarnation != report.incarnation || report.epoch >= order.epoch)
    return;
  // Nobody goes out on the word of an instance that does not know whether it still holds.
  if (order.restart_as && !agreed_->replica().has_quorum()) return;
  order.answers = report.sequence;
  connection.write(report::encode(order));
}

void Control::serve_agreed() {
  agreement::ControlReplica& instance = agreed_->replica();
  operators_->tick();
  auto published = instance.published();
  if (published && (!served_ || served_->number != published->number)) publish(*published);
  Nanos fresh = instance.lease_remaining();
  // Made only when it is needed: until then a stream that is new gets nothing.
  if (fresh == 0 && published && (!closed_ || closed_->number != published->number)) {
    routing::PublishedSnapshot closed = *published;
    closed.snapshot.shards.assign(closed.snapshot.shards.size(), routing::kClosed);
    closed_ = xds::make_resources(closed, nullptr);
  }
  gate(fresh > 0 ? loop_.now() + fresh : 0);
}

// Who may be served is told again only where it was agreed on anew.
void Control::gate(Nanos fresh_until) {
  const agreement::ReplicatedState& agreed = agreed_->replica().agreed();
  if (std::exchange(gated_at_, agreed.proxies_epoch()) == agreed.proxies_epoch()) {
    discovery_.gate_stays(fresh_until, closed_);
    return;
  }
  xds::SessionTable::Gate gate{.served = {}, .fresh_until = fresh_until, .closed = closed_};
  for (const auto& [id, gone] : agreed.proxies()) {
    if (gone == agreement::kConnected) gate.served.insert(gate.served.end(), id);
  }
  discovery_.gate(std::move(gate));
}

void Control::publish(const routing::PublishedSnapshot& published) {
  const Nanos begun = loop_.now();
  auto set = xds::make_resources(published, served_.get());
  if (std::string fault = xds::fault_of(*set, served_.get()); !fault.empty()) {
    log_.line("a set is not fit to be served, the last one stays: " + fault);
    return;
  }
  served_ = std::move(set);
  discovery_.publish(served_);
  pacer_.published(loop_.now() - begun, loop_.now());
}

void Control::transfer_leadership(std::function<void()> then) {
  if (agreed_) return agreed_->transfer_leadership(std::move(then));
  then();
}

// ---- The beat

void Control::step() {
  again_.set(kBeat);
  hear_proxies();
  if (agreed_) return serve_agreed();
  if (!pacer_.may_publish(loop_.now())) {
    router_.observe(loop_.now());
  } else if (auto next = router_.step(loop_.now())) {
    waiting_ = std::move(next);
  }
  if (!waiting_ && loop_.now() - trimmed_at_ > kTrimEvery) {
    trimmed_at_ = loop_.now();
    malloc_trim(0);
  }
  keep();
}

// Nothing is served that would be forgotten over a crash: a key's new owner must still be known then.
void Control::keep() {
  if (!state_ && waiting_) publish(*std::exchange(waiting_, nullptr));
  if (!state_ || state_->busy()) return;
  bool soon = waiting_ && !disk_fails_;
  if (!soon && loop_.now() - tried_at_ < kKeepEvery) return;
  tried_at_ = loop_.now();
  covered_ = waiting_;
  keeping_ = routing_state::serialize({router_.persisted_state(), discovery_.known()});
  keeping_ == kept_ ? kept(true) : state_->keep(keeping_);
}

void Control::kept(bool durable) {
  if (disk_fails_ == durable) {
    log_.line(durable
                  ? "state is kept on disk again"
                  : "state can't be kept on disk; what was served last is served on until the disk is well");
  }
  disk_fails_ = !durable;
  if (!durable) return;
  kept_ = std::move(keeping_);
  if (!covered_) return;
  publish(*covered_);
  if (waiting_ == covered_) waiting_.reset();
  covered_.reset();
  if (waiting_) keep();
}

// ---- From operators

std::size_t Control::asked(FrameServer::Id id, net::Connection& connection, std::string_view bytes) {
  std::size_t end = bytes.find('\n');
  if (end == std::string_view::npos) {
    if (bytes.size() > kLongestQuestion) connection.end(net::Reason::kMalformed);
    return 0;
  }
  std::string question(bytes.substr(0, end));
  if (operators_ && AdminCommands::is_command(question)) {
    operators_->ask(id, connection, question, answers_.any(facts()));
  } else {
    write_answer(connection, answers_.to(question, facts()));
  }
  return bytes.size();
}

AnswerFacts Control::facts() const {
  return {.published = served_ ? served_->number : 0, .applied_by_all = applied_, .disk_fails = disk_fails_};
}

}  // namespace myrtlecroft::control
