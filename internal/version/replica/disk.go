package replica

import (
	"context"
	"time"

	"pollenpaddle/internal/failure"
	"pollenpaddle/internal/version/replication"
)

// startWrite passes the unwritten batches to the writer if it is idle. Batches that are added during a
// write share the next sync.
func (r *Replica) startWrite() {
	if r.writing || len(r.unwritten) == 0 {
		return
	}
	if r.writes.TryPush(r.unwritten) {
		r.unwritten, r.writing = nil, true
	}
}

// writeDone reports durable batches to the core.
func (r *Replica) writeDone(w writeResult) error {
	r.storageFault = ""
	if w.fault != nil {
		r.storageFault = w.fault.Error()
		if r.options.OnError != nil {
			r.options.OnError(w.fault)
		}
	}
	if w.finished {
		r.writing = false
		r.startWrite()
	}
	if w.sequence == 0 {
		return nil
	}
	return r.step(replication.Synced{Sequence: w.sequence})
}

// runWriter is the writer goroutine.
func (r *Replica) runWriter(ctx context.Context) error {
	var groups [][]replication.Batch
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.writes.Ready():
		}
		groups, _ = r.writes.Drain(groups)
		for _, batches := range groups {
			if err := r.writeGroup(ctx, batches); err != nil {
				return err
			}
		}
	}
}

// writeGroup writes one group of batches. While the disk is full it retries the remaining batches.
func (r *Replica) writeGroup(ctx context.Context, batches []replication.Batch) error {
	for {
		done, err := r.store.Write(batches)
		if err == nil {
			r.written.Push(writeResult{sequence: done, finished: true})
			return nil
		}
		if failure.KindOf(err) != failure.Unavailable {
			return err
		}
		for len(batches) > 0 && batches[0].Sequence <= done {
			batches = batches[1:]
		}
		r.written.Push(writeResult{sequence: done, fault: err})
		timer := time.NewTimer(diskRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}
