#include "capacity/real_load.h"

#include <algorithm>

namespace myrtlecroft::capacity {

void HollowProcesses::start(const std::string& program, std::vector<std::string> arguments,
                            const std::string& log) {
  auto process = std::make_unique<Process>();
  arguments.insert(arguments.begin(), program);
  arguments.insert(arguments.end(), {"--commands", std::to_string(process->commands.remote())});
  process->child = standin::ChildProcess(arguments, log);
  process->commands.close_remote();
  processes_.push_back(std::move(process));
}

hollow::Answer HollowProcesses::command_all(const hollow::Command& command) {
  return command_each([&](std::size_t) { return command; });
}

hollow::Answer HollowProcesses::command_each(
    const std::function<hollow::Command(std::size_t process)>& command) {
  for (std::size_t i = 0; i < processes_.size(); ++i) processes_[i]->commands.send(command(i));
  hollow::Answer out;
  for (auto& process : processes_) merge_answer(out, process->commands.receive());
  return out;
}

double HollowProcesses::cpu_ms() const {
  double out = 0;
  for (const auto& process : processes_) out += process->child.cpu_ms();
  return out;
}

long HollowProcesses::resident_kb() const {
  long out = 0;
  for (const auto& process : processes_) out += process->child.resident_kb();
  return out;
}

void merge_answer(hollow::Answer& to, const hollow::Answer& more) {
  to.set_at_ns(to.at_ns() == 0 ? more.at_ns() : std::min(to.at_ns(), more.at_ns()));
  to.set_servers_connected(to.servers_connected() + more.servers_connected());
  to.set_reports_sent(to.reports_sent() + more.reports_sent());
  to.set_report_bytes(to.report_bytes() + more.report_bytes());
  to.set_callers(to.callers() + more.callers());
  to.set_callers_applied(to.callers_applied() + more.callers_applied());
  to.set_touched(to.touched() + more.touched());
  to.set_in_force(to.in_force() + more.in_force());
  to.mutable_in_force_at_ns()->MergeFrom(more.in_force_at_ns());
  to.set_stale(to.stale() + more.stale());
  to.set_bytes_in(to.bytes_in() + more.bytes_in());
  to.set_half_applied(to.half_applied() + more.half_applied());
  if (!more.half_applied_last().empty()) to.set_half_applied_last(more.half_applied_last());
  to.set_endpoints_held(to.endpoints_held() + more.endpoints_held());
  if (to.servers_of_first().empty()) *to.mutable_servers_of_first() = more.servers_of_first();
  to.mutable_owners()->MergeFrom(more.owners());
}

}  // namespace myrtlecroft::capacity
