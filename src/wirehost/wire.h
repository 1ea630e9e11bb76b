// Adapter between the simulator and the controller: reads batches of events as JSON lines and writes one
// reply per batch. Ids exist only in this adapter; behind it, objects refer to each other by pointer.
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

// Malformed input or a failed write of the reply; what() gives the line number and the cause.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Instance;

// Serves one input stream. Use from one thread.
class Wire {
 public:
  Wire(std::istream& in, std::ostream& out);
  ~Wire();
  // Reads and answers batches until the input ends. Throws WireError; earlier batches are answered by then.
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
  Nanos now_ = 0;           // time of the present batch
  std::int64_t batch_ = 0;  // sequence number of the present batch
};

}  // namespace myrtlecroft::wirehost
