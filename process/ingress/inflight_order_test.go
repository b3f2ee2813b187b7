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

// toldBoard is a new board that takes in what it is told in the order in which it is
// told; between runs once, when a word is made and not yet on its way.
type toldBoard struct {
	t       *testing.T
	between func()

	lock  sync.Mutex
	board *placement.Board
}

func newToldBoard(t *testing.T) *toldBoard {
	board := placement.NewBoard()
	board.SetReplicas(placement.Sheet{}, []placement.Replica{
		{Name: "read", Role: placement.RolePrefill, Slots: 8},
		{Name: "make", Role: placement.RoleDecode, Slots: 8},
	})
	return &toldBoard{t: t, board: board}
}

func (b *toldBoard) take(word func()) {
	if between := b.between; between != nil {
		b.between = nil
		between()
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	word()
}

func (b *toldBoard) ReportInFlight(told feed.InFlight) bool {
	b.take(func() { b.board.TakeOver(0, "proxy", told.Requests) })
	return true
}

func (b *toldBoard) NotePlaced(note feed.PlaceNote) bool {
	b.take(func() { b.board.Note(0, placement.Key{Daemon: "proxy", Number: note.Number}, note.Note) })
	return true
}

func (b *toldBoard) ReportKept(feed.KeptParts) bool { return true }

func (b *toldBoard) Place(context.Context, feed.PlaceRequest) (placement.Answer, error) {
	return placement.Answer{}, feed.ErrNotPlaced
}

func (b *toldBoard) shown() placement.Summary {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.board.Summarize(0)
}

// newPlacedRequest returns an ingress that tells the board, with one request in flight.
func newPlacedRequest(t *testing.T, told *toldBoard) (*Ingress, *placed) {
	w := newWorld(t)
	w.ingress.placer = told
	request := &placed{
		ingress: w.ingress, service: "model", number: 1,
		ask:    placement.Ask{Prompt: 9000, Deadline: time.Minute},
		answer: placement.Answer{Generator: "make", Reader: "read", Unread: 9000},
		at:     w.ingress.now() - time.Second,
	}
	w.ingress.inFlight.add(request)
	return w.ingress, request
}

// asSoonAsPossible runs the step now, or as soon as the table lets it.
func asSoonAsPossible(table *inFlightTable, running *sync.WaitGroup, step func()) {
	if table.lock.TryLock() {
		table.lock.Unlock()
		step()
		return
	}
	running.Go(step)
}

// A request that ends while the next board is being told of it has ended there too:
// otherwise it holds its place on that board until its time is over.
func TestRequestThatEndsDuringAReportHasEndedOnTheBoard(t *testing.T) {
	told := newToldBoard(t)
	ingress, request := newPlacedRequest(t, told)
	var running sync.WaitGroup
	told.between = func() {
		asSoonAsPossible(&ingress.inFlight, &running, func() { request.note(placement.StepEnded, "", 0) })
	}
	ingress.reportInFlight(told)
	running.Wait()
	must.Eq(t, 0, told.shown().InFlight)
}

// A step that a report shows is not told again behind it: the failure of a read would
// be taken for that of the run, which goes on.
func TestReportDuringAStepDoesNotTellItTwice(t *testing.T) {
	told := newToldBoard(t)
	ingress, request := newPlacedRequest(t, told)
	var running sync.WaitGroup
	told.between = func() {
		asSoonAsPossible(&ingress.inFlight, &running, func() { ingress.reportInFlight(told) })
	}
	request.note(placement.StepFailed, "read", 0)
	running.Wait()
	must.Eq(t, 1, told.shown().InFlight)
	request.note(placement.StepEnded, "", 0)
	must.Eq(t, 0, told.shown().InFlight)
}

// A board that knew this proxy's requests before, and was not told how they ended, is told
// that none is in flight.
func TestBoardIsToldThatNothingIsInFlight(t *testing.T) {
	told := newToldBoard(t)
	ingress, request := newPlacedRequest(t, told)
	ingress.upstreams.get("model")
	ingress.reportInFlight(told)
	must.Eq(t, 1, told.shown().InFlight)
	ingress.placer = &fakePlacer{} // another board places meanwhile
	request.note(placement.StepEnded, "", 0)
	ingress.reportInFlight(told)
	must.Eq(t, 0, told.shown().InFlight)
}

// lateBoard decides when its answer is waited for no longer.
type lateBoard struct{ *toldBoard }

func (b lateBoard) Place(ctx context.Context, request feed.PlaceRequest) (placement.Answer, error) {
	<-ctx.Done()
	key := placement.Key{Daemon: "proxy", Number: request.Number}
	b.take(func() { b.board.Place(0, key, request.Ask) })
	return placement.Answer{}, feed.ErrNotPlaced
}

// A decision that comes too late is not followed, and holds no place on the board.
func TestLateDecisionHoldsNoPlaceOnTheBoard(t *testing.T) {
	reader := newFakeReplica(t, "read", readPrompt)
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	told := newToldBoard(t)
	w.ingress.placer = lateBoard{told}
	must.Eq(t, events(1, 2), w.ask(modelRequest).body)
	must.Eq(t, 1, told.shown().Answers.Placed, must.Sprint("the board has decided"))
	must.Eq(t, 0, told.shown().InFlight)
}
