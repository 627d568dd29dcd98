package replication

// LogEntries returns the entries in memory.
func (c *Core) LogEntries() []Entry { return c.log.entries }

// SnapshotIndex returns the index of the last entry that the snapshot covers.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// ReceivingSnapshot reports whether a snapshot is being received.
func (c *Core) ReceivingSnapshot() bool { return c.incoming != nil }
