package control

import (
	"context"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
)

const (
	// versionRecordName is the name of the file that a versionRecord writes.
	versionRecordName = "versions"
	// recordRetryInterval is the pause before a failed write is repeated.
	recordRetryInterval = time.Second
)

// versionRecord stores what a versionWatch knows in a file, so that the next process of this member knows which
// versions were listed before it started. It is written with each change, which comes with releases and not with
// requests. Times are stored as wall-clock times, since no other clock goes on through a restart.
type versionRecord struct {
	*versionWatch
	files   wal.FileSystem
	path    string
	changed chan struct{} // holds an item while the file is out of date
	// firstStart is true if no earlier process of any member can have listed versions.
	firstStart bool
	logger     log.Logger
}

func newVersionRecord(config Config, logger log.Logger) *versionRecord {
	return &versionRecord{
		versionWatch: newVersionWatch(), files: config.fileSystem, path: filepath.Join(config.DataFolder, versionRecordName),
		changed: make(chan struct{}, 1), firstStart: config.FirstStart, logger: logger,
	}
}

// load restores what an earlier process stored. If it stored nothing that can be read, nothing is known of the past,
// unless there is none.
func (r *versionRecord) load(now time.Duration, wall time.Time) {
	defer pause.Signal(r.changed)
	stored, err := r.files.ReadFile(r.path)
	if err == nil {
		err = r.restore(stored, now, wall)
	}
	isMissing := errors.Is(err, fs.ErrNotExist)
	if err == nil || isMissing && r.firstStart {
		return
	}
	r.forgetPast(now)
	if !isMissing {
		event.StreamsUnreadable.Log(r.logger, "from", versionRecordName, "err", err)
	}
}

// observe applies a view.
func (r *versionRecord) observe(now time.Duration, current *view.History) {
	if r.versionWatch.observe(now, current) {
		pause.Signal(r.changed)
	}
}

// run writes changes until ctx ends.
func (r *versionRecord) run(ctx context.Context) {
	for {
		select {
		case <-r.changed:
		case <-ctx.Done():
			return
		}
		if err := wal.WriteFile(r.files, r.path, r.encode(monotonic(), time.Now())); err != nil {
			event.StreamsNotKept.Log(r.logger, "err", err)
			pause.Signal(r.changed)
			if !pause.Sleep(ctx, recordRetryInterval) {
				return
			}
		}
	}
}

// maxClockStep is how far the wall clock may have been stepped forward since a record was written. A change counts as
// that much more recent than the wall clock says.
const maxClockStep = 5 * time.Second

// encode returns the record of the watch.
func (w *versionWatch) encode(now time.Duration, wall time.Time) []byte {
	w.lock.Lock()
	defer w.lock.Unlock()
	encoder := frame.NewEncoder(nil)
	encoder.Bool(w.pastUnknown)
	encoder.Int64(wallMilliseconds(w.knownSince, now, wall))
	encoder.Uint32(uint32(len(w.services)))
	for _, service := range slices.Sorted(maps.Keys(w.services)) {
		versions := w.services[service]
		encoder.String(service)
		encoder.String(versions.single)
		encoder.Bool(versions.mixed)
		encoder.Bool(versions.changed)
		encoder.Int64(wallMilliseconds(versions.changedAt, now, wall))
	}
	return encoder.Data()
}

// minRecordBytes is the minimum encoded size of the record of a service.
const minRecordBytes = 4 + 4 + 1 + 1 + 8

// restore sets what a record says. It must be called before the first view is observed.
func (w *versionWatch) restore(record []byte, now time.Duration, wall time.Time) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	decoder := frame.NewDecoder(record)
	pastUnknown, knownSince := decoder.Bool(), recalledTime(decoder.Int64(), now, wall)
	services := map[string]*watchedVersions{}
	for range decoder.Count(minRecordBytes) {
		service := decoder.String()
		services[service] = &watchedVersions{
			counts: map[string]int{},
			single: decoder.String(), mixed: decoder.Bool(), changed: decoder.Bool(),
			changedAt: recalledTime(decoder.Int64(), now, wall),
		}
	}
	if err := decoder.Finish(); err != nil {
		return err
	}
	w.pastUnknown, w.knownSince, w.services = pastUnknown, knownSince, services
	return nil
}

// forgetPast makes the watch know nothing of the time before now.
func (w *versionWatch) forgetPast(now time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.pastUnknown, w.knownSince = true, now
}

// wallMilliseconds converts a reading of the monotonic clock to Unix milliseconds.
func wallMilliseconds(at, now time.Duration, wall time.Time) int64 {
	return wall.Add(at - now).UnixMilli()
}

// recalledTime is the reverse of wallMilliseconds. The result is never later than now, and a time that was longer ago
// than streams last stays so.
func recalledTime(milliseconds int64, now time.Duration, wall time.Time) time.Duration {
	age := wall.Sub(time.UnixMilli(milliseconds)) - maxClockStep
	return now - min(max(age, 0), 2*resume.Lifetime)
}
