/** Messages between the processes of marjoramstep. Times are in milliseconds. */
namespace py marjoramstep_wire.generated

struct Header {
  1: required string name
  2: required string value
}

struct Hello {
  1: required i32 protocol_version
  2: required string process_id
  3: required string role
  4: required binary nonce
  5: required i64 table_version
  6: required string connection_class
  7: required string zone
}

struct HelloProof {
  1: required binary mac
}

/** Lowest weight that a deep service still admits; 0 when it sheds nothing. */
struct ServicePressure {
  1: required string service_name
  2: required i32 admitted_weight
  3: required double age_ms
}

struct LoadReport {
  1: required i32 in_flight
  2: required i32 limit
  3: required i32 queue_length
  4: required double queue_delay_ms
  5: required i32 admitted_weight
  6: required list<ServicePressure> pressures
  7: required string server_state
}

struct CallStart {
  1: required i64 stream_id
  2: required string service_name
  3: required string method
  4: required string path
  5: required list<Header> headers
  6: required binary body
  7: required bool body_complete
  8: required string request_key
  9: required string root_id
  10: required string row_name
  11: required i32 weight
  12: required i32 depth
  13: required double budget_ms
  14: required i32 retry_tokens
  15: required i64 table_version
  16: required string size_class
  17: required bool repeatable
  18: required i64 body_length
  // Whether the sender can try another server; absent means no.
  19: optional bool may_move_on
  // Whether an earlier send of the call, or of one above it, has reached a backend
  // server; absent means no.
  20: optional bool is_repeat
  // Whether an earlier run of the call, or of one above it, may have made the calls that
  // its run makes; absent means no.
  21: optional bool runs_again
}

struct BodyPart {
  1: required i64 stream_id
  2: required binary data
  3: required bool last
}

struct Credit {
  1: required i64 stream_id
  2: required i32 credit_bytes
}

struct AnswerStart {
  1: required i64 stream_id
  2: required i32 status
  3: required list<Header> headers
  4: required binary body
  5: required bool body_complete
  6: required string outcome
  7: required string reason
  8: required i32 retry_tokens
  9: required LoadReport load
  10: required i64 table_version
}

/** The call did not run at the sender and never will. */
struct Refusal {
  1: required i64 stream_id
  2: required string reason
  3: required string detail
  4: required i32 retry_tokens
  5: required LoadReport load
  6: required i64 table_version
  7: required double retry_after_ms
  8: required bool reached_server
}

/** The call may have run, and its answer is not available. */
struct CallFailed {
  1: required i64 stream_id
  2: required string reason
  3: required string detail
  4: required i32 retry_tokens
  5: required LoadReport load
  6: required i64 table_version
  7: required bool crash_suspect
}

struct Cancel {
  1: required i64 stream_id
}

struct CancelReply {
  1: required i64 stream_id
  2: required bool ran
}

struct TableGet {
  1: required i64 have_version
}

/** table_json is empty when the sender has nothing newer; confirmed_ms is how long
    ago a quorum confirmed the version, negative when it is not confirmed. */
struct TableReply {
  1: required i64 version
  2: required binary table_json
  3: required double confirmed_ms
}

struct TableNotice {
  1: required i64 version
}

/** Peer addresses of all replicas that the sender knows. */
struct ReplicaList {
  1: required list<string> addresses
}

struct Member {
  1: required string server_id
  2: required string node_id
  3: required string service_name
  4: required string address
  5: required string zone
  6: required i32 slots
  7: required i32 connections
  8: required string state
  9: required i64 incarnation
  10: required i64 sequence
  // Whether the server has deregistered, so that its incarnation does not come back;
  // absent means no.
  11: optional bool has_left
}

struct RegisterServer {
  1: required Member member
  2: required double lease_ms
}

struct RegisterReply {
  1: required string server_id
  2: required i64 sequence
  3: required i64 table_version
}

struct WatchService {
  1: required string service_name
}

struct MemberUpdate {
  1: required string service_name
  2: required bool full
  3: required list<Member> members
}

struct ClaimRequest {
  1: required i64 request_id
  2: required string request_key
  3: required string attempt_id
  4: required string node_id
  5: required string row_name
  6: required string fingerprint
}

/** verdict: granted, running, done, abandoned, closed, none, recorded, not-holder,
    expired, bad-key, key-reused, unavailable, not-leader. "expired" says that the key
    cannot be claimed any more, not that it never ran. */
struct ClaimReply {
  1: required i64 request_id
  2: required string verdict
  3: required string detail
  4: required binary stored_answer
  5: required string leader_address
}

/** end_state: done or abandoned. */
struct ClaimEnd {
  1: required i64 request_id
  2: required string request_key
  3: required string attempt_id
  4: required string end_state
  5: required binary stored_answer
}

struct ClaimLookup {
  1: required i64 request_id
  2: required string request_key
  3: required bool close
}

struct QuarantineReport {
  1: required string service_name
  2: required string fingerprint
  3: required string report_id
}

struct QuarantineNotice {
  1: required string service_name
  2: required string fingerprint
  3: required double remaining_ms
}

struct StoredAnswer {
  1: required i32 status
  2: required list<Header> headers
  3: required binary body
  4: required bool body_stored
  5: required i64 body_length
  6: required string body_sha256
}

/** kind: normal, membership, noop. */
struct LogEntry {
  1: required i64 index
  2: required i64 term
  3: required string kind
  4: required binary payload
}

struct VoteRequest {
  1: required i64 term
  2: required string candidate_id
  3: required i64 last_index
  4: required i64 last_term
  5: required bool pre_vote
}

struct VoteReply {
  1: required i64 term
  2: required string voter_id
  3: required bool granted
  4: required bool pre_vote
}

struct AppendRequest {
  1: required i64 term
  2: required string leader_id
  3: required i64 previous_index
  4: required i64 previous_term
  5: required list<LogEntry> entries
  6: required i64 commit_index
  7: required i64 round_id
}

struct AppendReply {
  1: required i64 term
  2: required string follower_id
  3: required bool success
  4: required i64 match_index
  5: required i64 hint_index
  6: required i64 round_id
}

struct SnapshotPart {
  1: required i64 term
  2: required string leader_id
  3: required i64 last_index
  4: required i64 last_term
  5: required binary membership
  6: required i64 offset_bytes
  7: required binary data
  8: required bool last
}

struct SnapshotReply {
  1: required i64 term
  2: required string follower_id
  3: required i64 last_index
  4: required i64 offset_bytes
  5: required bool accepted
}

/** An empty replica asks to be admitted; the leader lists it until an operator admits it. */
struct JoinRequest {
  1: required string replica_id
  2: required string address
}

struct JoinReply {
  1: required string replica_id
  2: required bool accepted
  3: required string detail
  4: required string leader_address
}

struct Ping {
  1: required i64 sequence
}

struct Pong {
  1: required i64 sequence
}
