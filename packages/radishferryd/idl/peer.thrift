/* Messages between the hosts of radishferry.
 *
 * Each message is one Frame, in which exactly one field is set, encoded by
 * the binary protocol and preceded by its length as a 4-byte big-endian
 * integer.
 */

struct Challenge {
  1: string host
  2: string data_centre
  3: i64 incarnation
  4: binary nonce
}

struct Proof {
  1: binary mac
}

struct Heartbeat {
  1: i64 sequence
  2: i64 answered_sequence
  3: i64 incarnation
  4: string state
  5: i64 manifest_version
}

struct Header {
  1: string name
  2: string value
}

struct RequestHead {
  1: i64 stream
  2: string service_name
  3: string kind
  4: string server
  5: i32 range_id
  6: i64 epoch
  7: string method
  8: string target
  9: list<Header> headers
  10: i32 deadline_ms
  11: string request_id
  12: string caller
  13: string key
  14: bool has_body
  15: bool is_first
  16: i64 body_hash
  17: i32 crashes
}

struct RequestChunk {
  1: i64 stream
  2: binary data
  3: bool is_last
}

struct ResponseHead {
  1: i64 stream
  2: i32 status
  3: list<Header> headers
}

struct ResponseChunk {
  1: i64 stream
  2: binary data
  3: bool is_last
}

struct Credit {
  1: i64 stream
  2: i32 size
}

struct Cancel {
  1: i64 stream
}

/* Ends a stream without a complete response of the server. */
struct Refused {
  1: i64 stream
  2: string outcome
  3: string reason
  4: i32 retry_after_ms
  5: string detail
}

struct ActiveRoute {
  1: string service_name
  2: i32 range_id
  3: i64 epoch
  4: string server
}

struct ActiveCoordinator {
  1: string service_name
  2: string server
  3: string host
  4: i64 term
}

/* A range that its coordinator could not activate or has lost. */
struct Orphan {
  1: string service_name
  2: i32 range_id
  3: i64 epoch
  4: string server
}

struct RouteDelta {
  1: list<ActiveRoute> routes
  2: list<ActiveCoordinator> coordinators
  3: list<Orphan> orphans
  4: i32 hops
}

struct Row {
  1: string name
  2: i64 version
  3: binary value
}

struct AssignmentPush {
  1: list<Row> rows
  2: i32 hops
}

struct ManifestPush {
  1: i64 version
  2: binary document
  3: i32 hops
}

struct ReleaseRequest {
  1: string service_name
  2: string server
  3: i32 range_id
  4: i64 epoch
}

struct Released {
  1: string service_name
  2: string server
  3: i32 range_id
  4: i64 epoch
}

struct Promote {
  1: string service_name
  2: string server
  3: i64 server_term
  4: map<i32, i64> epochs
  5: string lost_server
}

struct LossQuery {
  1: string service_name
  2: string server
  3: i64 term
  4: i64 query_id
}

struct LossReply {
  1: string service_name
  2: string server
  3: i64 query_id
  4: bool has_fenced
  5: i64 base_term
}

struct TakeOver {
  1: string service_name
  2: list<string> servers
  3: list<i64> terms
}

struct PoisonEntry {
  1: string service_name
  2: string kind
  3: string key
  4: i64 body_hash
  5: list<string> crashes
  6: i64 expires_in_ms
}

struct PoisonPush {
  1: list<PoisonEntry> entries
  2: i32 hops
}

struct SnapshotRequest {
  1: i64 manifest_version
}

/* Load of a server as seen by its coordinator, for load balancing. */
struct ServerLoad {
  1: string service_name
  2: string server
  3: i32 in_flight
  4: i32 waiting
  5: string state
}

struct LoadReport {
  1: list<ServerLoad> loads
  2: i32 hops
}

/* The host list of the platform as JSON, read by a relay. */
struct HostListPush {
  1: binary hosts
  2: i32 hops
}

/* Requests per second of ranges and hot keys, for the host that plans the
 * placement.
 */
struct DemandReport {
  1: string service_name
  2: map<i32, double> ranges
  3: map<i64, double> hot_keys
  4: string host
  5: i32 hops
}

struct Frame {
  1: optional Challenge challenge
  2: optional Proof proof
  3: optional Heartbeat heartbeat
  4: optional RequestHead request_head
  5: optional RequestChunk request_chunk
  6: optional ResponseHead response_head
  7: optional ResponseChunk response_chunk
  8: optional Credit credit
  9: optional Cancel cancel
  10: optional Refused refused
  11: optional RouteDelta route_delta
  12: optional AssignmentPush assignment_push
  13: optional ManifestPush manifest_push
  14: optional ReleaseRequest release_request
  15: optional Released released
  16: optional Promote promote
  17: optional LossQuery loss_query
  18: optional LossReply loss_reply
  19: optional TakeOver take_over
  20: optional PoisonPush poison_push
  21: optional SnapshotRequest snapshot_request
  22: optional LoadReport load_report
  23: optional DemandReport demand_report
  24: optional HostListPush host_list_push
}
