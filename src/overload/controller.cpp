// Forwards each event of the public interface to Controller::Core: sets the time, handles the event, then
// starts the work that the event made possible.
#include "myrtlecroft/controller.h"

#include "overload/controller_core.h"

namespace myrtlecroft {

Controller::Controller(const ServiceConfig& config, ControllerActions& actions, std::uint64_t seed)
    : core_(std::make_unique<Core>(config, actions, seed)) {}

Controller::~Controller() = default;

void Controller::start(Nanos now) {
  core_->set_now(now);
  core_->start();
}

void Controller::request_received(Request& request, Nanos now) {
  core_->set_now(now);
  core_->request_received(request);
  core_->dispatch();
}

void Controller::call_needed(Request& request, Nanos now) {
  core_->set_now(now);
  core_->call_needed(request);
  core_->dispatch();
}

void Controller::call_ended(Request& request, Outcome outcome, Nanos duration, Nanos now) {
  core_->set_now(now);
  core_->call_ended(request, outcome, duration);
  core_->dispatch();
}

void Controller::run_completed(Request& request, Outcome outcome, Nanos now) {
  core_->set_now(now);
  core_->run_completed(request, outcome);
  core_->dispatch();
}

void Controller::intent_recorded(Request& request, bool durable, Nanos now) {
  core_->set_now(now);
  core_->intent_recorded(request, durable);
  core_->dispatch();
}

void Controller::caller_disconnected(Request& request, Nanos now) {
  core_->set_now(now);
  core_->caller_disconnected(request);
  core_->dispatch();
}

void Controller::timer_expired(std::uint64_t, const Gauges& gauges, Nanos now) {
  core_->set_now(now);
  core_->timer_expired(gauges);
  core_->dispatch();
}

void Controller::begin_drain(Nanos stop_at, Nanos now) {
  core_->set_now(now);
  core_->begin_drain(stop_at);
  core_->dispatch();
}

ControllerStats Controller::stats() const { return core_->stats(); }

}  // namespace myrtlecroft
