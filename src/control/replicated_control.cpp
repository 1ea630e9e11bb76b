#include "control/replicated_control.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <random>

#include "settings/document.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kTickInterval = 25 * kMs;

// Parses "1=127.0.0.1:7401". Returns nothing if the text is invalid.
std::optional<consensus::Server> parse_instance(const std::string& text) {
  std::size_t equals = text.find('=');
  if (equals == std::string::npos) return std::nullopt;
  std::uint64_t id = 0;
  const char* id_end = text.data() + equals;
  if (std::from_chars(text.data(), id_end, id).ptr != id_end || id == 0) return std::nullopt;
  std::string address = text.substr(equals + 1);
  if (!settings::parse_address(address)) return std::nullopt;
  consensus::Server server;
  server.set_id(id);
  server.set_address(address);
  server.set_role(RAFT_VOTER);
  return server;
}

agreement::ReplicaOptions replica_options(const AgreementOptions& options,
                                          const ReplicatedControl::InitialFleet& initial_fleet) {
  agreement::ReplicaOptions out;
  out.id = options.id;
  out.address = options.address;
  out.raft.fleet = initial_fleet.fleet.listener;
  out.raft.snapshot_threshold = options.snapshot_threshold;
  out.raft.snapshot_trailing = std::min(out.raft.snapshot_trailing, options.snapshot_threshold / 4);
  out.format = options.max_entry_format;
  out.fleet_file_hash = initial_fleet.fleet_file_hash;
  return out;
}

}  // namespace

std::vector<consensus::Server> parse_instances(const std::string& list) {
  std::vector<consensus::Server> out;
  for (std::size_t begin = 0; begin < list.size();) {
    std::size_t end = std::min(list.find(',', begin), list.size());
    std::string entry = list.substr(begin, end - begin);
    std::optional<consensus::Server> server = parse_instance(entry);
    if (!server) throw InstanceListError(entry);
    out.push_back(*std::move(server));
    begin = end + 1;
  }
  return out;
}

ReplicatedControl::ReplicatedControl(net::Loop& loop, service::Logger& log, const AgreementOptions& options,
                                     InitialFleet initial_fleet, StateChanged state_changed)
    : log_(log),
      state_changed_(std::move(state_changed)),
      disk_wakeup_(loop.base(), [this] { storage_->run_completions(); }),
      storage_(std::make_unique<consensus::StoreRaftStorage>(
          options.folder, [&loop] { return loop.now(); }, [this] { disk_wakeup_.notify(); })),
      rollout_([&log](const std::string& line) { log.line(line); }),
      tick_timer_(loop.base(), [this] { tick(); }) {
  open_log(options);
  open_links(loop, options);
  replica_ = std::make_unique<agreement::ControlReplica>(
      replica_options(options, initial_fleet), *storage_, *links_, std::move(initial_fleet.fleet),
      initial_fleet.first_start, [&loop] { return loop.now(); }, std::random_device()(),
      [&log](const std::string& line) { log.line(line); });
  replica_->set_decision_contributor(&rollout_);
  replica_->start();
  tick_timer_.set(kTickInterval);
}

ReplicatedControl::~ReplicatedControl() {
  links_.reset();
  replica_.reset();
}

void ReplicatedControl::open_log(const AgreementOptions& options) {
  using Kind = LogFolderError::Kind;
  if (storage_->owner() != 0 && storage_->owner() != options.id) {
    throw LogFolderError(
        Kind::kOwnedByAnotherInstance,
        options.folder + " is the log of instance " + std::to_string(storage_->owner()) +
            "; instances must not share a log: a replaced instance gets a new id and an empty folder");
  }
  bool empty = storage_->load().term == 0;
  if (empty && options.bootstrap.empty() && !options.join) {
    throw LogFolderError(Kind::kEmpty, options.folder +
                                           " holds no log: --begin for a new fleet, --join for a new "
                                           "instance of one");
  }
  if (!empty && !options.bootstrap.empty()) {
    throw LogFolderError(Kind::kNotEmpty,
                         options.folder + " already holds a log: --begin is for the first start only");
  }
  if (!empty) return;
  storage_->set_owner(options.id);
  if (!options.bootstrap.empty()) consensus::RaftNode::bootstrap(*storage_, options.bootstrap);
}

void ReplicatedControl::open_links(net::Loop& loop, const AgreementOptions& options) {
  std::map<consensus::ReplicaId, std::string> address_overrides;
  for (const consensus::Server& other : options.address_overrides)
    address_overrides[other.id()] = other.address();
  links_ = std::make_unique<PeerLinks>(loop, options.address, std::move(address_overrides),
                                       [this](const consensus::PeerMessage& message) {
                                         if (replica_ && replica_->received(message)) state_changed_();
                                       });
}

void ReplicatedControl::tick() {
  tick_timer_.set(kTickInterval);
  storage_->run_completions();
  if (replica_->tick()) state_changed_();
}

void ReplicatedControl::transfer_leadership(std::function<void()> done) {
  consensus::RaftNode& raft = replica_->raft_node();
  if (!raft.is_leader() || raft.voter_count() < 2) {
    done();
    return;
  }
  log_.line("transferring leadership before shutdown");
  raft.transfer_leadership([done = std::move(done)](bool) { done(); });
}

}  // namespace myrtlecroft::control
