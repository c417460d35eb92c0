package replica

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/core/raft"
)

// process writes the log, sends messages and applies committed entries until raft has
// no more work.
func (r *Replica) process() error {
	for {
		r.updateRole()
		rd, hasWork := r.raft.Ready()
		if !hasWork {
			return nil
		}
		r.network.send(rd.EarlyMessages)
		if err := r.save(&rd); err != nil {
			return err
		}
		r.network.send(rd.Messages)
		if err := r.apply(&rd); err != nil {
			return err
		}
		r.raft.Advance(rd)
		r.serveReads(rd.Reads)
		r.maybeSnapshot()
	}
}

func (r *Replica) save(rd *raft.Ready) error {
	batch := wal.Batch{HardState: rd.HardState, Entries: rd.Entries}
	if rd.Snapshot != nil {
		if err := r.wal.SaveSnapshot(rd.Snapshot); err != nil {
			return err
		}
		batch.Reset = &wal.Position{Index: rd.Snapshot.Index, Term: rd.Snapshot.Term}
	}
	if batch.HardState == nil && batch.Reset == nil && len(batch.Entries) == 0 {
		return nil
	}
	return r.wal.Save(batch)
}

func (r *Replica) apply(rd *raft.Ready) error {
	if rd.Snapshot != nil {
		if err := r.ledger.Restore(rd.Snapshot.Data); err != nil {
			return eris.Wrapf(err, "install snapshot %d", rd.Snapshot.Index)
		}
		r.snapshot.index, r.snapshot.bytes = rd.Snapshot.Index, 0
		r.recordsChanged = true
		rd.Snapshot.Data = nil
		r.log.Info("Snapshot installed.", zap.Uint64("index", rd.Snapshot.Index))
	}
	for i := range rd.Committed {
		r.applyEntry(&rd.Committed[i])
	}
	r.watch.set(r.ledger.Current())
	r.publishRecords()
	return nil
}

func (r *Replica) applyEntry(e *raft.Entry) {
	answer := reply{}
	if e.Kind == raft.EntryCommand {
		outcome := r.ledger.Apply(e.Index, e.Data)
		answer.Outcome = &outcome
		r.recordsChanged = r.recordsChanged || outcome.Record != nil
	}
	r.snapshot.bytes += len(e.Data)
	p := r.pending[e.Index]
	if p == nil {
		return
	}
	delete(r.pending, e.Index)
	if p.term != e.Term {
		answer = reply{Error: &ReplyError{Code: CodeOverwritten, Reason: "another entry was committed"}}
	}
	p.answer <- answer
}

// serveReads answers the reads whose index has been applied. Ready returns these reads
// together with the entries up to that index.
func (r *Replica) serveReads(states []raft.ReadState) {
	for _, s := range states {
		for _, context := range s.Contexts {
			if call := r.reads[context]; call != nil {
				delete(r.reads, context)
				call.answer <- call.view()
			}
		}
	}
}

// maybeSnapshot starts a snapshot when the log has grown enough. The event loop only
// waits for a copy of pointers. Another goroutine encodes and writes the snapshot.
func (r *Replica) maybeSnapshot() {
	applied := r.raft.Applied()
	due := applied-r.snapshot.index >= r.opts.SnapshotEntries || r.snapshot.bytes >= r.opts.SnapshotBytes
	if r.snapshot.running || !due {
		return
	}
	term, ok := r.raft.TermAt(applied)
	if !ok {
		return
	}
	r.snapshot.running = true
	r.snapshot.index, r.snapshot.bytes = applied, 0
	snapshot := &raft.Snapshot{Index: applied, Term: term, Config: r.raft.ConfigAt(applied)}
	frozen := r.ledger.Freeze()
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		snapshot.Data = frozen.Encode()
		err := r.wal.SaveSnapshot(snapshot)
		r.submit(func() { r.compact(snapshot.Index, err) })
	}()
}

func (r *Replica) compact(index uint64, err error) {
	r.snapshot.running = false
	if err != nil {
		// The next write to the log returns the error and stops the replica.
		return
	}
	r.raft.Compact(r.raft.TailStart(index, r.opts.KeepEntries, maxKeptBytes))
	if err := r.wal.Compact(index); err != nil {
		r.log.Error("Removal of old log segments failed. The segments stay on disk.", zap.Error(err))
	}
}

// submit passes a function to the event loop. It returns false if the replica has stopped.
func (r *Replica) submit(call func()) bool {
	select {
	case r.loopCalls <- call:
		return true
	case <-r.ctx.Done():
		return false
	}
}
