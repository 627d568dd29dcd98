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

// handleWriteResult keeps the error of the write, if any, starts the next write and reports synced
// batches to the core.
func (r *Replica) handleWriteResult(w writeResult) error {
	wasFailing := r.storageError != ""
	r.storageError = ""
	if w.err != nil {
		r.storageError = w.err.Error()
		if r.options.OnError != nil {
			r.options.OnError(w.err)
		}
	}
	if failing := w.err != nil; failing != wasFailing {
		if err := r.step(replication.StorageChanged{Failing: failing}); err != nil {
			return err
		}
	}
	if w.finished {
		r.writing = false
		r.startWrite()
	}
	if w.lastBatch == 0 {
		return nil
	}
	return r.step(replication.Synced{Sequence: w.lastBatch})
}

// runWriter is the writer goroutine.
func (r *Replica) runWriter(ctx context.Context) error {
	var lists [][]replication.Batch
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.writes.Ready():
		}
		lists, _ = r.writes.Drain(lists)
		for _, batches := range lists {
			if err := r.writeBatches(ctx, batches); err != nil {
				return err
			}
		}
	}
}

// writeBatches writes a list of batches. While the disk is full it retries the remaining batches.
func (r *Replica) writeBatches(ctx context.Context, batches []replication.Batch) error {
	for {
		done, err := r.store.Write(batches)
		if err == nil {
			r.written.Push(writeResult{lastBatch: done, finished: true})
			return nil
		}
		if failure.KindOf(err) != failure.Unavailable {
			return err
		}
		for len(batches) > 0 && batches[0].Sequence <= done {
			batches = batches[1:]
		}
		r.written.Push(writeResult{lastBatch: done, err: err})
		timer := time.NewTimer(diskRetryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}
