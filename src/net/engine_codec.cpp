#include "net/engine_codec.h"

#include <charconv>
#include <cmath>

#include "net/base64.h"

namespace myrtlecroft::net {
namespace {

constexpr int kMaxNesting = 32;  // of arrays and objects in skipped fields

// A JSON parser without a document model. Each function consumes what it read, and returns false when the
// text is not the expected JSON.
class JsonReader {
 public:
  explicit JsonReader(std::string_view text) : text_(text) {}

  bool consume(char expected) {
    skip_space();
    if (text_.empty() || text_.front() != expected) return false;
    text_.remove_prefix(1);
    return true;
  }
  bool at_end() {
    skip_space();
    return text_.empty();
  }
  char peek() {
    skip_space();
    return text_.empty() ? '\0' : text_.front();
  }

  bool read_string(std::string& out) {
    out.clear();
    if (!consume('"')) return false;
    while (!text_.empty()) {
      std::size_t special = text_.find_first_of("\"\\");
      if (special == std::string_view::npos) return false;
      out += text_.substr(0, special);
      char character = text_[special];
      text_.remove_prefix(special + 1);
      if (character == '"') return true;
      if (!read_escape(out)) return false;
    }
    return false;
  }

  bool read_number(double& out) {
    skip_space();
    auto [end, error] = std::from_chars(text_.data(), text_.data() + text_.size(), out);
    if (error != std::errc() || !std::isfinite(out)) return false;
    text_.remove_prefix(static_cast<std::size_t>(end - text_.data()));
    return true;
  }

  bool read_numbers(std::vector<double>& out) {
    out.clear();
    if (!consume('[')) return false;
    if (consume(']')) return true;
    do {
      double value = 0;
      if (!read_number(value)) return false;
      out.push_back(value);
    } while (consume(','));
    return consume(']');
  }

  bool skip_value(int depth = 0) {
    if (depth > kMaxNesting) return false;
    std::string text;
    double value = 0;
    switch (peek()) {
      case '"':
        return read_string(text);
      case '{':
        return skip_members('{', '}', depth);
      case '[':
        return skip_members('[', ']', depth);
      case 't':
        return consume_literal("true");
      case 'f':
        return consume_literal("false");
      case 'n':
        return consume_literal("null");
      default:
        return read_number(value);
    }
  }

 private:
  void skip_space() {
    std::size_t first_non_space = text_.find_first_not_of(" \t\r\n");
    text_.remove_prefix(first_non_space == std::string_view::npos ? text_.size() : first_non_space);
  }

  bool consume_literal(std::string_view expected) {
    if (!text_.starts_with(expected)) return false;
    text_.remove_prefix(expected.size());
    return true;
  }

  bool skip_members(char open, char close, int depth) {
    std::string name;
    if (!consume(open)) return false;
    if (consume(close)) return true;
    do {
      if (open == '{' && !(read_string(name) && consume(':'))) return false;
      if (!skip_value(depth + 1)) return false;
    } while (consume(','));
    return consume(close);
  }

  bool read_hex4(std::uint32_t& out) {
    if (text_.size() < 4) return false;
    auto [end, error] = std::from_chars(text_.data(), text_.data() + 4, out, 16);
    if (error != std::errc() || end != text_.data() + 4) return false;
    text_.remove_prefix(4);
    return true;
  }

  bool read_escape(std::string& out) {
    if (text_.empty()) return false;
    char character = text_.front();
    text_.remove_prefix(1);
    constexpr std::string_view kEscapes = "\"\\/bfnrt";
    constexpr std::string_view kCharacters = "\"\\/\b\f\n\r\t";
    if (std::size_t at = kEscapes.find(character); at != std::string_view::npos) {
      out += kCharacters[at];
      return true;
    }
    std::uint32_t code_point = 0;
    if (character != 'u' || !read_hex4(code_point)) return false;
    if (code_point >= 0xD800 && code_point < 0xDC00) {
      std::uint32_t low = 0;
      if (!consume_literal("\\u") || !read_hex4(low) || low < 0xDC00 || low > 0xDFFF) return false;
      code_point = 0x10000 + ((code_point - 0xD800) << 10) + (low - 0xDC00);
    }
    append_utf8(out, code_point);
    return true;
  }

