// Test support: a fleet file of a few servers and the options of a control service that reads it.
#pragma once

#include <fstream>
#include <string>

#include "../standin/ads_link.h"
#include "control_harness.h"

namespace myrtlecroft::control {

using standin::AdsLink;

// A fleet file of the servers n1, n2, ... with addresses 127.0.0.1:20001 and so on, in zones a and b.
inline std::string fleet_text(int nodes, const std::string& bounds = "") {
  std::string node_list;
  for (int i = 1; i <= nodes; ++i) {
    node_list += std::string(i > 1 ? ",\n" : "") + "{ name = \"n" + std::to_string(i) + "\"; zone = \"" +
                 (i % 2 ? "a" : "b") + "\"; address = \"127.0.0.1:" + std::to_string(20'000 + i) + "\"; }";
  }
  return "version = 1; listener = \"fleet\"; proxies = 10; nodes = (" + node_list +
         ");\n"
         "groups = ({ name = \"read\"; repeats = \"repeatable\"; timeout_ms = 500; },\n"
         "{ name = \"set\"; repeats = \"mutating\"; timeout_ms = 500; },\n"
         "{ name = \"book\"; repeats = \"deduplicated\"; window_ms = 500; timeout_ms = 500; });\n"
         "bounds = { silent_ms = 600; dwell_ms = 300; ramp_ms = 300; settle_ms = 20; most_out = 0.6; " +
         bounds + "};\n";
}

// The folder of one control service, with its fleet file and its saved state.
struct ControlSite {
  explicit ControlSite(int nodes = 3, const std::string& bounds = "") { write(fleet_text(nodes, bounds)); }
  void write(const std::string& text) const { std::ofstream(folder.file("fleet.conf")) << text; }
  ControlOptions options() const {
    return {.fleet_path = folder.file("fleet.conf"),
            .state_folder = folder.file("state"),
            .first_start = true,
            .addresses = {"127.0.0.1:0", loopback(0), loopback(0)}};
  }
  TemporaryFolder folder;
};

// True if the proxy has applied a set in which the class "read" has this many servers.
inline bool has_servers(const AdsLink& link, int count) {
  auto applied = link.applied();
  return applied && applied->endpoints.at("group/read")->endpoints_size() == count;
}

inline std::string target(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace myrtlecroft::control
