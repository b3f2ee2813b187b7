package ingress

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// recordingBoard applies reports to a new placement board in the order of their arrival. between
// is called once, when the first message has been received and before it is applied.
type recordingBoard struct {
	t       *testing.T
	between func()

	lock  sync.Mutex
	board *placement.Board
}

func newRecordingBoard(t *testing.T) *recordingBoard {
	board := placement.NewBoard()
	board.SetReplicas(placement.ServiceParameters{}, []placement.Replica{
		{Name: "read", Role: placement.RolePrefill, Slots: 8},
		{Name: "make", Role: placement.RoleDecode, Slots: 8},
	})
	return &recordingBoard{t: t, board: board}
}

func (b *recordingBoard) apply(message func()) {
	if between := b.between; between != nil {
		b.between = nil
		between()
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	message()
}

func (b *recordingBoard) ReportInFlight(report feed.InFlight) bool {
	b.apply(func() { b.board.TakeOver(0, "proxy", report.Requests) })
	return true
}

func (b *recordingBoard) RecordProgress(progress feed.PlacementProgress) bool {
	b.apply(func() {
		b.board.RecordProgress(0, placement.Key{Daemon: "proxy", Number: progress.Number}, progress.Note)
	})
	return true
}

func (b *recordingBoard) ReportCachedParts(feed.CachedParts) bool { return true }

func (b *recordingBoard) Place(context.Context, feed.PlaceRequest) (placement.Answer, error) {
	return placement.Answer{}, feed.ErrNotPlaced
}

func (b *recordingBoard) summary() placement.Summary {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.board.Summarize(0)
}

// newTrackedRequest returns an ingress that reports to the board, with one request in flight.
func newTrackedRequest(t *testing.T, board *recordingBoard) (*Ingress, *trackedRequest) {
	env := newTestEnv(t)
	env.ingress.placer = board
	request := &trackedRequest{
		ingress: env.ingress, service: "model", number: 1,
		request:  placement.Request{PromptTokens: 9000, Deadline: time.Minute},
		answer:   placement.Answer{Generator: "make", Reader: "read", UnreadTokens: 9000},
		placedAt: env.ingress.now() - time.Second,
	}
	env.ingress.inFlight.add(request)
	return env.ingress, request
}

// asSoonAsPossible runs the step at once if the table's lock is free; otherwise it returns, and
// the step runs as soon as the lock is released.
func asSoonAsPossible(table *inFlightTable, running *sync.WaitGroup, step func()) {
	if table.lock.TryLock() {
		table.lock.Unlock()
		step()
		return
	}
	running.Go(step)
}

// A request that ends while it is being reported to a new placement board must be removed from
// that board. Otherwise the board counts it until its deadline.
func TestRequestThatEndsDuringAReportHasEndedOnTheBoard(t *testing.T) {
	board := newRecordingBoard(t)
	ingress, request := newTrackedRequest(t, board)
	var running sync.WaitGroup
	board.between = func() {
		asSoonAsPossible(&ingress.inFlight, &running, func() { request.report(placement.StepEnded, "", 0) })
	}
	ingress.reportInFlight(board)
	running.Wait()
	must.Eq(t, 0, board.summary().InFlight)
}

// A step that a report contains must not be sent again after it: the failure of a prefill would
// be taken for that of the run, which continues.
func TestReportDuringAStepDoesNotSendItTwice(t *testing.T) {
	board := newRecordingBoard(t)
	ingress, request := newTrackedRequest(t, board)
	var running sync.WaitGroup
	board.between = func() {
		asSoonAsPossible(&ingress.inFlight, &running, func() { ingress.reportInFlight(board) })
	}
	request.report(placement.StepFailed, "read", 0)
	running.Wait()
	must.Eq(t, 1, board.summary().InFlight)
	request.report(placement.StepEnded, "", 0)
	must.Eq(t, 0, board.summary().InFlight)
}

// A board that knows requests of this proxy from before, and was not told how they ended, is told
// that none is in flight.
func TestBoardIsToldThatNoRequestIsInFlight(t *testing.T) {
	board := newRecordingBoard(t)
	ingress, request := newTrackedRequest(t, board)
	ingress.upstreams.get("model")
	ingress.reportInFlight(board)
	must.Eq(t, 1, board.summary().InFlight)
	ingress.placer = &fakePlacer{} // another board places requests in the meantime
	request.report(placement.StepEnded, "", 0)
	ingress.reportInFlight(board)
	must.Eq(t, 0, board.summary().InFlight)
}

// lateBoard decides only when the proxy no longer waits for the answer.
type lateBoard struct{ *recordingBoard }

func (b lateBoard) Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	<-ctx.Done()
	key := placement.Key{Daemon: "proxy", Number: request.Number}
	b.apply(func() { b.board.Place(0, key, request.Ask) })
	return placement.Answer{}, feed.ErrNotPlaced
}

// A decision that arrives too late is not followed and must not occupy a place on the board.
func TestLateDecisionOccupiesNoPlaceOnTheBoard(t *testing.T) {
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	board := newRecordingBoard(t)
	env.ingress.placer = lateBoard{board}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.Eq(t, 1, board.summary().Answers.Placed, must.Sprint("the board has decided"))
	must.Eq(t, 0, board.summary().InFlight)
}
