// FastCGI 1.0 in the Responder role: assembles requests from records, and encodes answers. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace myrtlecroft::net {

struct FastCgiRequest {
  std::uint16_t id = 0;
  bool keep_connection = false;
  std::map<std::string, std::string, std::less<>> params;
  std::string body;

  // Empty when the parameter is absent.
  std::string_view param(std::string_view name) const {
    auto entry = params.find(name);
    return entry == params.end() ? std::string_view() : std::string_view(entry->second);
  }
};

enum class ProtocolStatus : std::uint8_t { kComplete = 0, kOverloaded = 2, kUnknownRole = 3 };

// Receives what a FastCgiReader parsed, and answers it.
class FastCgiRequestHandler {
 public:
  virtual ~FastCgiRequestHandler() = default;
  // A request is complete.
  virtual void handle_request(FastCgiRequest request) = 0;
  // The client no longer wants the answer of an unanswered request; it must still be ended.
  virtual void handle_abort(std::uint16_t id) = 0;
  virtual bool is_unanswered(std::uint16_t id) const = 0;  // passed to handle_request() and not yet answered
  virtual std::size_t unanswered_count() const = 0;
  // Sends encoded records to the client.
  virtual void reply(std::string_view bytes) = 0;
};

// Assembles the requests of one connection. Bounds the number of open requests and the size of each.
class FastCgiReader {
 public:
  explicit FastCgiReader(FastCgiRequestHandler& handler) : handler_(handler) {}

  // Handles the complete records at the front of the bytes and returns their length. Sets `malformed` when
  // the bytes are not FastCGI or exceed a limit.
  std::size_t consume(std::string_view bytes, bool& malformed);
  bool is_assembling() const { return !partial_.empty(); }
  // The number of the oldest incomplete request, counted from 1; 0 if there is none.
  std::uint64_t oldest_partial_number() const;
  // Answers the oldest incomplete request with kOverloaded, which tells the caller that it never ran. Other
  // requests go on. Returns false if there is none.
  bool cancel_oldest_partial();
  // Drops incomplete requests without an answer, as the connection is about to end.
  void discard_partial() { partial_.clear(); }
  std::uint64_t record_count() const { return record_count_; }  // handled so far
  std::size_t buffered_bytes() const;

 private:
  struct PartialRequest {
    FastCgiRequest request;
    std::string encoded_params;
    bool params_complete = false;
    std::uint64_t number = 0;
  };

  bool handle_record(std::uint8_t type, std::uint16_t id, std::string_view content);
  bool handle_management_record(std::uint8_t type, std::string_view content);
  bool handle_begin_request(std::uint16_t id, std::string_view content);
  bool handle_params(PartialRequest& partial, std::string_view content);
  bool handle_stdin(PartialRequest& partial, std::string_view content);

  FastCgiRequestHandler& handler_;
  std::map<std::uint16_t, PartialRequest> partial_;
  std::uint64_t begun_count_ = 0;
  std::uint64_t record_count_ = 0;
};

// Parses FastCGI name-value pairs. Returns false when they are truncated or a length exceeds the bytes left.
bool read_name_value_pairs(std::string_view bytes, std::map<std::string, std::string, std::less<>>& into);

// Encodes the complete answer to a request: its output as stdout records, then the end-request record.
std::string encode_answer(std::uint16_t id, std::string_view output, ProtocolStatus status);

}  // namespace myrtlecroft::net
