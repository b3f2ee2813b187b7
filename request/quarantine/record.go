package quarantine

import (
	"slices"
	"time"
)

// Record is what is on record of a request.
type Record struct {
	Replicas []string
	// Weak are those of them whose ends tell little.
	Weak []string
	// Alone says that one of them ended with nothing else in flight, AtOnce that all ended
	// in one moment.
	Alone  bool
	AtOnce bool
	// Age is for how long the first of them has been gone, at least.
	Age   time.Duration
	About About
}

// Evidence returns what the record says of one of its replicas.
func (r *Record) Evidence(fingerprint Fingerprint, replica string) Evidence {
	seen := Evidence{
		Fingerprint: fingerprint, Replica: replica, Alone: r.Alone, Listens: slices.Contains(r.Weak, replica), About: r.About,
		recalled: true,
	}
	if r.AtOnce {
		seen.Ran = settle // each was at work when the others ended
	}
	return seen
}

// Restore puts what is recorded of a request in the place of what is known of it.
func (t *Table) Restore(now time.Duration, fingerprint Fingerprint, known Record) {
	t.Forget(fingerprint)
	since := now - min(max(known.Age, settle), memory/2)
	for i, replica := range known.Replicas {
		before := time.Duration(len(known.Replicas)-1-i) * time.Millisecond // they came one after the other
		t.noteAt(now, since-before, known.Evidence(fingerprint, replica))
	}
}

// Recall puts what is recorded of a request beside what was heard of it: what was heard says more.
// Its ends come to the table anew, in the order in which requests are recalled.
func (t *Table) Recall(now time.Duration, fingerprint Fingerprint, known Record) {
	var heard []end
	if before := t.requests[fingerprint]; before != nil {
		heard = slices.Clone(before.ends)
		known.About = before.about
	}
	t.Restore(now, fingerprint, known)
	for _, ended := range heard {
		t.noteAt(now, ended.at, ended.evidence(fingerprint, known.About))
	}
}

// Aged is an Evidence with the time since then.
type Aged struct {
	Evidence
	Age time.Duration
}

// All returns what was seen here, for whoever has to learn it anew. What the record told is left out:
// whoever has the record knows it, and would take it for seen. So is what members have told, and so
// are ends of earlier processes, which each table numbers by itself.
func (t *Table) All(now time.Duration) []Aged {
	var all []Aged
	for fingerprint, known := range t.requests {
		for _, ended := range known.ends {
			if !ended.recalled && !ended.told && ReplicaOf(ended.replica) == ended.replica {
				all = append(all, Aged{Evidence: ended.evidence(fingerprint, known.about), Age: now - ended.at})
			}
		}
	}
	return all
}

// evidence is what was seen of an end of a request.
func (e end) evidence(fingerprint Fingerprint, about About) Evidence {
	return Evidence{
		Fingerprint: fingerprint, Replica: e.replica, Began: e.began, Read: e.read, Alone: e.alone, Listens: e.listens,
		Ran: e.at - e.sent, About: about, Once: e.once, Sight: e.sight(), Told: e.told, recalled: e.recalled,
	}
}

// sight is the number by which others know the end, 0 for none.
func (e end) sight() uint64 {
	if len(e.sights) == 0 {
		return 0
	}
	return e.sights[0]
}

// maxSights bounds the numbers kept of one end: the proxies that had the request there.
const maxSights = 8

// addSights keeps numbers by which others know the same end.
func (e *end) addSights(told end) {
	for _, number := range told.sights {
		if !slices.Contains(e.sights, number) && len(e.sights) < maxSights {
			e.sights = append(e.sights, number)
		}
	}
}

// hearAgain takes in another word on an end that is known. What the record says of it gives way to
// what was seen, but for its place in the order of ends. It reports whether it did.
func (e *entry) hearAgain(told end) (replaced bool) {
	at := e.indexOf(told.replica)
	known := e.ends[at]
	told.addSights(known)
	e.ends[at].addSights(told)
	switch {
	case known.recalled && !told.recalled:
		told.sequence = known.sequence
		told.alone = told.alone || known.alone
		e.ends = slices.Delete(e.ends, at, at+1)
		e.insert(told)
		return true
	case known.recalled == told.recalled:
		e.ends[at].listens = known.listens && told.listens
		e.ends[at].told = known.told && told.told
	}
	return false
}
