package feed

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/version/view"
)

// daemonKey identifies one process of a daemon.
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

// registry holds the acknowledgements and view leases of one leader's term.
type termLeases struct {
	term    uint64
	lease   time.Duration
	tracker *view.Tracker
}

// newRegistry starts a term. version is the leader's own, which covers everything that earlier
// leaders may have reported as in force.
//
// Leases of earlier leaders are waited for, except if nothing was ever accepted: in that case a
// daemon can only hold the empty view, by which it serves nothing.
func newTermLeases(term uint64, version view.Version, lease, now time.Duration) *termLeases {
	l := &termLeases{term: term, lease: lease, tracker: view.NewTracker(lease)}
	if version.IsZero() {
		now -= 2 * lease
	}
	l.tracker.Reset(now)
	l.tracker.Require(version)
	return l
}

// InForce reports how far a version has reached the daemons.
type InForce struct {
	// Done is true when each daemon has acknowledged the version or holds no lease.
	Done         bool
	Acknowledged int
	// Lapsed names the daemons that this leader has heard from in its term and that hold an older
	// version without a lease. A daemon that was last heard by an earlier leader is not listed:
	// its lease expired while the term was Settling.
	Lapsed  []string
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

// withoutSupersededRuns removes the processes of a daemon whose leases lapsed before a later
// process of it was heard from. The version they held last no longer describes the daemon.
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
	Leased int
	Behind []string
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
