// The control service: hears servers and proxies, lets the router decide, keeps what must last, serves the
// rest.
//
// One loop thread decides and hears the servers; gRPC's own threads speak with proxies. They meet in
// DiscoveryService and LoadService, which lock.
#pragma once

#include <grpcpp/grpcpp.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/admin_commands.h"
#include "control/admin_queries.h"
#include "control/discovery_service.h"
#include "control/frame_server.h"
#include "control/publication_pacer.h"
#include "control/replicated_control.h"
#include "control/reporter_links.h"
#include "control/state_store.h"
#include "net/log.h"
#include "routing/router.h"
#include "routing_state/saved_state.h"

namespace myrtlecroft::control {

struct ListenAddresses {
  std::string discovery;  // "127.0.0.1:18000", for proxies
  sockaddr_in reports{};  // for servers
  sockaddr_in admin{};
};

struct ControlOptions {
  std::string fleet_path;
  std::string state_folder;  // empty: nothing is kept
  bool first_start = false;
  ListenAddresses addresses;
  AgreementOptions agreement;
};

class Control {
 public:
  // Throws settings::DocumentError for the fleet file and std::runtime_error for all else.
  Control(net::Loop& loop, service::Logger& log, ControlOptions options);
  ~Control();

  // Reads the fleet file again. One that makes no sense changes nothing.
  void reload();

  std::uint16_t discovery_port() const { return static_cast<std::uint16_t>(discovery_port_); }
  std::uint16_t reports_port() const { return reports_.port(); }
  std::uint16_t admin_port() const { return admin_.port(); }
  const routing::Router& router() const { return router_; }
  // Before a stop: leadership goes to another instance, where there is one.
  void transfer_leadership(std::function<void()> then);

 private:
  std::optional<routing::PersistedState> remembered();
  std::size_t reports_came(FrameServer::Id id, net::Connection& connection, std::string_view bytes);
  void take(FrameServer::Id id, net::Connection& connection, const report::LoadReport& report);
  void reporter_gone(FrameServer::Id id);
  std::size_t asked(FrameServer::Id id, net::Connection& connection, std::string_view bytes);
  AnswerFacts facts() const;
  void hear_proxies();
  google::protobuf::RepeatedPtrField<consensus::ProxyStatus> proxy_words();
  void step();
  void keep();
  void kept(bool durable);
  void serve();
  void publish(const routing::PublishedSnapshot& published);
  void serve_agreed();
  void order(net::Connection& connection, const report::LoadReport& report);
  void gate(Nanos fresh_until);

  net::Loop& loop_;
  service::Logger& log_;
  ControlOptions options_;
  DiscoveryService discovery_;
  LoadService loads_;
  std::unique_ptr<StateStore> state_;
  std::vector<std::string> proxies_before_;  // as the last good state had them
  // One of these two: alone, or one instance of several.
  std::unique_ptr<routing::Router> alone_;
  std::unique_ptr<ReplicatedControl> agreed_;
  std::unique_ptr<AdminCommands> operators_;  // with it
  routing::Router& router_;
  FrameServer reports_;
  FrameServer admin_;
  AdminQueries answers_;
  int discovery_port_ = 0;
  std::unique_ptr<grpc::Server> server_;
  net::Timer again_;
  ReporterLinks reporters_;
  std::map<std::string, std::string> words_;  // server -> mode as it said last
  std::map<std::string, std::string> told_;   // server -> why its reports are refused, as logged last
  std::shared_ptr<const routing::PublishedSnapshot> waiting_;  // decided, not yet kept on disk
  std::shared_ptr<const xds::ResourceSet> served_;
  std::shared_ptr<const xds::ResourceSet> closed_;     // the same without an open shard
  std::string kept_;                                   // as it is on disk
  std::string keeping_;                                // on its way there
  std::shared_ptr<const routing::PublishedSnapshot> covered_;  // is known again from what is on its way
  bool disk_fails_ = false;
  Nanos tried_at_ = 0;
  PublicationPacer pacer_;
  Nanos trimmed_at_ = 0;
  std::uint64_t applied_ = 0;
  std::optional<std::uint64_t> heard_changes_;  // of the proxies, when they were last looked at
  std::optional<agreement::Epoch> gated_at_;    // when who may be served was last told
};

}  // namespace myrtlecroft::control
