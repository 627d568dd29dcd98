package replication

// incomingSnapshot collects the chunks of a snapshot that a leader sends.
type incomingSnapshot struct {
	from          Identity
	index         uint64
	term          uint64
	total         uint64
	configuration Configuration
	data          []byte
}

// compactLog compacts the log after the caller has taken a snapshot of its state machine.
func (c *Core) compactLog(e Snapshotted) {
	term, known := c.log.term(e.Index)
	if !known || e.Index > c.applied || e.Index <= c.log.snapshot.Index || len(e.Data) > MaxSnapshotBytes {
		return
	}
	configuration, _ := c.log.configurationAt(e.Index)
	c.log.compact(Snapshot{Index: e.Index, Term: term, Configuration: configuration, Data: e.Data}, c.options.KeptEntries)
	c.rewrite = true
}

// startSendingSnapshot starts to send the newest snapshot to a member, which installs it.
func (c *Core) startSendingSnapshot(id Identity, p *progress) {
	snapshot := c.log.snapshot
	p.state, p.snapshot, p.offset, p.retryFrom = installing, &snapshot, 0, c.now
	p.inflight = p.inflight[:0]
	c.sendChunk(id, p)
}

// sendChunk sends the chunk at the current offset. The next one is sent after the reply.
func (c *Core) sendChunk(id Identity, p *progress) {
	s := p.snapshot
	total := uint64(len(s.Data))
	end := min(p.offset+c.options.ChunkBytes, total)
	c.send(Message{Type: MessageSnapshot, To: id, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Configuration: s.Configuration,
		Offset: p.offset, Total: total, Data: s.Data[p.offset:end],
	}}, immediately)
}

// handleSnapshotReply sends the chunk at the offset that the member requests.
func (c *Core) handleSnapshotReply(m *Message, p *progress) {
	if p.state != installing || m.Index != p.snapshot.Index || m.Hint > uint64(len(p.snapshot.Data)) || m.Hint == p.offset {
		return
	}
	p.offset, p.retryFrom = m.Hint, c.now
	c.sendChunk(m.From, p)
}

// handleChunk appends a chunk and installs the snapshot once it is complete. The reply to a chunk at
// an unexpected offset holds the expected one.
func (c *Core) handleChunk(m *Message) {
	chunk := m.Chunk
	if chunk.Index <= c.log.committed {
		c.send(Message{Type: MessageAppendReply, To: m.From, Index: c.log.committed}, afterEntries)
		return
	}
	in := c.incoming
	if in == nil || in.from != m.From || in.index != chunk.Index || in.term != chunk.Term || in.total != chunk.Total {
		in = &incomingSnapshot{from: m.From, index: chunk.Index, term: chunk.Term, total: chunk.Total, configuration: chunk.Configuration}
		c.incoming = in
	}
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
	if uint64(len(in.data)) < in.total {
		c.send(Message{Type: MessageSnapshotReply, To: m.From, Index: in.index, Hint: uint64(len(in.data))}, afterState)
		return
	}
	c.incoming = nil
	c.install(Snapshot{Index: in.index, Term: in.term, Configuration: in.configuration, Data: in.data})
	c.send(Message{Type: MessageAppendReply, To: m.From, Index: in.index}, afterEntries)
}

// install replaces the log with a snapshot. If the log already holds the last entry of the snapshot,
// it only commits the entries up to it and keeps those after it.
func (c *Core) install(snapshot Snapshot) {
	if c.log.matches(snapshot.Index, snapshot.Term) {
		c.commitTo(snapshot.Index)
		return
	}
	c.log.reset(snapshot)
	c.log.synced = 0
	c.unsyncedBatches = c.unsyncedBatches[:0]
	c.applied = snapshot.Index
	c.rewrite = true
	c.out.Restore = &snapshot
	c.refreshConfiguration()
}
