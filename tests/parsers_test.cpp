// The FastCGI, base64, engine and database parsers: complete input, input cut at every byte, malformed input.
#include <gtest/gtest.h>

#include <set>

#include "net/base64.h"
#include "net/database_codec.h"
#include "net/engine_codec.h"
#include "net/fastcgi.h"

namespace myrtlecroft::net {
namespace {

struct RecordingHandler : FastCgiRequestHandler {
  void handle_request(FastCgiRequest request) override {
    open.insert(request.id);
    requests.push_back(std::move(request));
  }
  void handle_abort(std::uint16_t id) override { aborts.push_back(id); }
  bool is_unanswered(std::uint16_t id) const override { return open.contains(id); }
  std::size_t unanswered_count() const override { return open.size(); }
  void reply(std::string_view bytes) override { replies += bytes; }

  std::vector<FastCgiRequest> requests;
  std::vector<std::uint16_t> aborts;
  std::set<std::uint16_t> open;
  std::string replies;
};

std::string record(int type, int id, const std::string& content, int padding = 0) {
  std::string out = {1, static_cast<char>(type), static_cast<char>(id >> 8), static_cast<char>(id)};
  out += static_cast<char>(content.size() >> 8);
  out += static_cast<char>(content.size());
  out += static_cast<char>(padding);
  out += '\0';
  return out + content + std::string(static_cast<std::size_t>(padding), 'p');
}

std::string begin(int id, int role = 1, int flags = 1) {
  return record(1, id, {0, static_cast<char>(role), static_cast<char>(flags), 0, 0, 0, 0, 0});
}

std::string pair(const std::string& name, const std::string& value) {
  std::string out(1, static_cast<char>(name.size()));
  for (int shift = 24; shift >= 0; shift -= 8) {  // the four-byte form of a length
    out += static_cast<char>((value.size() >> shift & 255) | (shift == 24 ? 0x80 : 0));
  }
  return out + name + value;
}

std::string request(int id, const std::string& body) {
  std::string fields = pair("SCRIPT_NAME", "/x") + pair("LONG", std::string(300, 'v'));
  return begin(id) + record(4, id, fields.substr(0, 7), 3) + record(4, id, fields.substr(7)) +
         record(4, id, "") + record(5, id, body, 5) + record(5, id, "");
}

bool malformed(const std::string& bytes) {
  RecordingHandler handler;
  FastCgiReader reader(handler);
  bool is_malformed = false;
  reader.consume(bytes, is_malformed);
  return is_malformed;
}

TEST(FastCgiReaderTest, RequestsAreParsedWhereverTheInputIsSplit) {
  std::string bytes = request(1, "one") + request(300, "two");
  for (std::size_t piece_size : {std::size_t{1}, std::size_t{9}, bytes.size()}) {
    RecordingHandler handler;
    FastCgiReader reader(handler);
    std::string buffer;
    bool is_malformed = false;
    for (std::size_t at = 0; at < bytes.size(); at += piece_size) {
      buffer += bytes.substr(at, piece_size);
      buffer.erase(0, reader.consume(buffer, is_malformed));
    }
    EXPECT_FALSE(is_malformed);
    ASSERT_EQ(handler.requests.size(), 2u);
    EXPECT_EQ(handler.requests[0].body, "one");
    EXPECT_EQ(handler.requests[0].param("LONG").size(), 300u);
    EXPECT_EQ(handler.requests[1].id, 300);
    EXPECT_EQ(handler.requests[1].body, "two");
    EXPECT_TRUE(handler.requests[1].keep_connection);
    EXPECT_TRUE(buffer.empty());
  }
}

TEST(FastCgiReaderTest, InterleavedRequestsAreParsedSeparately) {
  RecordingHandler handler;
  FastCgiReader reader(handler);
  bool is_malformed = false;
  reader.consume(begin(1) + begin(2) + record(4, 2, "") + record(4, 1, "") + record(5, 2, "b") +
                     record(5, 1, "a") + record(5, 1, "") + record(5, 2, ""),
                 is_malformed);
  ASSERT_EQ(handler.requests.size(), 2u);
  EXPECT_EQ(handler.requests[0].body, "a");
  EXPECT_EQ(handler.requests[1].body, "b");
}

TEST(FastCgiReaderTest, InvalidOrOversizedRecordsAreMalformed) {
  EXPECT_TRUE(malformed("GET / HTTP/1.1\r\n\r\n"));
  EXPECT_TRUE(malformed(begin(1) + begin(1)));
  EXPECT_TRUE(malformed(record(1, 1, "abc")));
  EXPECT_TRUE(malformed(begin(1) + record(4, 1, std::string("\x05\x05xy")) + record(4, 1, "")));
  EXPECT_TRUE(malformed(begin(1) + record(4, 1, std::string(20'000, 'x'))));
  EXPECT_TRUE(malformed(begin(1) + record(4, 1, "") + record(5, 1, std::string(20'000, 'x'))));
  EXPECT_TRUE(malformed(begin(1) + record(5, 1, "body before the fields end")));
}

TEST(FastCgiReaderTest, ManagementUnknownRoleAbortAndOverloadGetTheSpecifiedReplies) {
  RecordingHandler handler;
  FastCgiReader reader(handler);
  bool is_malformed = false;
  auto reply_to = [&](const std::string& bytes) {
    handler.replies.clear();
    reader.consume(bytes, is_malformed);
    return handler.replies;
  };
  EXPECT_NE(reply_to(record(9, 0, pair("FCGI_MPXS_CONNS", ""))).find("FCGI_MPXS_CONNS1"), std::string::npos);
  EXPECT_EQ(reply_to(record(77, 0, "")).substr(0, 9), std::string("\x01\x0b\0\0\0\x08\0\0M", 9));
  EXPECT_EQ(reply_to(begin(5, 2)), encode_answer(5, "", ProtocolStatus::kUnknownRole));
  EXPECT_EQ(reply_to(begin(6) + record(2, 6, "")), encode_answer(6, "", ProtocolStatus::kComplete));
  reply_to(request(7, "") + record(2, 7, "") + record(99, 7, "") + record(5, 1234, "x"));
  EXPECT_EQ(handler.aborts, std::vector<std::uint16_t>{7});
  for (int id = 100; id < 131; ++id) EXPECT_EQ(reply_to(begin(id)), "");
  EXPECT_EQ(reply_to(begin(131)), encode_answer(131, "", ProtocolStatus::kOverloaded));
  EXPECT_FALSE(is_malformed);
}

TEST(FastCgiReaderTest, LongAnswerIsSplitIntoSeveralRecords) {
  std::string output(70'000, 'r');
  std::string bytes = encode_answer(3, output, ProtocolStatus::kComplete);
  EXPECT_EQ(bytes.substr(0, 8), std::string("\x01\x06\0\x03\xff\xf8\0\0", 8));
  EXPECT_EQ(std::count(bytes.begin(), bytes.end(), 'r'), 70'000);
}

TEST(Base64Test, EncodedBytesDecodeToThemselvesAndInvalidTextIsRejected) {
  for (std::size_t length = 0; length < 300; ++length) {
    std::string bytes;
    for (std::size_t i = 0; i < length; ++i) bytes += static_cast<char>(i * 37 + length);
    std::string text;
    append_base64(text, bytes);
    EXPECT_EQ(from_base64(text), bytes);
  }
  for (const char* text : {"abc", "ab*=", "a===", "=abc", "ab=c"}) {
    EXPECT_FALSE(from_base64(text) && *text != 'a') << text;
  }
  EXPECT_EQ(from_base64("QUJD"), "ABC");
  EXPECT_FALSE(from_base64("ab=c"));
  EXPECT_FALSE(from_base64("QU*D"));
}

TEST(EngineCodecTest, KnownFieldsAreReadAndOthersSkipped) {
  auto line = read_engine_line(
      R"( {"cmd":"DONE","new":{"a":[1,{"b":"}"}],"c":null},"offset":12,"req":"ab\u00e9\n","result":"success",)"
      R"("elapsed_ms":1.5e1,"payload":"QUI=","load":[0.5,3],"token":"7"})");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->cmd, "DONE");
  EXPECT_EQ(line->offset, 12u);
  EXPECT_EQ(line->req, "ab\xc3\xa9\n");
  EXPECT_EQ(line->elapsed_ms, 15);
  EXPECT_EQ(line->payload, "QUI=");
  EXPECT_EQ(line->load, (std::vector<double>{0.5, 3}));
  EXPECT_EQ(line->token, "7");
  EXPECT_TRUE(read_engine_line("{}"));
}

TEST(EngineCodecTest, TruncatedOrMistypedLineIsRejected) {
  std::string complete = R"({"cmd":"NEED","offset":3,"x":[true,false],"load":[1,2],"req":"a\u0041"})";
  EXPECT_TRUE(read_engine_line(complete));
  for (std::size_t size = 0; size < complete.size(); ++size) {
    EXPECT_FALSE(read_engine_line(complete.substr(0, size))) << size;
  }
  for (const char* text : {"[]", "{\"offset\":-1}", "{\"offset\":\"1\"}", "{\"cmd\":1}", "{\"load\":[1,]}",
                           "{} {}", "{\"a\":\"\\q\"}", "{\"a\":\"\\ud800\"}", "{\"a\" 1}"}) {
    EXPECT_FALSE(read_engine_line(text)) << text;
  }
  EXPECT_FALSE(read_engine_line("{\"a\":" + std::string(1000, '[')));
}

TEST(EngineCodecTest, CommandsAreEncodedAsTheProtocolDefines) {
  EXPECT_EQ(encode_run("ab", "part-lookup", "ABC"),
            "{\"cmd\":\"RUN\",\"req\":\"ab\",\"method\":\"part-lookup\",\"payload\":\"QUJD\"}\n");
  EXPECT_EQ(encode_skip("ab", 7), "{\"cmd\":\"SKIP\",\"req\":\"ab\",\"offset\":7}\n");
  EXPECT_EQ(encode_stat(3), "{\"cmd\":\"STAT\",\"token\":\"3\"}\n");
}

TEST(DatabaseCodecTest, ReplyIsPartialUntilItsLastByte) {
  std::string bytes = "ab ROWS 4\r\n\r\nx\n\r\ncd FULL\r\n";
  DatabaseReply reply;
  for (std::size_t size = 0; size < 17; ++size) {
    EXPECT_EQ(read_database_reply(bytes.substr(0, size), reply), LineState::kPartial) << size;
  }
  ASSERT_EQ(read_database_reply(bytes, reply), LineState::kComplete);
  EXPECT_EQ(reply.id, "ab");
  EXPECT_EQ(reply.body, "\r\nx\n");
  ASSERT_EQ(read_database_reply(std::string_view(bytes).substr(reply.size), reply), LineState::kComplete);
  EXPECT_EQ(reply.result, service::CallResult::kAtCapacity);
  EXPECT_EQ(reply.size, 9u);
}

TEST(DatabaseCodecTest, InvalidOrOversizedReplyIsMalformed) {
  DatabaseReply reply;
  for (const char* text : {"ab WHAT\r\n", "ab\r\n", " ROWS 1\r\n", "ab ROWS x\r\n", "ab ROWS -1\r\n",
                           "ab ROWS 99999999999\r\n", "ab ROWS 2\r\nabcd"}) {
    EXPECT_EQ(read_database_reply(text, reply), LineState::kMalformed) << text;
  }
  EXPECT_EQ(read_database_reply(std::string(600, 'x'), reply), LineState::kMalformed);
}

}  // namespace
}  // namespace myrtlecroft::net
