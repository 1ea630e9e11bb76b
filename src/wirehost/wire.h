// The wire: batches of events in, one reply out for each. Ids end here; behind this door objects point to
// objects.
#pragma once

#include <simdjson.h>

#include <istream>
#include <map>
#include <memory>
#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "myrtlecroft/controller.h"

namespace myrtlecroft::wirehost {

// Input that can't be read; what() says what and where.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Instance;

class Wire {
 public:
  Wire(std::istream& in, std::ostream& out);
  ~Wire();
  // Reads and answers batches until the input ends. Throws WireError.
  void serve();

 private:
  struct Event;

  bool read_batch();
  void read_event(simdjson::dom::object fields);
  void read_details(simdjson::dom::object fields, Event& event);
  Instance& start_instance(simdjson::dom::object fields);
  void deliver(const Event& event);
  Instance& instance_of(simdjson::dom::object fields);
  void end_instance(std::int64_t number);

  std::istream& in_;
  std::ostream& out_;
  simdjson::dom::parser parser_;
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
  std::vector<Event> events_;
  std::string reply_;
  std::string line_;
  std::uint64_t line_number_ = 0;
  Nanos now_ = 0;
  std::int64_t batch_ = 0;
};

}  // namespace myrtlecroft::wirehost
