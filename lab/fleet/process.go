package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrProcessDied says that a process ended that nobody told to.
var ErrProcessDied = errors.New("fleet: a process died")

// process is one child. It is ended by its own process ID only.
type process struct {
	name    string
	program string
	args    []string
	command *exec.Cmd
	logPath string
	done    chan struct{} // closed once err is set
	err     error

	mutex    sync.Mutex
	stopping bool
}

// supervisor starts the fleet's processes and gives the run up when one dies.
type supervisor struct {
	context context.Context
	cancel  context.CancelCauseFunc
	logs    string

	mutex     sync.Mutex
	processes []*process
}

func newSupervisor(ctx context.Context, logs string) *supervisor {
	watched, cancel := context.WithCancelCause(ctx)
	return &supervisor{context: watched, cancel: cancel, logs: logs}
}

// start runs a program with its output in a log file.
func (s *supervisor) start(name, program string, args ...string) error {
	if err := os.MkdirAll(s.logs, 0o755); err != nil {
		return errors.Wrap(err, "fleet: make log folder")
	}
	logPath := filepath.Join(s.logs, name+".log")
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Wrap(err, "fleet: make log file")
	}
	defer func() { _ = output.Close() }() // the child has its own handle
	command := exec.Command(program, args...)
	command.Stdout = output
	command.Stderr = output
	// A group of its own: Ctrl-C reaches the fleet alone, which stops the
	// processes in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "fleet: start "+name)
	}
	child := &process{
		name:    name,
		program: program,
		args:    args,
		command: command,
		logPath: logPath,
		done:    make(chan struct{}),
	}
	s.mutex.Lock()
	s.processes = append(s.processes, child)
	s.mutex.Unlock()
	go s.watch(child)
	return nil
}

// restart starts an ended process again, as it was.
func (s *supervisor) restart(ended *process) error {
	s.mutex.Lock()
	s.processes = slices.DeleteFunc(s.processes, func(other *process) bool { return other == ended })
	s.mutex.Unlock()
	return s.start(ended.name, ended.program, ended.args...)
}

// find returns the process with the name, or nil.
func (s *supervisor) find(name string) *process {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, child := range s.processes {
		if child.name == name {
			return child
		}
	}
	return nil
}

// watch waits for the child's end.
func (s *supervisor) watch(child *process) {
	child.err = child.command.Wait()
	close(child.done)
	if child.isStopping() {
		return
	}
	s.cancel(errors.Wrapf(ErrProcessDied, "%s: %s: %s", child.name, child.command.ProcessState, lastLine(child.logPath)))
}

// explain returns the reason for which the run was given up, if there is one.
func (s *supervisor) explain(err error) error {
	if cause := context.Cause(s.context); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// stop ends the processes whose names have one of the prefixes, all at once:
// SIGTERM first, and SIGKILL for one that outlasts the timeout, which is an error.
func (s *supervisor) stop(prefixes ...string) []error {
	var waiting sync.WaitGroup
	var mutex sync.Mutex
	var failures []error
	for _, child := range s.named(prefixes) {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			if err := child.stop(); err != nil {
				mutex.Lock()
				failures = append(failures, err)
				mutex.Unlock()
			}
		}()
	}
	waiting.Wait()
	return failures
}

func (s *supervisor) named(prefixes []string) []*process {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []*process
	for _, child := range s.processes {
		for _, prefix := range prefixes {
			if strings.HasPrefix(child.name, prefix) {
				found = append(found, child)
				break
			}
		}
	}
	return found
}

// tolerate has the process's end be no death of the run.
func (p *process) tolerate() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopping = true
}

func (p *process) isStopping() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stopping
}

// kill ends the process at once.
func (p *process) kill() {
	p.tolerate()
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.done
}

// stop returns an error unless the process ends with status 0 in time.
func (p *process) stop() error {
	p.tolerate()
	select {
	case <-p.done:
		return nil // it died before; the run knows
	default:
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, p.name)
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		_ = p.command.Process.Kill()
		<-p.done
		return errors.Errorf("%s did not stop within %s", p.name, stopTimeout)
	}
	if p.err != nil {
		return errors.Errorf("%s stopped with %v: %s", p.name, p.err, lastLine(p.logPath))
	}
	return nil
}

// lastLine returns the last line of a log, for messages.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Sprintf("(no log: %v)", err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
