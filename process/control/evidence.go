package control

import (
	"context"
	"hash/crc32"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// A crash observation is a report that a replica crashed under a request; a proxy's CrashReport
// contains some, and a table stores them. Observations need neither ordering nor consensus, and
// storing one twice is harmless. So each member stores the observations it receives on its own
// disk, whether or not there is a leader, and a new leader requests all of them. Those of requests
// that are worth watching (see quarantine.Table.ShouldReportNow), called notable, are forwarded to
// the other members at once.
//
// Quarantine decisions go to the record, the Quarantine and Suspect objects of the replicated
// state, which needs a leader.

// Limits of the stored evidence.
const (
	evidenceFile = "evidence"
	// maxEvidence limits the stored crash observations, of about 150 bytes each.
	maxEvidence = 256
	// maxReportedEvidence limits the crash observations sent to daemons.
	maxReportedEvidence = 64
	// evidenceWriteInterval is the minimum time between two writes; changes in between are
	// written together.
	evidenceWriteInterval = 50 * time.Millisecond
	// noticeDelay is how long new evidence waits for more before it is sent to other members.
	noticeDelay = 20 * time.Millisecond
)

// errDamagedEvidence reports a damaged file evidenceFile.
var errDamagedEvidence = errors.New("control: evidence file is damaged")

// noticeSender sends notices to the other members; *peer.Transport implements it.
type noticeSender interface {
	Notify(payload []byte)
	NotifyOne(payload []byte, member raft.MemberID)
}

// evidence stores crash observations outside the Raft log and sends them to the other members.
type evidence struct {
	tracker *quarantineTracker
	files   wal.FileSystem
	folder  string
	// wake notifies daemons of evidence that is not in the record; set before the feed serves
	// them.
	wake atomic.Pointer[func()]
	// sender is nil until the transport is open. Notable evidence received before that is sent as
	// connections to other members are established.
	sender       atomic.Pointer[noticeSender]
	changed      chan struct{} // holds an item while there are changes to write
	unsentSignal chan struct{} // holds an item while there is evidence to send
	logger       log.Logger

	lock   sync.Mutex
	unsent pendingNotice
}

func newEvidence(config Config, logger log.Logger) *evidence {
	files := config.fileSystem
	if files == nil {
		files = wal.OS{}
	}
	return &evidence{
		tracker: newQuarantineTracker(), files: files, folder: config.DataFolder,
		changed: make(chan struct{}, 1), unsentSignal: make(chan struct{}, 1), logger: logger,
		unsent: pendingNotice{ended: map[quarantine.Fingerprint]struct{}{}},
	}
}

// setSender sets the sender for notices to the other members.
func (e *evidence) setSender(sender noticeSender) { e.sender.Store(&sender) }

// setDaemonNotifier sets the function that notifies daemons of new evidence.
func (e *evidence) setDaemonNotifier(wake func()) { e.wake.Store(&wake) }

// note adds a daemon's report, and stores and forwards what is new.
func (e *evidence) note(report feed.CrashReport, now time.Duration) {
	e.publish(e.tracker.addProxyReport(report, now))
}

// receive handles a notice from another member: a report, or an empty payload that requests all
// evidence known here. New evidence is forwarded, since its origin may not reach all members.
func (e *evidence) receive(from raft.MemberID, payload []byte) {
	if len(payload) == 0 {
		e.sendAll(from)
		return
	}
	report, err := feed.DecodeCrashReport(payload)
	if err != nil {
		event.EvidenceUnreadable.Log(e.logger, "from", uint64(from), "err", err)
		return
	}
	e.publish(e.tracker.addEvidence(report, monotonic()))
}

// requestAll requests all evidence from the other members. A new leader does so because the
// members that it reaches may know of evidence that it never received.
func (e *evidence) requestAll() {
	if sender := e.sender.Load(); sender != nil {
		(*sender).Notify(nil)
	}
}

// sendAll sends all evidence to a member.
func (e *evidence) sendAll(member raft.MemberID) {
	e.sendTo(member, e.tracker.observations(monotonic()))
}

// sendNotable sends the notable evidence to a member whose connection was just established.
func (e *evidence) sendNotable(member raft.MemberID) {
	e.sendTo(member, e.tracker.notableObservations(monotonic()))
}

func (e *evidence) sendTo(member raft.MemberID, observations []quarantine.AgedEvidence) {
	if sender := e.sender.Load(); sender != nil && len(observations) > 0 {
		(*sender).NotifyOne(feed.EncodeCrashReport(feed.CrashReport{Crashes: observations}), member)
	}
}

// applyRecordChange applies a change of the replicated record.
func (e *evidence) applyRecordChange(before, current map[string]*api.Quarantine) {
	if e.tracker.applyRecordChange(before, current, monotonic()) {
		pause.Signal(e.changed)
	}
}

// publish schedules new findings to be written, sent to the other members and reported to
// daemons.
func (e *evidence) publish(found findings) {
	if !found.isNew {
		return
	}
	e.lock.Lock()
	for _, fingerprint := range found.ended {
		e.unsent.ended[fingerprint] = struct{}{}
	}
	e.unsent.alive = append(e.unsent.alive, found.alive...)
	e.unsent.served = append(e.unsent.served, found.served...)
	e.lock.Unlock()
	pause.Signal(e.changed)
	pause.Signal(e.unsentSignal)
	if wake := e.wake.Load(); wake != nil {
		(*wake)()
	}
}

// pendingNotice is evidence not yet sent to the other members. Crashes are looked up when the
// notice is sent, so that it carries their latest state.
type pendingNotice struct {
	ended  map[quarantine.Fingerprint]struct{}
	alive  []quarantine.LiveReplica
	served []quarantine.Fingerprint
}

// runSender sends new evidence to the other members until ctx ends. The crash of one replica causes
// many reports, which are sent together.
func (e *evidence) runSender(ctx context.Context) {
	for {
		select {
		case <-e.unsentSignal:
		case <-ctx.Done():
			return
		}
		if !pause.Sleep(ctx, noticeDelay) {
			return
		}
		e.sendUnsent()
	}
}

// sendUnsent sends the pending notice to all other members.
func (e *evidence) sendUnsent() {
	e.lock.Lock()
	next := e.unsent
	e.unsent = pendingNotice{ended: map[quarantine.Fingerprint]struct{}{}}
	e.lock.Unlock()
	fingerprints := slices.Collect(maps.Keys(next.ended))
	report := feed.CrashReport{Crashes: e.tracker.observationsOf(fingerprints, monotonic()), Alive: next.alive, Served: next.served}
	if sender := e.sender.Load(); sender != nil && !report.IsEmpty() {
		for _, part := range report.Split() {
			(*sender).Notify(feed.EncodeCrashReport(part))
		}
	}
}

// runWriter writes changes to disk until ctx ends. Failed writes are retried.
func (e *evidence) runWriter(ctx context.Context) {
	for {
		select {
		case <-e.changed:
		case <-ctx.Done():
			return
		}
		started := monotonic()
		stored, err := e.save(started)
		if err != nil {
			event.EvidenceNotKept.Log(e.logger, "ends", stored, "err", err)
			pause.Signal(e.changed)
		} else {
			event.EvidenceKept.Log(e.logger, "ends", stored, "took_ms", (monotonic() - started).Milliseconds())
		}
		if !pause.Sleep(ctx, evidenceWriteInterval) {
			return
		}
	}
}

// save writes and syncs the known evidence, and returns the number of crash observations written.
func (e *evidence) save(now time.Duration) (stored int, err error) {
	report := feed.CrashReport{Crashes: e.tracker.observations(now)}
	return len(report.Crashes), wal.WriteFile(e.files, filepath.Join(e.folder, evidenceFile), encodeEvidence(report, time.Now()))
}

// load restores the evidence stored before a restart.
func (e *evidence) load(now time.Duration, wall time.Time) {
	data, err := e.files.ReadFile(filepath.Join(e.folder, evidenceFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var report feed.CrashReport
	if err == nil {
		report, err = decodeEvidence(data, wall)
	}
	if err != nil {
		event.EvidenceUnreadable.Log(e.logger, "from", evidenceFile, "err", err)
		return
	}
	e.tracker.addEvidence(report, now)
	event.EvidenceRecalled.Log(e.logger, "ends", len(report.Crashes))
}

// encodeEvidence encodes an evidence file: a checksum, the wall-clock time, and the crash
// observations with their ages at that time.
func encodeEvidence(report feed.CrashReport, wall time.Time) []byte {
	body := frame.NewEncoder(nil)
	body.Int64(wall.UnixMilli())
	content := append(body.Data(), feed.EncodeCrashReport(report)...)
	sum := frame.NewEncoder(nil)
	sum.Uint32(crc32.ChecksumIEEE(content))
	return append(sum.Data(), content...)
}

// decodeEvidence decodes an evidence file and adds the wall-clock time elapsed since it was
// written to the ages.
func decodeEvidence(data []byte, wall time.Time) (feed.CrashReport, error) {
	const headSize = 4 + 8
	if len(data) < headSize {
		return feed.CrashReport{}, errors.Wrapf(errDamagedEvidence, "%d bytes", len(data))
	}
	head := frame.NewDecoder(data[:headSize])
	sum, written := head.Uint32(), head.Int64()
	if err := head.Finish(); err != nil {
		return feed.CrashReport{}, err
	}
	if sum != crc32.ChecksumIEEE(data[headSize-8:]) {
		return feed.CrashReport{}, errors.Wrap(errDamagedEvidence, "checksum")
	}
	report, err := feed.DecodeCrashReport(data[headSize:])
	elapsed := max(wall.Sub(time.UnixMilli(written)), 0)
	for i := range report.Crashes {
		report.Crashes[i].Age += elapsed
	}
	return report, err
}
