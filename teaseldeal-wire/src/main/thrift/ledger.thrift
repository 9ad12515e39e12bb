// Records of the ledger as they stand on the platform's log. Field numbers are never reused;
// readers ignore fields they do not know.
namespace java org.teaseldeal.wire.gen.ledger

struct Join { 1: string instance, 2: string dataCentre, 3: string peerAddress }
struct Leave { }
struct PublishSettings { 1: string subtree, 2: i64 baseRevision, 3: string author, 4: string toml }
struct CreateBudget { 1: string account, 2: i64 tokens, 3: string author, 4: string operation }
struct TopUp { 1: string account, 2: i64 tokens, 3: string author, 4: string operation }
struct RequestLease { 1: string serviceId, 2: i64 wanted, 3: i64 minimum }
// Tokens are returned to the lease they were granted under, which may be another incarnation's.
struct ReturnLease { 1: string serviceId, 2: string source, 3: i64 tokens }
struct Draw { 1: string source, 2: i64 tokens }
struct Charge {
  1: string origin, 2: i64 number, 3: string request, 4: bool keyed,
  5: string serviceId, 6: string customer, 7: list<Draw> draws
}
struct WriteOff {
  1: string origin, 2: i64 number, 3: string serviceId, 4: list<Draw> draws, 5: string reason
}
struct Claim {
  1: string key, 2: string serviceId, 3: string customer, 4: string bodyDigest
}
struct ClaimOutcome {
  1: string key, 2: i32 status, 3: string contentType, 4: binary body, 5: bool bodyKept
}
struct ReleaseClaim { 1: string key }
struct Retire { 1: string incarnation, 2: string author }
struct TakeOrders { 1: string pool, 2: i64 previousTerm }
struct SnapshotChunk {
  1: i64 coveredOffset, 2: i32 index, 3: i32 count, 4: string digest, 5: binary bytes
}

union Entry {
  1: Join join, 2: Leave leave, 3: PublishSettings publishSettings, 4: CreateBudget createBudget,
  5: TopUp topUp, 6: RequestLease requestLease, 7: ReturnLease returnLease, 8: Charge charge,
  9: WriteOff writeOff, 10: Claim claim, 11: ClaimOutcome claimOutcome,
  12: ReleaseClaim releaseClaim, 13: Retire retire, 14: TakeOrders takeOrders,
  15: SnapshotChunk snapshotChunk
}

// One appended record: everything a writer had to say since its last one.
struct Batch { 1: i32 version, 2: string writer, 3: i64 sequence, 4: i64 foldedTo, 5: list<Entry> entries }
