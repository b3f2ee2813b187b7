package campaign

import "time"

// process is a simulated operating-system process. What it schedules is lost
// when it is killed and waits while it is paused.
type process struct {
	world       *world
	name        string
	up          bool
	generation  uint64 // counts starts
	pausedUntil time.Duration
	// rate is how fast its monotonic clock runs, and origin its reading at
	// virtual time zero: clocks of different processes are not comparable.
	rate   float64
	origin time.Duration
}

// clock reads the process's monotonic clock.
func (p *process) clock() time.Duration {
	return p.origin + time.Duration(float64(p.world.now)*p.rate)
}

// after runs the function in this start of the process once the delay is over,
// or when a pause that covers that time ends.
func (p *process) after(delay time.Duration, run func()) {
	generation := p.generation
	p.world.after(delay, func() { p.deliver(generation, run) })
}

// deliver runs the function now, or at the end of the pause, unless the start
// that it was meant for has ended.
func (p *process) deliver(generation uint64, run func()) {
	if !p.up || p.generation != generation {
		return
	}
	if p.pausedUntil > p.world.now {
		p.world.after(p.pausedUntil-p.world.now, func() { p.deliver(generation, run) })
		return
	}
	run()
}

// every runs the function again and again while this start of the process lasts.
func (p *process) every(interval time.Duration, run func()) {
	p.after(interval, func() {
		run()
		p.every(interval, run)
	})
}

func (p *process) start() {
	p.up = true
	p.generation++
	p.pausedUntil = 0
}

func (p *process) kill() {
	p.up = false
}

func (p *process) pause(length time.Duration) {
	p.pausedUntil = max(p.pausedUntil, p.world.now+length)
}
