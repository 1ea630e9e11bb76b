// Which server reports over which connection. Used by ReportReceiver on the loop's thread. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace myrtlecroft::control {

class ReporterLinks {
 public:
  using ConnectionId = std::uint64_t;

  // Records that a report of `server` was received on the connection. True where the connection had named no
  // server before, or another.
  bool assign(ConnectionId id, const std::string& server) {
    std::string& assigned = servers_[id];
    if (assigned == server) return false;
    if (!assigned.empty()) release(assigned);
    assigned = server;
    ++connections_[server];
    return true;
  }

  // The server that has no connection left after this one closed; nothing where it has another, or where the
  // connection named none.
  std::optional<std::string> closed(ConnectionId id) {
    auto found = servers_.find(id);
    if (found == servers_.end()) return std::nullopt;
    std::string server = std::move(found->second);
    servers_.erase(found);
    if (release(server) > 0) return std::nullopt;
    return server;
  }

 private:
  // Returns how many connections the server still has.
  std::size_t release(const std::string& server) {
    auto found = connections_.find(server);
    std::size_t left = --found->second;
    if (left == 0) connections_.erase(found);
    return left;
  }

  std::map<ConnectionId, std::string> servers_;
  std::unordered_map<std::string, std::size_t> connections_;  // of each server; only looked up
};

}  // namespace myrtlecroft::control
