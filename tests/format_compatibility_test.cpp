// Compatibility with earlier versions: stored data written by an earlier version is read correctly, and the
// messages and frames on the wire are unchanged. tests/data/README.md describes the files.
#include <google/protobuf/descriptor.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "agreement.pb.h"
#include "agreement/replicated_state.h"
#include "consensus.pb.h"
#include "consensus/store_raft_storage.h"
#include "control.pb.h"
#include "echo.pb.h"
#include "hollow.pb.h"
#include "recovery/idempotency_records.h"
#include "report/load_report.h"
#include "routing_state/saved_state.h"
#include "store/file_disk.h"
#include "store/store.h"

namespace myrtlecroft {
namespace {

namespace fs = std::filesystem;

// Digests of the ReplicatedState, as computed by the version that wrote tests/data/raft_log: when its
// snapshot was written, and after the log entries that follow the snapshot.
constexpr std::uint64_t kSnapshotDigest = 15827825439571547406u;
constexpr std::uint64_t kLastDigest = 14849624970349031045u;

std::string read_file(const std::string& name) {
  std::ifstream in(fs::path(MYRTLECROFT_TEST_DATA) / name);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string hexadecimal(const std::string& bytes) {
  std::string out;
  for (unsigned char byte : bytes) {
    constexpr char kDigits[] = "0123456789abcdef";
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
  return out;
}

// Copies folders of tests/data to a temporary folder, where opening a store may change the files.
struct StoredFormatsTest : testing::Test {
  StoredFormatsTest() {
    char pattern[] = "/tmp/myrtlecroft-formats-XXXXXX";
    folder = ::mkdtemp(pattern);
  }
  ~StoredFormatsTest() override { fs::remove_all(folder); }
  std::string copy_of(const std::string& name) const {
    fs::copy(fs::path(MYRTLECROFT_TEST_DATA) / name, folder / name, fs::copy_options::recursive);
    return folder / name;
  }
  Nanos clock() { return ++ticks; }

  fs::path folder;
  Nanos ticks = 0;
};

TEST_F(StoredFormatsTest, ServerStoreIsReadWithItsAssignmentAndOutcomes) {
  store::FileDisk disk(copy_of("server_store"));
  store::Store store(
      disk, {}, [this] { return clock(); }, 1);
  store::RecoveryStats recovery_stats = store.open();
  EXPECT_EQ(recovery_stats.segments, 2u);
  EXPECT_EQ(recovery_stats.segments_from_hints, 1u);
  EXPECT_EQ(recovery_stats.skipped_bytes, 0u);
  EXPECT_EQ(store.size(), 5u);  // includes the tombstone of key-dropped
  EXPECT_FALSE(store.contains("book\nkey-dropped"));

  recovery::IdempotencyRecords records;
  for (const char* key : {"book\nkey-intended", "book\nkey-done", "book\nkey-failed"}) {
    std::optional<store::Record> record = store.get(key);
    ASSERT_TRUE(record) << key;
    EXPECT_EQ(record->window, 60 * kSecond);
    EXPECT_EQ(records.restore(key, record->value, record->window),
              recovery::IdempotencyRecords::RestoreResult::kRestored)
        << key;
  }
  EXPECT_EQ(records.state("book\nkey-intended"), recovery::State::kOutcomeUnknown);
  EXPECT_EQ(records.state("book\nkey-failed"), recovery::State::kFailed);
  ASSERT_EQ(records.state("book\nkey-done"), recovery::State::kCompleted);
  EXPECT_EQ(records.find("book\nkey-done")->result, "the result");

  std::optional<store::Record> assignment = store.get("order");
  ASSERT_TRUE(assignment);
  EXPECT_EQ(hexadecimal(assignment->value) + "\n",
            read_file("frames.txt").substr(0, 2 * assignment->value.size() + 1));
}

TEST_F(StoredFormatsTest, SavedStateIsReadAndReserializedByteForByte) {
  store::FileDisk disk(copy_of("saved_state"));
  store::Store store(
      disk, {}, [this] { return clock(); }, 1);
  store.open();
  std::optional<store::Record> record = store.get("state");
  ASSERT_TRUE(record);
  std::optional<routing_state::SavedState> state = routing_state::parse_saved_state(record->value);
  ASSERT_TRUE(state);
  EXPECT_EQ(routing_state::serialize(*state), record->value);

  using routing::ServerState;
  const std::vector<ServerState> states = {
      ServerState::kAssumedHealthy, ServerState::kSlowStart,    ServerState::kServing, ServerState::kDraining,
      ServerState::kUnhealthy,      ServerState::kUnresponsive, ServerState::kLost};
  ASSERT_EQ(state->routing.nodes.size(), states.size());
  for (std::size_t i = 0; i < states.size(); ++i) {
    EXPECT_EQ(state->routing.nodes[i].state, states[i]);
    EXPECT_EQ(state->routing.nodes[i].incarnation, 101 + i);
  }
  const routing::Snapshot& snapshot = state->routing.snapshot;
  ASSERT_EQ(snapshot.nodes.size(), 3u);
  EXPECT_EQ(snapshot.nodes[0].health, routing::Health::kHealthy);
  EXPECT_EQ(snapshot.nodes[1].health, routing::Health::kDraining);
  EXPECT_EQ(snapshot.nodes[2].health, routing::Health::kOutOfRotation);
  ASSERT_EQ(snapshot.request_classes.size(), 3u);
  EXPECT_EQ(snapshot.request_classes[0].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(snapshot.request_classes[1].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(snapshot.request_classes[2].idempotency, Idempotency::kNone);
  using routing::RetryOn;
  EXPECT_EQ(
      snapshot.request_classes[0].retry_policy.on,
      (std::vector{RetryOn::kNeverSent, RetryOn::kRejected, RetryOn::kReset, RetryOn::kAttemptTimeout}));
  EXPECT_EQ(snapshot.tenants[0].quota, 2500u);
  EXPECT_EQ(state->routing.shards[5].node, "");
}

TEST_F(StoredFormatsTest, RaftLogIsReadAndAppliedToTheSameState) {
  consensus::StoreRaftStorage storage(
      copy_of("raft_log"), [this] { return clock(); }, [] {});
  EXPECT_EQ(storage.owner(), 3u);
  consensus::PersistentState persisted = storage.load();
  EXPECT_EQ(persisted.term, 4u);
  EXPECT_EQ(persisted.voted_for, 2u);
  EXPECT_EQ(persisted.first, 2u);
  ASSERT_EQ(persisted.entries.size(), 4u);
  ASSERT_TRUE(persisted.snapshot);
  EXPECT_EQ(persisted.snapshot->index(), 3u);
  EXPECT_EQ(persisted.snapshot->servers_size(), 3);

  agreement::ReplicatedState state;
  ASSERT_TRUE(state.restore(persisted.snapshot->data()));
  EXPECT_EQ(state.digest(), kSnapshotDigest);
  EXPECT_EQ(state.shards()[3].state, routing::ShardState::kQuarantined);
  for (std::uint64_t index : {4u, 5u}) {
    EXPECT_EQ(state.apply(persisted.entries[index - persisted.first].data()),
              agreement::ApplyResult::kApplied);
  }
  EXPECT_EQ(state.digest(), kLastDigest);
}

// ---- Message descriptors

// Identifies a message by its file and its index there, because type names are not sent on the wire.
std::string type_path(const google::protobuf::Descriptor& message) {
  std::string outer = message.containing_type() ? type_path(*message.containing_type()) + "."
                                                : message.file()->name() + " message ";
  return outer + std::to_string(message.index() + 1);
}

// Describes the type of a field: a message by its path, an enum by its numbers.
std::string type_of(const google::protobuf::FieldDescriptor& field) {
  if (field.message_type()) return type_path(*field.message_type());
  if (!field.enum_type()) return field.type_name();
  std::string out = "enum of";
  for (int i = 0; i < field.enum_type()->value_count(); ++i)
    out += " " + std::to_string(field.enum_type()->value(i)->number());
  return out;
}

// Appends the number, name and type of each field of the message and its nested messages.
void describe(const google::protobuf::Descriptor& message, std::string& out) {
  out += type_path(message) + "\n";
  for (int i = 0; i < message.field_count(); ++i) {
    const google::protobuf::FieldDescriptor& field = *message.field(i);
    out += "  " + std::to_string(field.number()) + " " + field.name() + ": " +
           (field.is_repeated() ? "repeated " : "") + type_of(field) +
           (field.real_containing_oneof() ? " in " + field.real_containing_oneof()->name() : "") + "\n";
  }
  for (int i = 0; i < message.nested_type_count(); ++i) describe(*message.nested_type(i), out);
}

// Appends the package, messages and service methods of a proto file.
void describe(const google::protobuf::FileDescriptor& file, std::string& out) {
  out += "package " + file.package() + "\n";
  for (int i = 0; i < file.message_type_count(); ++i) describe(*file.message_type(i), out);
  for (int i = 0; i < file.service_count(); ++i) {
    for (int k = 0; k < file.service(i)->method_count(); ++k) {
      const google::protobuf::MethodDescriptor& method = *file.service(i)->method(k);
      out += "/" + file.service(i)->full_name() + "/" + method.name() + ": " +
             (method.client_streaming() ? "stream " : "") + type_path(*method.input_type()) + " -> " +
             (method.server_streaming() ? "stream " : "") + type_path(*method.output_type()) + "\n";
    }
  }
}

TEST(MessageFormatsTest, MessageFieldsAreUnchanged) {
  std::string out;
  for (const google::protobuf::FileDescriptor* file :
       {agreement::Decision::descriptor()->file(), consensus::PeerMessage::descriptor()->file(),
        control::AdminAnswer::descriptor()->file(), routing_state::Snapshot::descriptor()->file(),
        standin::EchoRequest::descriptor()->file(), hollow::Command::descriptor()->file()}) {
    describe(*file, out);
  }
  EXPECT_EQ(out, read_file("messages.txt"));
}

TEST(FrameFormatsTest, EncodedFramesAreUnchanged) {
  fencing::ShardAssignment assignment{.epoch = {3, 9},
                                      .incarnation = 77,
                                      .shard_digits = 1,
                                      .shards = {1, 4, 15},
                                      .report_sequence = 5,
                                      .restart_version = 2};
  report::LoadReport report{.node = "n3",
                            .address = "127.0.0.3:4103",
                            .incarnation = 0x1122334455667788,
                            .sequence = 9,
                            .sent_unix = 1'700'000'000'000'000'001,
                            .mode = Mode::kProbing,
                            .warming_up = true,
                            .draining = true,
                            .engine_up = true,
                            .accepts_assignments = true,
                            .epoch = {3, 8},
                            .version = 4,
                            .window = 123,
                            .limit = 4.75,
                            .queued_requests = 17,
                            .running = 5,
                            .core_time = 987'654'321,
                            .request_classes = {{"read", 10, 2, 7, 6, 1}, {"book", 5, 4, 3, 2, 0}}};
  EXPECT_EQ(hexadecimal(report::encode(assignment)) + "\n" + hexadecimal(report::encode(report)) + "\n",
            read_file("frames.txt"));
}

}  // namespace
}  // namespace myrtlecroft
