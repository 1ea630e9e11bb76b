// Which server reports over which connection.
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

  // True where this connection had named no server before, or another.
  bool names(ConnectionId id, const std::string& node) {
    std::string& before = nodes_[id];
    if (before == node) return false;
    if (!before.empty()) release(before);
    before = node;
    ++connections_[node];
    return true;
  }

  // The server that has no connection left by this; nothing where it has another, or named none.
  std::optional<std::string> ended(ConnectionId id) {
    auto found = nodes_.find(id);
    if (found == nodes_.end()) return std::nullopt;
    std::string node = std::move(found->second);
    nodes_.erase(found);
    return release(node) ? std::nullopt : std::optional(node);
  }

 private:
  // How many connections the server still has.
  std::size_t release(const std::string& node) {
    auto found = connections_.find(node);
    std::size_t left = --found->second;
    if (left == 0) connections_.erase(found);
    return left;
  }

  std::map<ConnectionId, std::string> nodes_;
  std::unordered_map<std::string, std::size_t> connections_;  // of each server; only looked up
};

}  // namespace myrtlecroft::control
