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

// That a replica ended under a request is a fact: it needs neither an order nor an agreement, and
// nothing is lost if it is kept twice. So each member keeps what it is told on its own disk and hands
// it to the others, whether or not there is a leader: at once where it is worth telling, and whoever
// begins to lead asks for all. The record, which needs a leader, is what verdicts are written to.

// Bounds of what is kept.
const (
	evidenceFile = "evidence"
	// maxEvidence bounds the ends that are kept, some 150 bytes each, and maxToldEvidence those
	// that daemons are told of.
	maxEvidence     = 256
	maxToldEvidence = 64
	// evidencePause is the least time between two writes; what comes meanwhile is written together.
	evidencePause = 50 * time.Millisecond
	// tellPause is how long what came up waits for what comes with it before others are told.
	tellPause = 20 * time.Millisecond
)

// errEvidence says that a file of evidence is damaged.
var errEvidence = errors.New("control: the file of evidence is damaged")

// noticeSender tells the other members; *peer.Transport is one.
type noticeSender interface {
	Notify(payload []byte)
	NotifyOne(payload []byte, member raft.MemberID)
}

// evidence keeps what is known of replicas that ended beside the log, and has the other members
// keep it as well.
type evidence struct {
	desk   *quarantineDesk
	files  wal.FileSystem
	folder string
	// wake has daemons be told of news that are not on record; set before the feed serves them.
	wake atomic.Pointer[func()]
	// others is set once the transport is open, which hands on what comes before that as well.
	others  atomic.Pointer[noticeSender]
	changed chan struct{} // has an item once something has to be written
	telling chan struct{} // has an item once something is untold
	logger  log.Logger

	lock   sync.Mutex
	untold untold
}

func newEvidence(config Config, logger log.Logger) *evidence {
	files := config.fileSystem
	if files == nil {
		files = wal.OS{}
	}
	return &evidence{
		desk: newQuarantineDesk(), files: files, folder: config.DataFolder,
		changed: make(chan struct{}, 1), telling: make(chan struct{}, 1), logger: logger,
		untold: untold{ended: map[quarantine.Fingerprint]struct{}{}},
	}
}

// tellOthers sets who is told from now on.
func (e *evidence) tellOthers(others noticeSender) { e.others.Store(&others) }

// tellDaemons sets what has daemons be told of news.
func (e *evidence) tellDaemons(wake func()) { e.wake.Store(&wake) }

// note takes in what a daemon has told, keeps it and hands on what others are to know.
func (e *evidence) note(report feed.EndReport, now time.Duration) {
	e.handOn(e.desk.note(report, now))
}

// receive takes in what another member has told, or its question for all that is known here. What is
// new is handed on: the member that knew it first may not reach all others.
func (e *evidence) receive(from raft.MemberID, payload []byte) {
	if len(payload) == 0 {
		e.answer(from)
		return
	}
	report, err := feed.DecodeEnds(payload)
	if err != nil {
		event.EvidenceUnreadable.Log(e.logger, "from", uint64(from), "err", err)
		return
	}
	e.handOn(e.desk.hear(report, monotonic()))
}

// ask has the other members tell all that they know, as a new leader does: a member that it reaches may
// have been told what never came to it.
func (e *evidence) ask() {
	if others := e.others.Load(); others != nil {
		(*others).Notify(nil)
	}
}

func (e *evidence) answer(member raft.MemberID) {
	e.tellOne(member, e.desk.sights(monotonic()))
}

// greet tells a member with which a connection has come up what is worth watching for.
func (e *evidence) greet(member raft.MemberID) {
	e.tellOne(member, e.desk.notableSights(monotonic()))
}

func (e *evidence) tellOne(member raft.MemberID, sights []quarantine.Aged) {
	if others := e.others.Load(); others != nil && len(sights) > 0 {
		(*others).NotifyOne(feed.EncodeEnds(feed.EndReport{Ended: sights}), member)
	}
}

// follow takes in how the record has changed.
func (e *evidence) follow(before, current map[string]*api.Quarantine) {
	if e.desk.follow(before, current, monotonic()) {
		pause.Signal(e.changed)
	}
}

