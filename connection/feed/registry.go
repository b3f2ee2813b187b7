package feed

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/version/view"
)

// daemonKey identifies one instance of a daemon. Its string form is "name#instance".
type daemonKey struct {
	daemon   string
	instance uint64
}

const instanceSeparator = "#"

func (k daemonKey) String() string {
	return k.daemon + instanceSeparator + strconv.FormatUint(k.instance, 16)
}

// daemonName returns the daemon name in the string form of a daemonKey.
func daemonName(key string) string {
	if end := strings.LastIndex(key, instanceSeparator); end >= 0 {
		return key[:end]
	}
	return key
}

// termLeases holds the acknowledgements and view leases of one leader's term.
type termLeases struct {
	term    uint64
	lease   time.Duration
	tracker *view.Tracker
}

// newTermLeases starts a term. version is the leader's own, which covers everything that earlier
// leaders may have reported as in force.
//
// The term waits for the leases of earlier leaders to expire, unless the group is empty: then a
// daemon can only hold the empty view, with which it serves nothing.
func newTermLeases(term uint64, version view.Version, lease, now time.Duration) *termLeases {
	l := &termLeases{term: term, lease: lease, tracker: view.NewTracker(lease)}
	if version.IsZero() {
		// Two leases exceed the tracker's grace period, which is one lease plus clock drift.
		now -= 2 * lease
	}
	l.tracker.Reset(now)
	l.tracker.RequireVersion(version)
	return l
}

// InForce reports whether a version is in force, that is, whether no daemon may still use an older
// view, and which daemons it has reached.
type InForce struct {
	// Done is true when each daemon has acknowledged the version or holds no lease.
	Done bool
	// Acknowledged counts the daemons that have acknowledged the version.
	Acknowledged int
	// Lapsed names the daemons that have sent this leader a heartbeat in its term and hold an older
	// version without a lease. Daemons known only to earlier leaders are not listed: their leases
	// expired while Settling was true.
	Lapsed []string
	// Waiting names the daemons that hold a lease on an older version.
	Waiting []string
	// Settling is true while leases of an earlier leader may still be valid.
	Settling bool
}

func (l *termLeases) inForce(version view.Version, now time.Duration) InForce {
	done, waiting := l.tracker.InForce(version, now)
	result := InForce{Done: done}
	for _, key := range waiting {
		if key == view.UnseenDaemons {
			result.Settling = true
			continue
		}
		result.Waiting = append(result.Waiting, daemonName(key))
	}
	for _, daemon := range removeSupersededInstances(l.tracker.Daemons(now)) {
		switch {
		case daemon.Acked.Compare(version) >= 0:
			result.Acknowledged++
		case daemon.Lapsed:
			result.Lapsed = append(result.Lapsed, daemonName(daemon.Name))
		}
	}
	sort.Strings(result.Lapsed)
	sort.Strings(result.Waiting)
	return result
}

// removeSupersededInstances removes the instances of a daemon whose leases lapsed before the lease
// of a later instance does. The version they held last no longer describes the daemon. It modifies
// its argument.
func removeSupersededInstances(instances []view.DaemonStatus) []view.DaemonStatus {
	latest := make(map[string]time.Duration, len(instances))
	for _, one := range instances {
		name := daemonName(one.Name)
		latest[name] = max(latest[name], one.LapsesAt)
	}
	return slices.DeleteFunc(instances, func(one view.DaemonStatus) bool {
		return one.Lapsed && one.LapsesAt < latest[daemonName(one.Name)]
	})
}

// Daemons reports how many daemons hold a lease and which of them are behind a version.
type Daemons struct {
	Leased int      // daemons with a valid lease
	Behind []string // names of those that have not acknowledged the version
}

func (l *termLeases) daemons(version view.Version, now time.Duration) Daemons {
	var result Daemons
	for _, daemon := range l.tracker.Daemons(now) {
		if daemon.Lapsed {
			continue
		}
		result.Leased++
		if daemon.Acked.Compare(version) < 0 {
			result.Behind = append(result.Behind, daemonName(daemon.Name))
		}
	}
	sort.Strings(result.Behind)
	return result
}
