package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Seen: a harmless request was held, watched and held again with each round of the leader,
// hundreds of times, and its hold doubled to a day.
// How: it stood at one end with a request that is held, and at two without it.
// Cause: what stood beside a held request is condemned by two ends of its own, but once it is
// held itself it takes three, so that the one verdict undoes the other.
// Proof: the record of the run, and the two verdicts below, which are to be the same.
func TestVerdictDoesNotDependOnTheHoldItLedTo(t *testing.T) {
	table := NewTable()
	at := time.Duration(0)
	end := func(replica string, requests ...string) {
		at += time.Second
		for _, request := range requests {
			table.Note(at, Evidence{Fingerprint: named(request), Replica: replica, Ran: 5 * time.Millisecond})
		}
	}
	end("r-0", "beside")
	end("r-1", "beside")
	end("r-2", "beside", "fatal")
	for i := range decisiveEnds {
		end(fmt.Sprint("s-", i), "fatal")
	}
	table.SetHeld(named("fatal"), true)
	before := table.Standing(at+later, named("beside"))
	table.SetHeld(named("beside"), true)
	must.Eq(t, before, table.Standing(at+later, named("beside")))
}
