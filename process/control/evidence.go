package control

import (
	"context"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/pkg/errors"
)

// That a replica ended under a request is a fact: it needs neither an order nor an agreement, and
// nothing is lost if it is kept twice. So each member keeps what it is told on its own disk and hands
// it to the others, whether or not there is a leader. The record, which needs one, is what verdicts
// are written to; a new leader begins with what all members that reach it were told.

// Bounds of what is kept.
const (
	evidenceFile = "evidence"
	// maxEvidence bounds the ends that are kept, some 150 bytes each, and maxToldEvidence those
	// that daemons are told of.
	maxEvidence     = 256
	maxToldEvidence = 64
	// evidencePause is the least time between two writes; what comes meanwhile is written together.
	evidencePause = 50 * time.Millisecond
)

// errEvidence says that a file of evidence is damaged.
var errEvidence = errors.New("control: the file of evidence is damaged")

// noticeSender tells the other members; *peer.Transport is one.
type noticeSender interface {
	Notify(payload []byte, except raft.MemberID)
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
	changed chan struct{}
	logger  log.Logger
}

func newEvidence(config Config, logger log.Logger) *evidence {
	files := config.fileSystem
	if files == nil {
		files = wal.OS{}
	}
	return &evidence{
		desk: newQuarantineDesk(), files: files, folder: config.DataFolder,
		changed: make(chan struct{}, 1), logger: logger,
	}
}

// tellOthers sets who is told from now on.
func (e *evidence) tellOthers(others noticeSender) { e.others.Store(&others) }

// tellDaemons sets what has daemons be told of news.
func (e *evidence) tellDaemons(wake func()) { e.wake.Store(&wake) }

// note takes in what a daemon has told, keeps it and hands it on.
func (e *evidence) note(report feed.EndReport, now time.Duration) {
	if e.desk.note(report, now) {
		e.handOn(report, raft.None)
	}
}

// receive takes in what another member has told. What is new here is handed on: the member that
// knew it first may not reach all others.
func (e *evidence) receive(from raft.MemberID, payload []byte) {
	report, err := feed.DecodeEnds(payload)
	if err != nil {
		event.EvidenceUnreadable.Log(e.logger, "from", uint64(from), "err", err)
		return
	}
	if e.desk.hear(report, monotonic()) {
		e.handOn(report, from)
	}
}

func (e *evidence) handOn(report feed.EndReport, except raft.MemberID) {
	if others := e.others.Load(); others != nil {
		(*others).Notify(feed.EncodeEnds(report), except)
	}
	if wake := e.wake.Load(); wake != nil {
		(*wake)()
	}
	e.markChanged()
}

// markChanged has what is known written soon; calls coalesce.
func (e *evidence) markChanged() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// greet tells a member with which a connection has come up all that is known here.
func (e *evidence) greet(member raft.MemberID) {
	report := feed.EndReport{Ended: e.desk.sights(monotonic())}
	if others := e.others.Load(); others != nil && !report.IsEmpty() {
		(*others).NotifyOne(feed.EncodeEnds(report), member)
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
			e.markChanged()
		} else {
			event.EvidenceKept.Log(e.logger, "ends", kept, "took_ms", (monotonic() - began).Milliseconds())
		}
		if !pause.For(ctx, evidencePause) {
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
