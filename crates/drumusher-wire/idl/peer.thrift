/*
 * Messages between drumusher instances. Changes are additive only: new fields are optional, new
 * messages get new numbers, and numbers are never used again.
 *
 * Regenerate with `just wire` (see docs/DEVELOPMENT.md). Ages and spans are in microseconds, so
 * that instances need not agree on the time of day.
 */
namespace rs peer

/* Asks for a path to a backend server: after its answer, the connection carries the bytes of both sides. */
struct Tunnel {
  1: required string pool
  /* the start of the backend server: its name, and when it started, in Unix milliseconds */
  2: required string server
  3: optional i64 born
}

/* Answer to a tunnel; outcome: 0 connected, 1 the server refused the connection, 2 the server did not answer,
   3 this instance offers no path. */
struct TunnelReply {
  1: required i16 outcome
}

/* First message of the connecting instance. */
struct Hello {
  1: required string instance
  2: required string availability_zone
  3: required binary nonce
  /* the connection is a tunnel */
  4: optional Tunnel tunnel
  /* the connection carries only requests for pieces, and their answers */
  5: optional bool transfer
}

/* Answer of the accepting instance: its own nonce, and proof that it knows the fleet secret. */
struct Challenge {
  1: required string instance
  2: required binary nonce
  3: required binary proof
}

/* The connecting instance's proof. Nothing else is believed before it. */
struct Proof {
  1: required binary proof
}

/* One part of a prompt, in order; parts are shared between requests. */
struct Part {
  1: required i64 id
  2: required i32 tokens
}

/* What an instance sent for a pool in one part of the window in which repeats are bounded. */
struct Count {
  /* how many parts before the present one; a window has 20 */
  1: required i32 age
  /* requests that were asked for the first time */
  2: required i32 requests
  3: required i32 repeats
}

/* What one start of a backend server last said of itself, as the sender knows it. */
struct Notice {
  1: required string pool
  /* the start: the name, and when it started, in Unix milliseconds */
  2: required string server
  3: optional i64 born
  /* thousandths of requests a second that it takes from all instances together, and how long ago it named that */
  4: optional i64 limit
  5: optional i64 named
  /* how long ago the request was sent whose answer named no limit any more */
  6: optional i64 lifted
  7: optional bool leaving
  /* how much longer it wants nothing from the sender */
  8: optional i64 rest
  /* rejections in a second that it bears before it falls over */
  9: optional i32 brittle
}

/* A request wants to run in a pool, or is declared as running there (server is set). */
struct Ask {
  1: required binary id
  2: required string pool
  3: required string workspace
  4: required string traffic_class
  5: required i64 age
  6: required i32 prompt
  7: optional i64 prefix
  8: optional i32 produced
  9: optional bool unrepeatable
  10: optional i16 preemptions
  11: optional string avoid
  12: optional string server
  13: optional bool redirected
  /* expected tokens of the answer */
  14: optional i32 output
  15: optional list<Part> parts
  /* 0 or none: the request's first ask; 1: it was asked for before; 2: an attempt at it was handed over
     before */
  16: optional i16 attempt
  /* how long the entry has asked this dispatcher and no other for the pool; no longer sent */
  17: optional i64 lent
  /* how much of its part of the fleet's repeats is spent by other dispatchers, of 1000 */
  18: optional i16 spent
  /* what tells the request from others when it comes again: 16 bytes */
  19: optional binary digest
  /* what the entry sent so far, unless the dispatcher knows it */
  20: optional list<Count> sent
  /* what backend servers said of themselves, unless the dispatcher knows it */
  21: optional list<Notice> notices
  /* tells a stream from others: a hash of its workspace and of the caller's attempt that began it */
  22: optional i64 stream
  /* how much longer its caller waits, in milliseconds: the stream may be taken up for so long */
  23: optional i64 patience
  /* the caller has a part of it, and whether it named the attempt that began it */
  24: optional bool resumed
  /* the software version that began it, if the entry knows it */
  25: optional string version
  /* how much longer the caller waits for its answer, in microseconds */
  26: optional i64 left
}

/* The dispatcher has the ask and grants it when its turn comes. */
struct Queued {
  1: required binary id
}

struct Withdraw {
  1: required binary id
  2: required string pool
}

struct Progress {
  1: required binary id
  2: required i32 produced
  3: optional i64 first_token
  4: optional i64 gap
}

/* Reports on running attempts, batched. */
struct ProgressBatch {
  1: required string pool
  2: required list<Progress> reports
}

/* An attempt ended; outcome: 0 done, 1 cancelled, 2 preempted, 3 failed, 4 full. */
struct Finish {
  1: required binary id
  2: required string pool
  3: required i16 outcome
  4: required i32 produced
  /* what was not reported on yet */
  5: optional i64 first_token
  6: optional i64 gap
}

struct Grant {
  1: required binary id
  2: required string server
  3: required i64 waited
  4: required i16 choice
  /* the backend server from which what it keeps of the prompt is taken over */
  5: optional string source
  /* how long the first event is expected to take */
  6: optional i64 expected
  /* how much of what its entries lent of the fleet's repeats is spent, of 1000 */
  7: optional i16 spent
  /* whether it is tried on a backend server apart from other suspects */
  8: optional bool alone
  /* whether it is counted among those that a limit of the backend server allows */
  9: optional bool limited
  /* how long ago a request was sent whose answer lifted such a limit */
  10: optional i64 lifted
  /* for a stream of which the caller has a part, the software version that began it */
  11: optional string version
  /* the urgency of the request inside the engine, in place of the priority of its route; 0 is the highest */
  12: optional i16 urgency
}

