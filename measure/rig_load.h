// The rig's clients: keyed requests and reads at fixed rates, retries, and whether a key ran twice. Owned by
// Rig; used on the loop's thread.
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
  // `connection_cut`: a server, by its address, received a request and did not answer it. All outlive this.
  RigLoad(RigContext& context, RigProxies& proxies, std::function<void(const std::string&)> connection_cut)
      : context_(context), proxies_(proxies), connection_cut_(std::move(connection_cut)) {}

  // Sends a probe at a time; true once enough of them were completed. To be polled before the incident.
  bool is_ready();
  // The first requests are due now.
  void begin();
  // Offers the requests that are due.
  void offer_due();
  // An engine began to run a request.
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
  void ended(const std::shared_ptr<Client>& client, const standin::RequestResult& ended);
  void send(const std::string& key, int read_class, std::function<void(const standin::RequestResult&)> ended);

  RigContext& context_;
  RigProxies& proxies_;
  std::function<void(const std::string&)> connection_cut_;
  std::map<std::string, std::pair<std::string, Nanos>> first_runs_;  // by key: server and time
  Nanos next_keyed_ = 0;
  Nanos next_read_ = 0;
  int probes_completed_ = 0;
  bool probing_ = false;
};

}  // namespace myrtlecroft::rehearsal
