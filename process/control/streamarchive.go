package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/view"
)

// Which version began a stream is known to the proxy that sent it and to the member that placed it. Both may be killed
// at once, and the stream must still go on at that version or be refused. While streams of several versions of
// a service may be taken up, a member therefore stores what it records on its disk and sends it to the other members,
// which do the same. Neither needs a leader or makes a request wait; what was not yet stored or sent when a process
// is killed is not known afterwards. While there is one version only, nothing is stored or sent: then a stream of
// which nobody knows can only have begun at that one (see versionWatch).

const (
	// archiveInterval is the minimum time between two writes, and between two notices; streams in between go together.
	archiveInterval = 50 * time.Millisecond
	// maxReportsAtOnce limits the notices sent at once, since a connection drops notices beyond its queue.
	maxReportsAtOnce = 32
	// archiveRetryInterval is the pause before a failed write is repeated.
	archiveRetryInterval = time.Second
	// maxPendingReports limits what waits to be written or sent, for example while the disk hangs. The oldest is dropped.
	maxPendingReports = 4096
)

// streamArchive keeps what this member knows of the versions of streams, beyond the life of its process. It is safe
// for concurrent use.
type streamArchive struct {
	registry *resume.Registry
	versions *versionRecord
	file     *streamFile // used by runWriter alone once the member runs
	sender   atomic.Pointer[noticeSender]
	logger   log.Logger

	writes chan struct{} // holds an item while there is something to write
	sends  chan struct{} // holds an item while there is something to send

	lock      sync.Mutex
	isOpen    bool // what is recorded is stored and sent
	unwritten []resume.Report
	unsent    []resume.Report
}

func newStreamArchive(config Config, logger log.Logger) *streamArchive {
	return &streamArchive{
		registry: newStreamRegistry(), versions: newVersionRecord(config, logger),
		file: newStreamFile(config.fileSystem, config.DataFolder), logger: logger,
		writes: make(chan struct{}, 1), sends: make(chan struct{}, 1),
	}
}

// load restores what an earlier process stored. Streams that can no longer be taken up are not restored.
func (a *streamArchive) load(now time.Duration, wall time.Time) {
	a.versions.load(now, wall)
	if !a.versions.anyHasSeveral(now) {
		return
	}
	a.isOpen = true
	reports, err := a.file.load()
	if err != nil {
		event.StreamsUnreadable.Log(a.logger, "from", streamFileName, "err", err)
	}
	streams := 0
	for _, report := range reports {
		streams += len(a.registry.Merge(now, report))
	}
	event.StreamsRecalled.Log(a.logger, "streams", streams)
}

// setSender sets the sender for notices to the other members.
func (a *streamArchive) setSender(sender noticeSender) { a.sender.Store(&sender) }

// observe applies a view.
func (a *streamArchive) observe(now time.Duration, current *view.History) {
	a.versions.observe(now, current)
	a.lock.Lock()
	defer a.lock.Unlock()
	wasOpen := a.isOpen
	a.isOpen = a.versions.anyHasSeveral(now)
	if a.isOpen && !wasOpen {
		a.enqueueAll(now)
	}
}

// enqueueAll makes everything that is remembered be stored and sent. Streams that began before the second version was
// listed may still go on. The lock must be held.
func (a *streamArchive) enqueueAll(now time.Duration) {
	all := a.registry.Reports(now, feed.MaxReportedStreams)
	event.StreamsArchived.Log(a.logger, "reports", len(all))
	for _, report := range all {
		a.enqueue(&a.unwritten, a.writes, report)
		a.enqueue(&a.unsent, a.sends, report)
	}
}

// record records what a proxy reports, or where this member places streams.
func (a *streamArchive) record(now time.Duration, report resume.Report) {
	updated := a.registry.Apply(now, report)
	a.lock.Lock()
	defer a.lock.Unlock()
	if !a.isOpen || len(updated) == 0 {
		return
	}
	report.Streams = updated
	a.enqueue(&a.unwritten, a.writes, report)
	a.enqueue(&a.unsent, a.sends, report)
}

