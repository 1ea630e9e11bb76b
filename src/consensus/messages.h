// Conversion between libraft's messages, entries and configurations and their protobuf form. Called by
// RaftNode and its I/O adapter; stateless.
#pragma once

extern "C" {
#include <raft.h>
}

#include "consensus.pb.h"

namespace myrtlecroft::consensus {

void to_proto(const raft_message& in, PeerMessage& out);
// Returns false where the message is not one of libraft's or is malformed. Buffers that libraft takes over
// are allocated with raft_malloc.
bool from_proto(const PeerMessage& in, raft_message& out);

void to_proto(const raft_entry& in, LogEntry& out);
void to_proto(const raft_configuration& in, LogSnapshot& out);
// Returns false where the list has more than 64 servers or libraft rejects one of them.
bool from_proto(const LogSnapshot& in, raft_configuration& out);
// Copies all entries into one batch, as libraft requires of received entries; nullptr for none.
raft_entry* entries_for_library(const google::protobuf::RepeatedPtrField<LogEntry>& in);
// Copies the bytes to a buffer from raft_malloc.
raft_buffer buffer_for_library(const std::string& bytes);

}  // namespace myrtlecroft::consensus
