// Package replication implements the consensus core of the replicated log: a deterministic state
// machine that turns messages, proposals, ticks and confirmations of durable writes into messages to
// send, records to persist and committed entries to apply. It performs no I/O and reads no clock.
//
// The algorithm is Raft with pre-vote, check-quorum, learners, leadership transfer and single-member
// changes. A Core is driven by Step; the caller carries out the Output in any order, except that
// batches are persisted in the order of their sequence numbers. Messages that depend on durable state
// are held inside the core until Synced confirms the batch that contains it.
//
// A basis is a pair of an index and a time, from which local reads derive their freshness: every entry
// committed before the time has at most this index. It corresponds to Raft's ReadIndex, together with
// the send time of the heartbeat round that confirmed the index.
//
// Members of a group with automatic membership (Options.AutomaticMembership) are added and replaced by
// the leader; otherwise members are added, removed and replaced only by an operator's command. A
// joiner is a process that has requested to join the group.
//
// A member is barred when its data folder is older than state that it has acknowledged, for example
// after a restore from a backup. A barred member neither votes nor counts towards a quorum.
//
// Invariants:
//   - A vote or an acknowledgement leaves the core only after the state that it depends on is synced.
//   - A term has at most one leader: a candidate counts only the votes of voters in its own
//     configuration.
//   - An entry is committed only when a quorum has synced the log up to it or further, and the last
//     entry that the quorum has synced is of the leader's own term.
//   - The index of a basis includes every entry committed before the time of the basis.
//   - A member is addressed by the identity of its data folder. A message for another identity is
//     ignored, so a member with a replaced data folder neither votes nor acknowledges for the previous
//     one.
package replication
