package fleet

import (
	"context"

	"github.com/pkg/errors"
)

// Supervisor starts processes for other parts of the lab and ends them by
// their own process IDs. A process that dies untold ends its Context.
type Supervisor struct{ run *supervisor }

// NewSupervisor returns a supervisor whose processes write to files in the
// folder of logs.
func NewSupervisor(ctx context.Context, logs string) *Supervisor {
	return &Supervisor{run: newSupervisor(ctx, logs)}
}

// Context ends when a process dies that nobody told to, or with the context
// that the supervisor was made with.
func (s *Supervisor) Context() context.Context { return s.run.context }

// Explain returns the process's death if that is why err came about.
func (s *Supervisor) Explain(err error) error { return s.run.explain(err) }

// Start runs a program and returns its process ID.
func (s *Supervisor) Start(name, program string, args ...string) (int, error) {
	if err := s.run.start(name, program, args...); err != nil {
		return 0, err
	}
	started := s.run.find(name)
	if started == nil {
		return 0, errors.Wrap(ErrProcessDied, name)
	}
	return started.command.Process.Pid, nil
}

// Stop ends the processes whose names have one of the prefixes and returns
// what went wrong.
func (s *Supervisor) Stop(prefixes ...string) []error { return s.run.stop(prefixes...) }

// WaitDial returns once the address takes connections, or the error of the last
// try when ctx ends.
func WaitDial(ctx context.Context, address string) error { return waitDial(ctx, address) }

// FreeAddresses returns loopback addresses with different free ports.
func FreeAddresses(count int) ([]string, error) { return freeAddresses(count) }
