// Tracks which server reports over which connection. Used by ReportReceiver on the loop's thread. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace myrtlecroft::control {

// A server may have several connections, for example while it reconnects.
class ReporterLinks {
 public:
  using ConnectionId = std::uint64_t;

  // Records that a report of `server` was received on the connection. Returns true if the connection had no
  // server before or another one.
  bool assign(ConnectionId id, const std::string& server) {
    std::string& assigned = server_by_connection_[id];
    if (assigned == server) return false;
    if (!assigned.empty()) release(assigned);
    assigned = server;
    ++connection_counts_[server];
    return true;
  }

  // Removes a closed connection. Returns its server if the server has no other connection, and nothing if it
  // has one or the connection never had a server.
  std::optional<std::string> remove_connection(ConnectionId id) {
    auto found = server_by_connection_.find(id);
    if (found == server_by_connection_.end()) return std::nullopt;
    std::string server = std::move(found->second);
    server_by_connection_.erase(found);
    if (release(server) > 0) return std::nullopt;
    return server;
  }

 private:
  // Decrements the server's count of connections and returns the new count.
  std::size_t release(const std::string& server) {
    auto found = connection_counts_.find(server);
    std::size_t remaining = --found->second;
    if (remaining == 0) connection_counts_.erase(found);
    return remaining;
  }

  std::map<ConnectionId, std::string> server_by_connection_;
  std::unordered_map<std::string, std::size_t> connection_counts_;  // by server; never iterated over
};

}  // namespace myrtlecroft::control
