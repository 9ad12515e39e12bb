// Messages between instances. Every message travels in an Envelope over TCP with a length prefix.
// A receiver counts and ignores a kind or field it does not know: instances are replaced a few at
// a time, so neighbours may be newer.
include "ledger.thrift"
namespace java org.teaseldeal.wire.gen.peer

struct StreamPosition { 1: i32 stream, 2: i64 foldedTo }
struct ServerShare { 1: string server, 2: i32 outstanding, 3: double waitMillis }
struct Heartbeat {
  1: string instance, 2: string dataCentre, 3: string address, 4: bool draining, 5: bool ready,
  6: list<StreamPosition> positions, 7: list<ServerShare> shares, 8: list<string> leavingServers,
  9: i64 settingsRevision
}
struct Parcel { 1: string source, 2: i64 tokens }
// The sender wants tokens of a service's budget from the receiver's idle lease.
struct DrawRequest { 1: i64 transfer, 2: string serviceId, 3: i64 wanted, 4: i64 minimum }
// Repeated unchanged for a repeated transfer number; an empty list says none is idle.
struct DrawReply { 1: i64 transfer, 2: string serviceId, 3: list<Parcel> parcels }
struct DrawAck { 1: i64 transfer }
// The receiver keeps the charges and appends those that the log has not shown when the sender is gone.
struct ChargeBackup { 1: i64 number, 2: list<ledger.Entry> charges }
struct ChargeBackupAck { 1: i64 number }
struct ServersLeaving { 1: list<string> servers }
struct Quarantine { 1: string fingerprint, 2: i32 crashes, 3: i64 untilMillis, 4: list<string> servers }
struct StateRequest { 1: i32 stream }
struct StateChunk { 1: i32 stream, 2: i64 foldedTo, 3: i32 index, 4: i32 count, 5: string digest, 6: binary bytes }

union Message {
  1: Heartbeat heartbeat, 2: DrawRequest drawRequest, 3: DrawReply drawReply, 4: DrawAck drawAck,
  5: ChargeBackup chargeBackup, 6: ChargeBackupAck chargeBackupAck, 7: ServersLeaving serversLeaving,
  8: Quarantine quarantine, 9: StateRequest stateRequest, 10: StateChunk stateChunk
}

struct Envelope { 1: i32 version, 2: string sender, 3: Message message }
