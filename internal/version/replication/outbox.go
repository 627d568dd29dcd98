package replication

// sendCondition is what must be durable before a message may be sent.
type sendCondition uint8

const (
	// immediately is for messages that depend on no durable state.
	immediately sendCondition = iota
	// afterState is for messages that depend on the term and the vote.
	afterState
	// afterEntries is for messages that depend on the entries and the snapshot too.
	afterEntries
)

// heldMessage is a message that is queued in the current step or waits for the sync of a batch.
type heldMessage struct {
	after    uint64 // in queuedMessages the sendCondition, in heldMessages the sequence number of the batch
	envelope Envelope
}

// unsyncedBatch is a batch that is not yet confirmed, and the last entry that it makes durable.
type unsyncedBatch struct {
	sequence uint64
	last     uint64
}

// outbox collects what a step has to persist, and holds messages until the state that they depend on
// is durable.
//
// Invariant: a message held for a batch is sent only when that batch and all before it are synced.
type outbox struct {
	queuedMessages  []heldMessage // of this step; flush replaces their sendCondition by a sequence number
	heldMessages    []heldMessage
	unsyncedBatches []unsyncedBatch
	lastBatch       uint64 // sequence number of the newest batch
	stateBatch      uint64 // newest batch with a HardState
	entryBatch      uint64 // newest batch with entries or a snapshot
	syncedBatch     uint64
	dirtyState      bool   // the hard state has to be persisted
	dirtyFrom       uint64 // first entry to persist; zero if none
	rewrite         bool   // the snapshot and a new log have to be persisted
}

// send queues a message for the member with the identity m.To.
func (c *Core) send(m Message, after sendCondition) {
	to, ok := c.configuration.Find(m.To)
	if !ok {
		// The configuration of a new or lagging member may lack the leader to which it replies.
		to = Member{Identity: m.To, Name: c.senderName, Address: c.addressOf(c.senderName)}
	}
	c.sendTo(to, m, after)
}

// sendTo queues a message to the given receiver and fills in the fields of the sender.
func (c *Core) sendTo(to Member, m Message, after sendCondition) {
	m.From, m.FromName, m.Group = c.options.Identity, c.options.Name, c.configuration.Group
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	m.Barred = c.hardState.Barred
	c.queuedMessages = append(c.queuedMessages, heldMessage{after: uint64(after), envelope: Envelope{To: to, Message: m}})
}

// markEntriesDirty marks the entries from index on as not yet persisted.
func (c *Core) markEntriesDirty(index uint64) {
	if c.dirtyFrom == 0 || index < c.dirtyFrom {
		c.dirtyFrom = index
	}
}

// flush puts the changes of the step into a batch, and the messages whose condition is met into the
// output.
func (c *Core) flush() {
	if c.dirtyState || c.dirtyFrom != 0 || c.rewrite {
		c.out.Persist = c.newBatch()
	}
	for _, q := range c.queuedMessages {
		switch sendCondition(q.after) {
		case immediately:
			q.after = 0
		case afterState:
			q.after = c.stateBatch
		case afterEntries:
			q.after = max(c.stateBatch, c.entryBatch)
		}
		if q.after <= c.syncedBatch {
			c.out.Messages = append(c.out.Messages, q.envelope)
		} else {
			c.heldMessages = append(c.heldMessages, q)
		}
	}
	c.queuedMessages = c.queuedMessages[:0]
}

func (c *Core) newBatch() *Batch {
	c.lastBatch++
	b := &Batch{Sequence: c.lastBatch}
	if c.dirtyState || c.rewrite {
		state := c.hardState
		b.State = &state
		c.stateBatch = c.lastBatch
	}
	if c.rewrite {
		snapshot := c.log.snapshot
		b.Rewrite = &snapshot
		c.dirtyFrom = c.log.first
	}
	if c.dirtyFrom != 0 {
		b.Entries = c.log.entriesBetween(c.dirtyFrom, c.log.last())
		c.entryBatch = c.lastBatch
	}
	c.unsyncedBatches = append(c.unsyncedBatches, unsyncedBatch{sequence: c.lastBatch, last: c.log.last()})
	c.dirtyState, c.dirtyFrom, c.rewrite = false, 0, false
	return b
}

// confirmBatches records that the batches up to sequence are durable, and outputs the messages that
// waited for them.
func (c *Core) confirmBatches(sequence uint64) {
	if sequence <= c.syncedBatch {
		return
	}
	c.syncedBatch = sequence
	done := 0
	for ; done < len(c.unsyncedBatches) && c.unsyncedBatches[done].sequence <= sequence; done++ {
		c.log.synced = c.unsyncedBatches[done].last
	}
	c.unsyncedBatches = append(c.unsyncedBatches[:0], c.unsyncedBatches[done:]...)
	waiting := c.heldMessages[:0]
	for _, h := range c.heldMessages {
		if h.after <= sequence {
			c.out.Messages = append(c.out.Messages, h.envelope)
		} else {
			waiting = append(waiting, h)
		}
	}
	c.heldMessages = waiting
	if c.role == Candidate && c.candidateBatch != 0 && c.candidateBatch <= sequence {
		c.candidateBatch = 0
		c.recordVote(c.options.Identity, true)
	}
	if c.role == Leader {
		c.maybeCommit()
	}
}

// truncate removes the entry at index and all that follow, which conflict with the leader's. Unsynced
// batches no longer make them durable.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	for i := range c.unsyncedBatches {
		c.unsyncedBatches[i].last = min(c.unsyncedBatches[i].last, index-1)
	}
}