// handOn has what was learnt written soon, and told to the others and to daemons.
func (e *evidence) handOn(found learnt) {
	if !found.isNew {
		return
	}
	e.lock.Lock()
	for _, fingerprint := range found.ended {
		e.untold.ended[fingerprint] = struct{}{}
	}
	e.untold.alive = append(e.untold.alive, found.alive...)
	e.untold.served = append(e.untold.served, found.served...)
	e.lock.Unlock()
	pause.Signal(e.changed)
	pause.Signal(e.telling)
	if wake := e.wake.Load(); wake != nil {
		(*wake)()
	}
}

// untold is what the other members have not been told yet. Ends are told as they are by then.
type untold struct {
	ended  map[quarantine.Fingerprint]struct{}
	alive  []quarantine.Alive
	served []quarantine.Fingerprint
}

// tell tells the other members what has come up, until ctx ends. Many words come with the end of one
// replica, and go out together.
func (e *evidence) tell(ctx context.Context) {
	for {
		select {
		case <-e.telling:
		case <-ctx.Done():
			return
		}
		if !pause.Sleep(ctx, tellPause) {
			return
		}
		e.tellUntold()
	}
}

func (e *evidence) tellUntold() {
	e.lock.Lock()
	next := e.untold
	e.untold = untold{ended: map[quarantine.Fingerprint]struct{}{}}
	e.lock.Unlock()
	fingerprints := slices.Collect(maps.Keys(next.ended))
	report := feed.EndReport{Ended: e.desk.sightsOf(fingerprints, monotonic()), Alive: next.alive, Served: next.served}
	if others := e.others.Load(); others != nil && !report.IsEmpty() {
		for _, part := range report.Split() {
			(*others).Notify(feed.EncodeEnds(part))
		}
	}
}

// run writes what has changed until ctx ends. A write that fails is tried again.
func (e *evidence) run(ctx context.Context) {
	for {
		select {
		case <-e.changed:
		case <-ctx.Done():
			return
		}
		began := monotonic()
		kept, err := e.save(began)
		if err != nil {
			event.EvidenceNotKept.Log(e.logger, "ends", kept, "err", err)
			pause.Signal(e.changed)
		} else {
			event.EvidenceKept.Log(e.logger, "ends", kept, "took_ms", (monotonic() - began).Milliseconds())
		}
		if !pause.Sleep(ctx, evidencePause) {
			return
		}
	}
}

// save writes what is known, synced, and returns how many ends it is.
func (e *evidence) save(now time.Duration) (kept int, err error) {
	report := feed.EndReport{Ended: e.desk.sights(now)}
	return len(report.Ended), wal.WriteFile(e.files, filepath.Join(e.folder, evidenceFile), encodeEvidence(report, time.Now()))
}

// load takes in what an earlier life of this member has kept.
func (e *evidence) load(now time.Duration, wall time.Time) {
	data, err := e.files.ReadFile(filepath.Join(e.folder, evidenceFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var report feed.EndReport
	if err == nil {
		report, err = decodeEvidence(data, wall)
	}
	if err != nil {
		event.EvidenceUnreadable.Log(e.logger, "from", evidenceFile, "err", err)
		return
	}
	e.desk.hear(report, now)
	event.EvidenceRecalled.Log(e.logger, "ends", len(report.Ended))
}

// encodeEvidence encodes a file: a checksum, the time of day, and the ends by their age then.
func encodeEvidence(report feed.EndReport, wall time.Time) []byte {
	body := frame.NewEncoder(nil)
	body.Int64(wall.UnixMilli())
	content := append(body.Data(), feed.EncodeEnds(report)...)
	sum := frame.NewEncoder(nil)
	sum.Uint32(crc32.ChecksumIEEE(content))
	return append(sum.Data(), content...)
}

// decodeEvidence reads a file; the ends are as old as they are now by the time of day.
func decodeEvidence(data []byte, wall time.Time) (feed.EndReport, error) {
	const headSize = 4 + 8
	if len(data) < headSize {
		return feed.EndReport{}, errors.Wrapf(errEvidence, "%d bytes", len(data))
	}
	head := frame.NewDecoder(data[:headSize])
	sum, written := head.Uint32(), head.Int64()
	if err := head.Finish(); err != nil {
		return feed.EndReport{}, err
	}
	if sum != crc32.ChecksumIEEE(data[headSize-8:]) {
		return feed.EndReport{}, errors.Wrap(errEvidence, "checksum")
	}
	report, err := feed.DecodeEnds(data[headSize:])
	elapsed := max(wall.Sub(time.UnixMilli(written)), 0)
	for i := range report.Ended {
		report.Ended[i].Age += elapsed
	}
	return report, err
}