  static void append_utf8(std::string& out, std::uint32_t code_point) {
    auto append_byte = [&](std::uint32_t byte) { out += static_cast<char>(byte); };
    if (code_point < 0x80) return append_byte(code_point);
    if (code_point < 0x800) return append_byte(0xC0 | code_point >> 6), append_byte(0x80 | (code_point & 63));
    if (code_point >= 0x10000) {
      append_byte(0xF0 | code_point >> 18), append_byte(0x80 | (code_point >> 12 & 63));
    } else {
      append_byte(0xE0 | code_point >> 12);
    }
    append_byte(0x80 | (code_point >> 6 & 63)), append_byte(0x80 | (code_point & 63));
  }

  std::string_view text_;
};

bool read_field(JsonReader& json, const std::string& name, EngineLine& line) {
  if (json.peek() == 'n') return json.skip_value();  // null counts as absent
  if (name == "cmd") return json.read_string(line.cmd);
  if (name == "req") return json.read_string(line.req);
  if (name == "result") return json.read_string(line.result);
  if (name == "payload") return json.read_string(line.payload);
  if (name == "load") return json.read_numbers(line.load);
  if (name == "elapsed_ms") return json.read_number(line.elapsed_ms);
  if (name == "token") return json.peek() == '"' ? json.read_string(line.token) : json.skip_value();
  if (name != "offset") return json.skip_value();
  double offset = 0;
  if (!json.read_number(offset) || offset < 0 || offset > 9e15) return false;
  line.offset = static_cast<std::uint64_t>(offset);
  return true;
}

std::string json_string(std::string_view text) {
  std::string out(1, '"');
  for (char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  out += '"';
  return out;
}

std::string with_payload(std::string line, std::string_view bytes) {
  line += ",\"payload\":\"";
  append_base64(line, bytes);
  return line + "\"}\n";
}

}  // namespace

std::optional<EngineLine> read_engine_line(std::string_view text) {
  JsonReader json(text);
  EngineLine line;
  if (!json.consume('{')) return std::nullopt;
  if (!json.consume('}')) {
    std::string name;
    do {
      if (!json.read_string(name) || !json.consume(':') || !read_field(json, name, line)) return std::nullopt;
    } while (json.consume(','));
    if (!json.consume('}')) return std::nullopt;
  }
  if (!json.at_end()) return std::nullopt;
  return line;
}

std::string encode_attach(std::uint64_t last_notice) {
  return "{\"cmd\":\"ATTACH\",\"offset\":" + std::to_string(last_notice) + "}\n";
}

std::string encode_run(std::string_view id, std::string_view request_class, std::string_view body) {
  return with_payload(
      "{\"cmd\":\"RUN\",\"req\":" + json_string(id) + ",\"method\":" + json_string(request_class), body);
}

std::string encode_feed(std::string_view id, std::string_view reply) {
  return with_payload("{\"cmd\":\"FEED\",\"req\":" + json_string(id), reply);
}

std::string encode_skip(std::string_view id, std::uint64_t notice) {
  return "{\"cmd\":\"SKIP\",\"req\":" + json_string(id) + ",\"offset\":" + std::to_string(notice) + "}\n";
}

std::string encode_stat(std::uint64_t token) {
  return "{\"cmd\":\"STAT\",\"token\":\"" + std::to_string(token) + "\"}\n";
}

std::string encode_test(std::uint64_t token) {
  return "{\"cmd\":\"TEST\",\"token\":\"" + std::to_string(token) + "\"}\n";
}

}  // namespace myrtlecroft::net
