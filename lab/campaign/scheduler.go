// Package campaign runs a whole deployment in virtual time under faults drawn
// from a seed, and checks it against a simple oracle: control members, leader
// duties, proxies and engines run the product's own agreement, state, view,
// controller, planner, router and attempt code on one goroutine, with network,
// disk and clocks simulated. A run depends on its seed alone, so a violation
// can be run again, and its fault schedule made shorter.
package campaign

import (
	"container/heap"
	"time"
)

// scheduler is the virtual clock and the queue of what happens next.
type scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
	steps    int
}

type scheduled struct {
	at       time.Duration
	sequence uint64 // events of one time run in the order they were scheduled
	run      func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*q = old[:len(old)-1]
	return last
}

// after schedules run; a negative delay counts as none.
func (s *scheduler) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, scheduled{at: s.now + max(delay, 0), sequence: s.sequence, run: run})
}

// runUntil runs everything that is due up to end and sets the clock to it.
func (s *scheduler) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(scheduled)
		s.now = next.at
		s.steps++
		next.run()
	}
	s.now = end
}
