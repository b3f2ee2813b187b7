package quarantine

import "time"

// Evidence is one replica that seems to have ended under a request. A replica that is
// heard of again refutes it.
type Evidence struct {
	Fingerprint Fingerprint
	Replica     string
	// Began is true where the run had brought events before.
	Began bool
	// Read is true where the replica only read the prompt: one that has no place left resets
	// connections as well, and readers are few and crowded.
	Read bool
	// Alone is true where nothing else was in flight at the replica: no other request can
	// have ended it.
	Alone bool
	// Listens is true where somebody took connections at the replica's address right after: a
	// faulty one resets connections and goes on. It tells less than that nobody does.
	Listens bool
	// Ran is how long the run had been under way.
	Ran   time.Duration
	About About
	// Once says that the name is of one process alone, which ends once.
	Once bool
	// Sight is a number that whoever saw the end has drawn for it, 0 for none: words of it that come
	// late, or a second time, are of the same end.
	Sight uint64

	// Told is true for what a member of the group has passed on: whoever keeps evidence has it
	// already, and is not told again.
	Told bool

	// recalled is true for what the record says, which leaves most of it out.
	recalled bool
}

// About tells people which request it was.
type About struct {
	Service string
	Route   string
	Request string // the ID under which it came last
}
