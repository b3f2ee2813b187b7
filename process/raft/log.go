package raft

// entryOverhead is added to each entry's data size, in bytes, so that byte limits
// bound entries without data too.
const entryOverhead = entryHeaderSize

// size returns the number of bytes that e counts towards byte limits.
func (e Entry) size() int {
	return len(e.Data) + entryOverhead
}

// entryLog is the in-memory log: the entries after the base position (baseIndex,
// baseTerm), which is that of the entry before entries[0], and how far they are
// persisted, committed and applied.
//
// Invariants: baseIndex <= applied <= committed <= last index, except that after a call
// of restore, applied is less than baseIndex until the caller has installed the
// snapshot. Entries at or before committed are never replaced.
type entryLog struct {
	baseIndex uint64 // entries[0].Index - 1
	baseTerm  uint64
	entries   []Entry

	snapshot        Snapshot  // the latest; its Index may be greater than baseIndex
	pendingSnapshot *Snapshot // received but not yet returned by Ready

	committed uint64
	applied   uint64 // applied by the caller, as reported to Advance
	persisted uint64 // synced by the caller, as reported to Advance
	emitted   uint64 // returned by Ready to be persisted
}

// newEntryLog returns a log with state read from disk, all of it persisted.
func newEntryLog(snapshot Snapshot, entries []Entry, committed uint64) *entryLog {
	log := &entryLog{
		baseIndex: snapshot.Index,
		baseTerm:  snapshot.Term,
		entries:   entries,
		snapshot:  snapshot,
		committed: max(committed, snapshot.Index),
		applied:   snapshot.Index,
	}
	log.persisted = log.lastIndex()
	log.emitted = log.lastIndex()
	return log
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and false if the entry is compacted or
// beyond the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// matches reports whether the log has the entry (term, index).
func (l *entryLog) matches(term, index uint64) bool {
	ownTerm, ok := l.term(index)
	return ok && ownTerm == term
}

// upToDate reports whether a log that ends in (term, index) is at least as up to date
// as this one, so that it has every entry that this log may have been counted for
// when it was committed.
func (l *entryLog) upToDate(term, index uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice returns the entries in (after, through]. Its capacity equals its length, so
// that appending to it cannot overwrite the log.
func (l *entryLog) slice(after, through uint64) []Entry {
	if after >= through {
		return nil
	}
	return l.entries[after-l.baseIndex : through-l.baseIndex : through-l.baseIndex]
}

// batch returns the entries from index on that fit into maxBytes, and at least one if
// there is any.
func (l *entryLog) batch(index uint64, maxBytes int) []Entry {
	rest := l.slice(index-1, l.lastIndex())
	total := 0
	for i, entry := range rest {
		total += entry.size()
		if total > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest
}

// append adds entries to the end of the log.
func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// replaceFrom replaces the entries from entries[0].Index on with entries. It copies
// instead of overwriting, because messages and Readys share the old array.
func (l *entryLog) replaceFrom(entries []Entry) {
	kept := entries[0].Index - 1
	if kept < l.lastIndex() {
		keptEntries := l.entries[:kept-l.baseIndex]
		l.entries = append(make([]Entry, 0, len(keptEntries)+len(entries)), keptEntries...)
	}
	l.entries = append(l.entries, entries...)
	l.persisted = min(l.persisted, kept)
	l.emitted = min(l.emitted, kept)
}

// firstConflict returns the position in entries of the first one that is missing from
// the log, or len(entries) if there is none.
func (l *entryLog) firstConflict(entries []Entry) int {
	for i, entry := range entries {
		if !l.matches(entry.Term, entry.Index) {
			return i
		}
	}
	return len(entries)
}

// lastWithIndexAndTermAtMost returns the index and term of the last entry with an index
// of at most index and a term of at most maxTerm, or the base position if there is none.
func (l *entryLog) lastWithIndexAndTermAtMost(index, maxTerm uint64) (foundIndex, foundTerm uint64) {
	for index = min(index, l.lastIndex()); index > l.baseIndex; index-- {
		term, _ := l.term(index)
		if term <= maxTerm {
			return index, term
		}
	}
	return l.baseIndex, l.baseTerm
}

// commitTo raises committed to index, but to at most the last index. It reports whether
// committed changed.
func (l *entryLog) commitTo(index uint64) bool {
	index = min(index, l.lastIndex())
	if index <= l.committed {
		return false
	}
	l.committed = index
	return true
}

// entriesToPersist returns the entries that no Ready has returned yet.
func (l *entryLog) entriesToPersist() []Entry {
	return l.slice(l.emitted, l.lastIndex())
}

// entriesToApply returns the committed entries that the caller has not applied, or
// none while a snapshot is being installed.
func (l *entryLog) entriesToApply() []Entry {
	if l.applied < l.baseIndex || l.applied >= l.committed {
		return nil
	}
	return l.slice(l.applied, l.committed)
}

// markPersisted records that the caller has synced entries. Entries that were
// replaced in the meantime are ignored.
func (l *entryLog) markPersisted(entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		if l.matches(entries[i].Term, entries[i].Index) {
			l.persisted = max(l.persisted, entries[i].Index)
			return
		}
	}
}

// restore replaces the whole log with a received snapshot.
func (l *entryLog) restore(snapshot Snapshot) {
	l.baseIndex = snapshot.Index
	l.baseTerm = snapshot.Term
	l.entries = nil
	l.snapshot = snapshot
	l.pendingSnapshot = &snapshot
	l.committed = snapshot.Index
	l.persisted = 0
	l.emitted = snapshot.Index
}

// compact sets the latest snapshot and drops all entries that it covers except the
// last retained ones.
func (l *entryLog) compact(snapshot Snapshot, retained uint64) {
	l.snapshot = snapshot
	if snapshot.Index < retained || snapshot.Index-retained <= l.baseIndex {
		return
	}
	newBase := snapshot.Index - retained
	newTerm, _ := l.term(newBase)
	kept := l.entries[newBase-l.baseIndex:]
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.baseIndex = newBase
	l.baseTerm = newTerm
}