// receive handles a notice of another member. It reports whether it was one about streams.
func (a *streamArchive) receive(from raft.MemberID, payload []byte) bool {
	report, err := feed.DecodeStreamReport(payload)
	if err != nil {
		event.StreamsUnreadable.Log(a.logger, "from", uint64(from), "err", err)
		return true
	}
	if report == nil {
		return false
	}
	updated := a.registry.Merge(monotonic(), *report)
	if len(updated) > 0 {
		report.Streams = updated
		a.lock.Lock()
		defer a.lock.Unlock()
		a.enqueue(&a.unwritten, a.writes, *report)
	}
	return true
}

// enqueue adds a report to what waits, if possible to the latest report of its version. The lock must be held.
func (a *streamArchive) enqueue(waiting *[]resume.Report, signal chan struct{}, report resume.Report) {
	pause.Signal(signal)
	if latest := latestOfVersion(*waiting, report.Version); latest != nil && len(latest.Streams)+len(report.Streams) <= feed.MaxReportedStreams {
		latest.Streams = append(latest.Streams, report.Streams...)
		return
	}
	report.Streams = slices.Clone(report.Streams)
	*waiting = append(*waiting, report)
	if len(*waiting) > maxPendingReports {
		*waiting = (*waiting)[1:]
	}
}

// latestOfVersion returns the last report of a version, nil if there is none.
func latestOfVersion(reports []resume.Report, version string) *resume.Report {
	for i := len(reports) - 1; i >= 0; i-- {
		if reports[i].Version == version {
			return &reports[i]
		}
	}
	return nil
}

// take removes at most the given number of reports from what waits.
func (a *streamArchive) take(waiting *[]resume.Report, most int) []resume.Report {
	a.lock.Lock()
	defer a.lock.Unlock()
	taken := *waiting
	*waiting = nil
	if len(taken) > most {
		taken, *waiting = taken[:most], slices.Clone(taken[most:])
	}
	return taken
}

// runSender sends what is new to the other members until ctx ends.
func (a *streamArchive) runSender(ctx context.Context) {
	for {
		select {
		case <-a.sends:
		case <-ctx.Done():
			return
		}
		a.sendSome()
		if !pause.Sleep(ctx, archiveInterval) {
			return
		}
	}
}

// sendSome sends what waits, or as much of it as may be sent at once.
func (a *streamArchive) sendSome() {
	sender := a.sender.Load()
	if sender == nil {
		return
	}
	reports := a.take(&a.unsent, maxReportsAtOnce)
	for _, report := range reports {
		(*sender).Notify(feed.EncodeStreamReport(report))
	}
	if len(reports) == maxReportsAtOnce {
		pause.Signal(a.sends)
	}
}

// runWriter writes what is new until ctx ends, and what is left then.
func (a *streamArchive) runWriter(ctx context.Context) {
	defer a.file.close()
	for {
		select {
		case <-a.writes:
		case <-ctx.Done():
		}
		delay := archiveInterval
		if err := a.write(monotonic()); err != nil {
			event.StreamsNotKept.Log(a.logger, "err", err)
			delay = archiveRetryInterval
		}
		if ctx.Err() != nil {
			return
		}
		_ = pause.Sleep(ctx, delay)
	}
}

// write appends what waits to be written, or writes the file anew. After an error it waits again.
func (a *streamArchive) write(now time.Duration) error {
	reports := a.take(&a.unwritten, maxPendingReports)
	if len(reports) == 0 {
		return nil
	}
	err := a.writeReports(now, reports)
	if err != nil {
		a.lock.Lock()
		defer a.lock.Unlock()
		a.unwritten = append(reports, a.unwritten...)
		pause.Signal(a.writes)
	}
	return err
}

func (a *streamArchive) writeReports(now time.Duration, reports []resume.Report) error {
	if a.file.mustRewrite(now) {
		return a.file.rewrite(now, a.registry.Reports(now, feed.MaxReportedStreams))
	}
	return a.file.append(reports)
}
