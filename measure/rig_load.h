// The rig's clients: send keyed requests and reads at fixed rates, retry them, and check that no key runs
// twice within its window. Owned by Rig; used on the loop's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "../standin/engine.h"
#include "../standin/proxy.h"
#include "rig_context.h"
#include "rig_proxies.h"

namespace myrtlecroft::rehearsal {

class RigLoad {
 public:
  // `on_connection_lost`: called with the address of a server that received a request and did not answer it.
  // The references must outlive this object.
  RigLoad(RigContext& context, RigProxies& proxies,
          std::function<void(const std::string&)> handle_connection_lost)
      : context_(context), proxies_(proxies), on_connection_lost_(std::move(handle_connection_lost)) {}

  // Sends one probe request at a time and returns true once enough were completed. Poll before the incident.
  bool is_ready();
  // Starts the load; the first requests are due now.
  void begin();
  // Sends the requests that are due.
  void offer_due();
  // Handles the start of a run at an engine.
  void run_started(const standin::ObservedRun& run);

 private:
  static constexpr int kKeyed = -1;
  struct Client {
    std::string key;
    Nanos offered_at = 0;
    int read_class = kKeyed;  // index of kReadClasses
    int attempts = 0;
    bool completed = false;
  };

  std::string make_key();
  void offer(int read_class);
  void attempt(const std::shared_ptr<Client>& client);
  void ended(const std::shared_ptr<Client>& client, const standin::RequestResult& result);
  void send(const std::string& key, int read_class, std::function<void(const standin::RequestResult&)> ended);

  RigContext& context_;
  RigProxies& proxies_;
  std::function<void(const std::string&)> on_connection_lost_;
  std::map<std::string, std::pair<std::string, Nanos>> first_runs_;  // by key: server and time
  Nanos next_keyed_ = 0;
  Nanos next_read_ = 0;
  int probes_completed_ = 0;
  bool probing_ = false;
};

}  // namespace myrtlecroft::rehearsal
