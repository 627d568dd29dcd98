// Package replication implements the consensus core of the replicated log: a deterministic state
// machine that turns messages, proposals, ticks and confirmations of durable writes into messages to
// send, records to persist and committed entries to apply. It performs no I/O and reads no clock.
//
// The algorithm is Raft with pre-vote, check-quorum, learners, leadership transfer and
// single-member changes. A Core is driven by Step; the caller carries out the Output in any order,
// except that batches are persisted in the order of their sequence numbers. Messages that depend on
// durable state are held inside the core until Synced confirms the batch that contains it.
//
// A basis is a freshness bound for local reads: every entry committed before the time of the basis
// has an index of at most the index of the basis.
//
// A member is barred when its data folder is older than state that it has acknowledged, for example
// after a restore from a backup. A barred member neither votes nor counts towards a quorum.
//
// Invariants:
//   - A vote or an acknowledgement leaves the core only after the state that it depends on is synced.
//   - A term has at most one leader: only votes of voters in the own configuration are counted.
//   - An entry is committed only when a quorum has synced it and it, or a later entry, is of the
//     leader's own term.
//   - The index of a basis includes every entry committed before the time of the basis.
//   - A member is addressed by the identity of its data folder. A message for another identity is
//     ignored, so a replacement folder neither votes nor acknowledges for the previous one.
package replication
