#include "control/replicated_control.h"

#include <charconv>
#include <random>
#include <stdexcept>

#include "settings/document.h"

namespace myrtlecroft::control {
namespace {

constexpr Nanos kBeat = 25 * kMs;

}  // namespace

std::vector<consensus::Server> instances_of(const std::string& list) {
  std::vector<consensus::Server> out;
  for (std::size_t at = 0; at < list.size();) {
    std::size_t end = std::min(list.find(',', at), list.size());
    std::string one = list.substr(at, end - at);
    std::size_t equals = one.find('=');
    std::uint64_t id = 0;
    std::string host;
    std::uint16_t port = 0;
    const char* past = one.data() + std::min(equals, one.size());
    bool good = equals != std::string::npos && std::from_chars(one.data(), past, id).ptr == past && id > 0 &&
                settings::split_address(one.substr(equals + 1), host, port);
    if (!good) throw std::runtime_error("not an instance like 1=127.0.0.1:7401: '" + one + "'");
    out.emplace_back();
    out.back().set_id(id);
    out.back().set_address(one.substr(equals + 1));
    out.back().set_role(RAFT_VOTER);
    at = end + 1;
  }
  return out;
}

ReplicatedControl::ReplicatedControl(net::Loop& loop, service::Logger& log, const AgreementOptions& options,
                                     fleet::Fleet fleet, bool first_start, std::uint64_t settings, News news)
    : log_(log),
      news_(std::move(news)),
      disk_(loop.base(), [this] { storage_->take_done(); }),
      storage_(std::make_unique<consensus::StoreRaftStorage>(
          options.folder, [&loop] { return loop.now(); }, [this] { disk_.fire(); })),
      conductor_([&log](const std::string& line) { log.line(line); }),
      again_(loop.base(), [this] { beat(); }) {
  if (storage_->owner() != 0 && storage_->owner() != options.id) {
    throw std::runtime_error(
        options.folder + " is the log of instance " + std::to_string(storage_->owner()) +
        "; two must never use one: a replaced instance gets a new id and an empty folder");
  }
  bool empty = storage_->load().term == 0;
  if (empty && options.begin.empty() && !options.join) {
    throw std::runtime_error(options.folder +
                             " holds no log: --begin for a new fleet, --join for a new instance of one");
  }
  if (!empty && !options.begin.empty()) {
    throw std::runtime_error(options.folder + " holds a log already: --begin is for the first start only");
  }
  if (empty) {
    storage_->set_owner(options.id);
    if (!options.begin.empty()) consensus::RaftNode::bootstrap(*storage_, options.begin);
  }
  agreement::ReplicaOptions replica_options;
  replica_options.id = options.id;
  replica_options.address = options.address;
  replica_options.raft.fleet = fleet.listener;
  replica_options.raft.snapshot_after = options.snapshot_after;
  replica_options.raft.snapshot_trailing =
      std::min(replica_options.raft.snapshot_trailing, options.snapshot_after / 4);
  replica_options.format = options.format;
  replica_options.settings_hash = settings;
  std::map<consensus::InstanceId, std::string> reach;
  for (const consensus::Server& other : options.reach) reach[other.id()] = other.address();
  links_ = std::make_unique<PeerLinks>(loop, options.address, std::move(reach),
                                       [this](const consensus::PeerMessage& message) {
                                         if (instance_ && instance_->received(message)) news_();
                                       });
  instance_ = std::make_unique<agreement::ControlReplica>(
      replica_options, *storage_, *links_, std::move(fleet), first_start, [&loop] { return loop.now(); },
      std::random_device()(), [&log](const std::string& line) { log.line(line); });
  instance_->set_section(&conductor_);
  instance_->start();
  again_.set(kBeat);
}

ReplicatedControl::~ReplicatedControl() {
  links_.reset();
  instance_.reset();
}

void ReplicatedControl::beat() {
  again_.set(kBeat);
  storage_->take_done();
  if (instance_->tick()) news_();
}

void ReplicatedControl::transfer_leadership(std::function<void()> then) {
  if (!instance_->raft_node().is_leader() || instance_->raft_node().voters() < 2) return then();
  log_.line("handing on before the stop");
  instance_->raft_node().transfer_leadership([then = std::move(then)](bool) { then(); });
}

}  // namespace myrtlecroft::control
