#include "net/engine_codec.h"

#include <charconv>
#include <cmath>

#include "net/base64.h"

namespace myrtlecroft::net {
namespace {

constexpr int kDeepest = 32;  // nesting in fields that are skipped

// Reads JSON from the left. Each step is false when the text is not as JSON wants it.
class JsonReader {
 public:
  explicit JsonReader(std::string_view text) : text_(text) {}

  bool take(char wanted) {
    skip_space();
    if (text_.empty() || text_.front() != wanted) return false;
    text_.remove_prefix(1);
    return true;
  }
  bool at_end() {
    skip_space();
    return text_.empty();
  }
  char next() {
    skip_space();
    return text_.empty() ? '\0' : text_.front();
  }

  bool string(std::string& out) {
    out.clear();
    if (!take('"')) return false;
    while (!text_.empty()) {
      std::size_t plain = text_.find_first_of("\"\\");
      if (plain == std::string_view::npos) return false;
      out += text_.substr(0, plain);
      char mark = text_[plain];
      text_.remove_prefix(plain + 1);
      if (mark == '"') return true;
      if (!escape(out)) return false;
    }
    return false;
  }

  bool number(double& out) {
    skip_space();
    auto [end, error] = std::from_chars(text_.data(), text_.data() + text_.size(), out);
    if (error != std::errc() || !std::isfinite(out)) return false;
    text_.remove_prefix(static_cast<std::size_t>(end - text_.data()));
    return true;
  }

  bool numbers(std::vector<double>& out) {
    out.clear();
    if (!take('[')) return false;
    if (take(']')) return true;
    do {
      double value = 0;
      if (!number(value)) return false;
      out.push_back(value);
    } while (take(','));
    return take(']');
  }

  bool skip_value(int depth = 0) {
    if (depth > kDeepest) return false;
    std::string text;
    double value = 0;
    switch (next()) {
      case '"':
        return string(text);
      case '{':
        return skip_items('{', '}', depth);
      case '[':
        return skip_items('[', ']', depth);
      case 't':
        return word("true");
      case 'f':
        return word("false");
      case 'n':
        return word("null");
      default:
        return number(value);
    }
  }

 private:
  void skip_space() {
    std::size_t past = text_.find_first_not_of(" \t\r\n");
    text_.remove_prefix(past == std::string_view::npos ? text_.size() : past);
  }

  bool word(std::string_view wanted) {
    if (!text_.starts_with(wanted)) return false;
    text_.remove_prefix(wanted.size());
    return true;
  }

  bool skip_items(char open, char close, int depth) {
    std::string name;
    if (!take(open)) return false;
    if (take(close)) return true;
    do {
      if (open == '{' && !(string(name) && take(':'))) return false;
      if (!skip_value(depth + 1)) return false;
    } while (take(','));
    return take(close);
  }

  bool hex(std::uint32_t& out) {
    if (text_.size() < 4) return false;
    auto [end, error] = std::from_chars(text_.data(), text_.data() + 4, out, 16);
    if (error != std::errc() || end != text_.data() + 4) return false;
    text_.remove_prefix(4);
    return true;
  }

  bool escape(std::string& out) {
    if (text_.empty()) return false;
    char mark = text_.front();
    text_.remove_prefix(1);
    constexpr std::string_view kEscapes = "\"\\/bfnrt";
    constexpr std::string_view kCharacters = "\"\\/\b\f\n\r\t";
    if (std::size_t at = kEscapes.find(mark); at != std::string_view::npos) {
      out += kCharacters[at];
      return true;
    }
    std::uint32_t point = 0;
    if (mark != 'u' || !hex(point)) return false;
    if (point >= 0xD800 && point < 0xDC00) {
      std::uint32_t low = 0;
      if (!word("\\u") || !hex(low) || low < 0xDC00 || low > 0xDFFF) return false;
      point = 0x10000 + ((point - 0xD800) << 10) + (low - 0xDC00);
    }
    utf8(out, point);
    return true;
  }

  static void utf8(std::string& out, std::uint32_t point) {
    auto put = [&](std::uint32_t byte) { out += static_cast<char>(byte); };
    if (point < 0x80) return put(point);
    if (point < 0x800) return put(0xC0 | point >> 6), put(0x80 | (point & 63));
    if (point >= 0x10000) {
      put(0xF0 | point >> 18), put(0x80 | (point >> 12 & 63));
    } else {
      put(0xE0 | point >> 12);
    }
    put(0x80 | (point >> 6 & 63)), put(0x80 | (point & 63));
  }

  std::string_view text_;
};

bool read_field(JsonReader& json, const std::string& name, EngineLine& line) {
  if (json.next() == 'n') return json.skip_value();  // null: as if absent
  if (name == "cmd") return json.string(line.cmd);
  if (name == "req") return json.string(line.req);
  if (name == "result") return json.string(line.result);
  if (name == "payload") return json.string(line.payload);
  if (name == "load") return json.numbers(line.load);
  if (name == "elapsed_ms") return json.number(line.elapsed_ms);
  if (name == "token") return json.next() == '"' ? json.string(line.token) : json.skip_value();
  if (name != "offset") return json.skip_value();
  double offset = 0;
  if (!json.number(offset) || offset < 0 || offset > 9e15) return false;
  line.offset = static_cast<std::uint64_t>(offset);
  return true;
}

std::string quoted(std::string_view text) {
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
  if (!json.take('{')) return std::nullopt;
  if (!json.take('}')) {
    std::string name;
    do {
      if (!json.string(name) || !json.take(':') || !read_field(json, name, line)) return std::nullopt;
    } while (json.take(','));
    if (!json.take('}')) return std::nullopt;
  }
  if (!json.at_end()) return std::nullopt;
  return line;
}

std::string attach_line(std::uint64_t last_notice) {
  return "{\"cmd\":\"ATTACH\",\"offset\":" + std::to_string(last_notice) + "}\n";
}

std::string run_line(std::string_view id, std::string_view request_class, std::string_view body) {
  return with_payload("{\"cmd\":\"RUN\",\"req\":" + quoted(id) + ",\"method\":" + quoted(request_class),
                      body);
}

std::string feed_line(std::string_view id, std::string_view reply) {
  return with_payload("{\"cmd\":\"FEED\",\"req\":" + quoted(id), reply);
}

std::string skip_line(std::string_view id, std::uint64_t notice) {
  return "{\"cmd\":\"SKIP\",\"req\":" + quoted(id) + ",\"offset\":" + std::to_string(notice) + "}\n";
}

std::string stat_line(std::uint64_t token) {
  return "{\"cmd\":\"STAT\",\"token\":\"" + std::to_string(token) + "\"}\n";
}

std::string test_line(std::uint64_t token) {
  return "{\"cmd\":\"TEST\",\"token\":\"" + std::to_string(token) + "\"}\n";
}

}  // namespace myrtlecroft::net