struct Refuse {
  1: required binary id
  2: required i16 refusal
  3: required i64 retry_after
}

struct Preempt {
  1: required binary id
  2: required i16 stop
}

/* The receiver is not the dispatcher of the pool; the owner it believes in. */
struct Redirect {
  1: required binary id
  2: required string owner
}

/* Sent between pairs that share a role, and often enough to notice a dead connection. */
struct Heartbeat {
  /* how far the sender has followed; with a store the sum over its tables */
  1: required i64 offset
  2: optional bool leaving
  /* how far it has followed each table of the store: configuration, servers, instances */
  3: optional list<i64> ends
  /* whether it reads the store itself and gets answers */
  4: optional bool reads
  /* its entry in the store's table of instances, while it does not know that it is there */
  5: optional string entry
  /* the offset of the store's table of servers before which ends of entries are no lapses */
  6: optional i64 confirmed
  /* the era of each end: how often the store had come back from a copy */
  7: optional list<i64> eras
  /* the era of the offset of confirmed ends */
  8: optional i64 confirmed_era
  /* the version of the configuration in force */
  9: optional i64 version
  /* whether the sender reads the store itself and got answers to all its calls for two seconds; never passed on */
  10: optional bool steady
  /* how long ago the store last answered a call of the sender, if it reads the store itself, in milliseconds; never passed
     on */
  11: optional i64 answered_ms_ago
}

/* Records of the configuration stream, passed on in offset order. */
struct Records {
  1: required i64 first
  2: required list<binary> bodies
  /* when the platform took each, in milliseconds since 1970 */
  3: required list<i64> times
}

/* Asks for the configuration state, when the platform's log cannot be read. */
struct StateRequest {
  1: required i64 offset
  /* as in a heartbeat */
  2: optional list<i64> ends
  /* whether the sender fetches in pieces what is long; else it is sent whole */
  3: optional bool pieces
  /* as in a heartbeat */
  4: optional list<i64> eras
  /* whether the sender takes patches of long values */
  5: optional bool patches
}

struct State {
  1: required i64 offset
  2: required binary snapshot
}

/* Asks for a piece of what the receiver knows of a table of the store beyond what the sender knows. */
struct PieceRequest {
  /* as the places in the ends of a heartbeat */
  1: required i16 table
  /* the offset up to which the sender knows the table */
  2: required i64 known
  /* bytes that the sender has already, and the digest of the whole to which they belong; 0 and none at
     the beginning */
  3: required i64 at
  4: optional i64 digest
  /* the era of the offset */
  5: optional i64 era
  /* where others can ask the sender for the same update, if it follows referrals and takes patches */
  6: optional string address
  /* the sender waits for its turn and follows no more referrals */
  7: optional bool stays
}

/* Answer to a request for a piece: another instance that receives, or has received, the same update. */
struct Referral {
  1: required i16 table
  2: required i64 digest
  3: required string instance
  4: required string address
}

/* A piece of an update of one table, which is compressed as a whole. */
struct Piece {
  1: required i16 table
  2: required i64 digest
  /* where the piece begins, and how long the whole is, in bytes */
  3: required i64 at
  4: required i64 total
  5: required binary bytes
}

/* One statement of the operators' language, run at the receiver only. */
struct Query {
  1: required i64 id
  2: required string statement
}

struct Answer {
  1: required i64 id
  2: required list<string> lines
}

/* A backend server ended while it ran a request. */
struct Crash {
  1: required binary id
  2: required string pool
  3: required binary digest
  /* the start of the backend server that ended: its name, and when it started, in Unix milliseconds */
  4: required string server
  5: optional i64 born
  /* as in its grant */
  6: optional bool alone
  7: required string workspace
  8: required string route
  /* the parts of its prompt but the last, unless it had been answered for long */
  9: optional list<i64> parts
}

/* An attempt broke or was given up, and its backend server may have crashed: it does not answer, or may still be at work. The
   crash follows if there is one. */
struct Break {
  1: required Crash attempt
  /* the server answered since, so that it has not crashed yet */
  2: optional bool survived
}

/* A stream that may be taken up, in a list of streams. */
struct Stream {
  1: required i64 key
  /* the place of the software version that began it in the list of these */
  2: required i16 version
  /* how long ago it was granted, and how much longer its caller waits, in milliseconds */
  3: required i64 age
  4: required i64 patience
}

/* Streams that the sender granted or knows, for instances that may become the dispatcher of their pool. */
struct Streams {
  1: required string pool
  2: required list<string> versions
  3: required list<Stream> streams
}

union Message {
  1: Hello hello
  2: Challenge challenge
  3: Proof proof
  4: Ask ask
  5: Withdraw withdraw
  6: ProgressBatch progress
  7: Finish finish
  8: Grant grant
  9: Refuse refuse
  10: Preempt preempt
  11: Redirect redirect
  12: Heartbeat heartbeat
  13: Records records
  14: StateRequest state_request
  15: State state
  16: Query query
  17: Answer answer
  18: Queued queued
  19: PieceRequest piece_request
  20: Piece piece
  21: Crash crash
  22: Notice notice
  23: TunnelReply tunnel_reply
  24: Referral referral
  25: Break broken
  26: Streams streams
}
