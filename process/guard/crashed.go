package guard

import (
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
)

// crashedProcesses holds the listed processes that have certainly crashed, each with the time at which this proxy knew
// that. Evidence against requests is dropped when they are served; that the process has crashed remains true.
type crashedProcesses map[string]time.Duration

const (
	// maxCrashedProcesses limits the processes that are remembered. The oldest are dropped.
	maxCrashedProcesses = 1024
	// crashNoticeDelay is the longest delay that is assumed between a crash and the time at which it is known.
	crashNoticeDelay = 250 * time.Millisecond
)

// learn notes that a process is known to have crashed at a time, unless it was known before.
func (c crashedProcesses) learn(process string, at time.Duration) {
	if _, known := c[process]; known {
		return
	}
	if len(c) >= maxCrashedProcesses {
		delete(c, c.oldest())
	}
	c[process] = at
}

// oldest returns the process that was learned first.
func (c crashedProcesses) oldest() (first string) {
	for process, at := range c {
		if first == "" || at < c[first] {
			first = process
		}
	}
	return first
}

// learnEvidence notes the crash of the evidence, known at a time, if it is certain and identifies a process.
func (c crashedProcesses) learnEvidence(evidence quarantine.Evidence, at time.Duration) {
	if evidence.UniqueName && !evidence.StillListening {
		c.learn(evidence.Replica, at)
	}
}

// learnRecorded notes the crashes on record. Those under which only a listening replica was seen are not certain.
func (c crashedProcesses) learnRecorded(recorded map[string]*api.Quarantine, now time.Duration) {
	for _, entry := range recorded {
		for _, process := range entry.Spec.Replicas {
			if entry.IsPart() || !slices.Contains(entry.Spec.Weak, process) {
				c.learn(process, now)
			}
		}
	}
}

// hasCrashedBefore reports whether a process was known to have crashed before a run was sent at sentAt.
func (c crashedProcesses) hasCrashedBefore(process string, sentAt time.Duration) bool {
	at, known := c[process]
	return known && at+crashNoticeDelay < sentAt
}
