// FastCGI 1.0 as a Responder: records in, whole requests out; and the records that answer them. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace myrtlecroft::net {

struct CgiRequest {
  std::uint16_t id = 0;
  bool keep_connection = false;
  std::map<std::string, std::string, std::less<>> fields;  // the parameters
  std::string body;

  std::string_view field(std::string_view name) const {
    auto place = fields.find(name);
    return place == fields.end() ? std::string_view() : std::string_view(place->second);
  }
};

enum class ProtocolStatus : std::uint8_t { kComplete = 0, kOverloaded = 2, kUnknownRole = 3 };

class CgiRequestHandler {
 public:
  virtual ~CgiRequestHandler() = default;
  virtual void handle_request(CgiRequest request) = 0;
  virtual void handle_abort(std::uint16_t id) = 0;
  virtual bool is_unanswered(std::uint16_t id) const = 0;  // handed over by requested() and not yet answered
  virtual std::size_t unanswered_count() const = 0;
  virtual void reply(std::string_view bytes) = 0;
};

class CgiReader {
 public:
  explicit CgiReader(CgiRequestHandler& events) : events_(events) {}

  // Takes the whole records at the front of the bytes and says how many bytes they were. What is no FastCGI,
  // or goes beyond the bounds, sets `malformed`.
  std::size_t take(std::string_view bytes, bool& malformed);
  bool assembling() const { return !partial_.empty(); }
  // Of the oldest request that is not whole, a number of its own; 0: there is none.
  std::uint64_t oldest() const;
  // Ends that request alone, as one that never ran. False: there is none.
  bool cancel_oldest();
  // Drops what is not whole, unanswered: the connection is about to end.
  void forget() { partial_.clear(); }
  std::uint64_t records() const { return records_; }  // taken so far
  std::size_t bytes_held() const;

 private:
  struct Partial {
    CgiRequest request;
    std::string parameters;
    bool parameters_done = false;
    std::uint64_t number = 0;
  };

  bool record(std::uint8_t type, std::uint16_t id, std::string_view content);
  bool management(std::uint8_t type, std::string_view content);
  bool begin(std::uint16_t id, std::string_view content);
  bool parameters(Partial& partial, std::string_view content);
  bool input(Partial& partial, std::string_view content);

  CgiRequestHandler& events_;
  std::map<std::uint16_t, Partial> partial_;
  std::uint64_t begun_ = 0;
  std::uint64_t records_ = 0;
};

// Names and values as FastCGI packs them. False when they are cut off or a length runs over.
bool read_pairs(std::string_view bytes, std::map<std::string, std::string, std::less<>>& into);

// The whole answer to one request: output in records, then the end.
std::string encode_answer(std::uint16_t id, std::string_view output, ProtocolStatus status);

}  // namespace myrtlecroft::net
