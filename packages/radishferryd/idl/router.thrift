/* Messages between the granting host and the other hosts of a deployment.
 *
 * Each message is one Frame, in which exactly one field is set, encoded by
 * the binary protocol and preceded by its length as a 4-byte big-endian
 * integer.
 */
namespace py radishferryd.gen.router

struct Hello {
  1: string host
  2: string data_centre
  /* Address as ip:port on which the sender takes requests that other hosts
   * relay; missing if it takes none.
   */
  3: optional string relay_address
}

/* Loads and speeds of servers. Each list has one entry per server, as in
 * KeyMapPush.
 */
struct ServerLoads {
  /* CRC-32 of the server's id: the ids would take three times the bytes. */
  1: list<i32> servers
  /* Requests at the server, running or queued, in quarters; -128 if it is
   * not told.
   */
  2: list<i8> loads
  /* Natural logarithm of the time of a request on a free slot, relative to
   * the service, in thirtieths; -128 if it is not told.
   */
  3: list<i8> log_times
}

/* Heartbeat that the granting host sends at a fixed interval. */
struct Beat {
  1: i32 hosts
  /* Age of the sender's latest list of servers, in seconds. */
  2: double registry_age_s
  3: bool is_stopping
  /* Version of the store row that holds the sender's term as granting host. */
  4: i64 term_version
  /* Whether all grants of keys have the usual duration. Under this version
   * of the term, longer ones follow only if the receiver consents.
   */
  5: bool has_usual_holds
  /* Whether the sender requests consent to longer grants. */
  6: bool wants_long_holds
  /* Seconds since the store last answered the sender with its newest
   * configuration.
   */
  7: double configuration_age_s
  /* Servers whose load or speed has changed; older versions ignore both. */
  8: optional ServerLoads loads
}

/* Consents to longer grants under one version of the term. */
struct LongHoldConsent {
  1: i64 term_version
}

/* The configuration of the operators as stored by the platform. */
struct ConfigurationPush {
  1: binary document
}

struct ServerEntry {
  1: string server_id
  2: i64 born_ms
  3: string service_name
  4: string ip
  5: i32 port
  6: string data_centre
  7: i32 slots
  8: bool is_leaving
  9: double warmup_s
}

/* Servers that changed, or all servers if is_full is set. */
struct ServersPush {
  1: bool is_full
  2: list<ServerEntry> changed
  3: list<string> gone
  4: double age_s
  /* Data centres whose servers get no requests; missing if the sender is of
   * an older version.
   */
  5: optional list<string> evacuated
}

struct Owner {
  1: string server_id
  2: i64 born_ms
}

/* Segments that replace the previous entries for their keys. Each list has
 * one entry per segment; one struct per segment would take four times the
 * bytes.
 */
struct KeyMapPush {
  1: string service_name
  2: list<Owner> owners
  /* Index of each segment's owner in the list owners. */
  3: list<i16> owner_numbers
  4: list<i32> start_keys
  5: list<i32> end_keys
  6: list<i64> fences
  /* Indexes of the segments that another server may still hold. */
  7: list<i16> unsettled
}

/* Total time and number of the requests that did not queue at a server. */
struct ServerSpeed {
  1: string server_id
  2: double total_s
  3: i32 answers
}

/* Announcement of a server in a response to a host. */
struct ServerNotice {
  1: string server_id
  2: i64 born_ms
  3: bool is_leaving
  /* Seconds for which that host should send it no request. */
  4: double pause_s
  /* Seconds since the response. */
  5: double age_s
  /* Whether the server has ever named a limit. */
  6: bool has_named_limit
  /* Requests a second that the server takes from all hosts together; missing
   * if it names no limit any more.
   */
  7: optional double limit_per_s
}

/* Loss of a connection to a server that has crashed. */
struct Crash {
  /* Fingerprint of the request that was in flight on it. */
  1: i64 fingerprint
  /* Seconds since the request was sent, and since the connection was lost. */
  2: double sent_ago_s
  3: double lost_ago_s
}

struct LoadReport {
  /* Key of each request since the last report, by service. */
  1: map<string, list<i32>> keys
  2: list<ServerSpeed> speeds
  /* Fingerprints of requests in flight when servers crashed, as in crashes,
   * for a granting host of an older version.
   */
  3: list<i64> suspects
  4: list<ServerNotice> notices
  /* Whether the sender reaches servers and does not stop. */
  5: bool reaches_servers
  /* Missing if the sender is of an older version. */
  6: optional list<Crash> crashes
  /* Fingerprints of suspect requests that a server has completed. */
  7: optional list<i64> completed
  /* Missing if the sender is of an older version, or has seen none. */
  8: optional ServerLoads loads
}

/* Host that reaches servers and takes requests that other hosts relay. */
struct RelayHost {
  1: string host
  2: string data_centre
  3: string ip
  4: i32 port
}

/* Hosts to which the receiver may relay requests. Sent only to hosts that
 * named a relay address, since older versions do not know this message.
 */
struct RelayHosts {
  1: list<RelayHost> hosts
}

/* Fingerprints of requests that crashed servers, with crash counts. The count
 * is 0 if such a request has been completed since; older versions ignore that.
 */
struct PoisonPush {
  1: map<i64, i32> crashes
}

/* A large frame, including its length prefix, compressed by zlib. */
struct Packed {
  1: binary frame
}

struct Frame {
  1: optional Hello hello
  2: optional Beat beat
  3: optional ConfigurationPush configuration_push
  4: optional ServersPush servers_push
  5: optional KeyMapPush key_map_push
  6: optional LoadReport load_report
  7: optional PoisonPush poison_push
  8: optional Packed packed
  9: optional LongHoldConsent long_hold_consent
  10: optional RelayHosts relay_hosts
}
