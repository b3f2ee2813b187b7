package emulator

import (
	"container/heap"
	"time"
)

// event is something to do at a time; events of the same time run in the order
// in which they were scheduled, so that a run depends on its inputs only.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// schedule is the virtual clock and what is still to happen.
type schedule struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// at runs a function at a time, or now if the time has passed.
func (s *schedule) at(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: max(at, s.now), sequence: s.sequence, run: run})
}

// after runs a function when a time has passed.
func (s *schedule) after(delay time.Duration, run func()) { s.at(s.now+delay, run) }

// every runs a function now and then at an interval until an end.
func (s *schedule) every(interval, end time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		if s.now+interval <= end {
			s.after(interval, again)
		}
	}
	s.at(s.now, again)
}

// runUntil runs the events up to a time.
func (s *schedule) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, end)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
