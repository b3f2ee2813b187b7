package fleet

import (
	"context"
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/lab/fleet/faults"
)

// errNotNow says that a fault does not fit what else is going on: its target is
// under another fault, or the disk that it would take is one too many.
var errNotNow = errors.New("fleet: the fault does not fit now")

// strike is a fault that has begun; heal ends it.
type strike struct {
	target string
	heal   func() error
}

// begin lets a fault strike.
func (s *soak) begin(ctx context.Context, fault plannedFault) (strike, error) {
	switch fault.Kind {
	case FaultKill:
		return s.downed(s.pick(fault.Target, prefixControl, prefixProxy, prefixEngine, prefixBackend), keepFiles)
	case FaultKillAllMembers:
		return s.downAll()
	case FaultPause:
		return s.paused(s.pick(fault.Target, prefixControl, prefixProxy, prefixEngine, prefixBackend))
	case FaultStutter:
		return s.stuttering(s.pick(fault.Target, prefixControl, prefixProxy, prefixEngine))
	case FaultPlannedStop:
		return s.stopped(s.pick(fault.Target, prefixControl, prefixProxy, prefixEngine, prefixBackend))
	case FaultLoseDisk:
		return s.loseDisk(ctx, s.pick(fault.Target, prefixControl))
	case FaultTornTail:
		return s.downed(s.pick(fault.Target, prefixControl), s.tearTail)
	case FaultRefuseWrites:
		return s.refuseWrites(s.pick(fault.Target, prefixControl))
	case FaultCutMember:
		return s.cutMember(ctx, fault.Target, true)
	case FaultDeafMember:
		return s.cutMember(ctx, fault.Target, false)
	case FaultCutFeed:
		return s.ruled(linkFeed+s.member(fault.Target), faults.Drop, faults.Drop)
	case FaultSeverFeed:
		return s.ruled(linkFeed+s.member(fault.Target), faults.Sever, faults.Sever)
	case FaultSilentReplica:
		return s.ruled(s.replica(fault.Target), faults.Pass, faults.Drop)
	case FaultResetReplica:
		return s.ruled(s.replica(fault.Target), faults.Sever, faults.Pass)
	case FaultHoldReplica:
		return s.ruled(s.replica(fault.Target), faults.Hold, faults.Pass)
	case FaultLoseAnswers:
		return s.ruled(linkOperator+s.member(fault.Target), faults.Pass, faults.Drop)
	}
	panic("fleet: no such kind of fault: " + string(fault.Kind))
}

// pick names one of the processes with the prefixes.
func (s *soak) pick(target uint64, prefixes ...string) string {
	var names []string
	for _, child := range s.fleet.run.named(prefixes) {
		names = append(names, child.name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return names[target%uint64(len(names))]
}

func (s *soak) member(target uint64) string {
	members := s.fleet.layout.members
	return members[target%uint64(len(members))].name
}

// replica names the link to an engine or a back end.
func (s *soak) replica(target uint64) string {
	engines, backends := s.fleet.layout.engines, s.fleet.layout.backends
	index := int(target % uint64(len(engines)+len(backends)))
	if index < len(engines) {
		return prefixEngine + engines[index].name
	}
	return prefixBackend + backends[index-len(engines)].name
}

// claim takes a process or link for one fault; release gives it back.
func (s *soak) claim(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if name == "" || s.taken[name] {
		return false
	}
	s.taken[name] = true
	return true
}

func (s *soak) release(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.taken, name)
}

// claimProcess takes a process that runs.
func (s *soak) claimProcess(name string) (*process, error) {
	if !s.claim(name) {
		return nil, errNotNow
	}
	child := s.fleet.run.find(name)
	if child == nil {
		s.release(name)
		return nil, errNotNow
	}
	return child, nil
}

func keepFiles(string) error { return nil }

// downed kills a process, changes its files and starts it again at the end.
func (s *soak) downed(name string, change func(name string) error) (strike, error) {
	child, err := s.claimProcess(name)
	if err != nil {
		return strike{}, err
	}
	child.kill()
	if err := change(name); err != nil {
		return strike{}, err
	}
	return strike{name, func() error {
		defer s.release(name)
		return s.fleet.run.restart(child)
	}}, nil
}

// downAll kills every member at once.
func (s *soak) downAll() (strike, error) {
	var killed []*process
	release := func() {
		for _, child := range killed {
			s.release(child.name)
		}
	}
	for _, member := range s.fleet.layout.members {
		child, err := s.claimProcess(prefixControl + member.name)
		if err != nil {
			release()
			return strike{}, err
		}
		killed = append(killed, child)
	}
	for _, child := range killed {
		child.kill()
	}
	return strike{"all members", func() error {
		defer release()
		for _, child := range killed {
			if err := s.fleet.run.restart(child); err != nil {
				return err
			}
		}
		return nil
	}}, nil
}

func (s *soak) paused(name string) (strike, error) {
	child, err := s.claimProcess(name)
	if err != nil {
		return strike{}, err
	}
	if err := child.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return strike{}, err
	}
	return strike{name, func() error {
		defer s.release(name)
		return child.command.Process.Signal(syscall.SIGCONT)
	}}, nil
}

// stutterTurn is how long a stuttering process stands still, and then runs.
const stutterTurn = 60 * time.Millisecond

func (s *soak) stuttering(name string) (strike, error) {
	child, err := s.claimProcess(name)
	if err != nil {
		return strike{}, err
	}
	end, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		for {
			_ = child.command.Process.Signal(syscall.SIGSTOP) // its end is noticed by the next
			time.Sleep(stutterTurn)
			err := child.command.Process.Signal(syscall.SIGCONT)
			select {
			case <-end:
				ended <- err
				return
			case <-time.After(stutterTurn):
			}
		}
	}()
	return strike{name, func() error {
		defer s.release(name)
		close(end)
		return <-ended
	}}, nil
}

func (s *soak) stopped(name string) (strike, error) {
	child, err := s.claimProcess(name)
	if err != nil {
		return strike{}, err
	}
	if err := child.stop(); err != nil {
		return strike{}, err
	}
	return strike{name, func() error {
		defer s.release(name)
		return s.fleet.run.restart(child)
	}}, nil
}

// loseDisk takes a member's disk while the group says that it can bear it.
func (s *soak) loseDisk(ctx context.Context, name string) (strike, error) {
	status, err := s.client.Status(ctx)
	if err != nil || status.FurtherLosses < 1 || len(status.Repairing) > 0 {
		return strike{}, errNotNow
	}
	return s.downed(name, func(name string) error {
		return os.RemoveAll(s.memberFolder(name))
	})
}

func (s *soak) memberFolder(name string) string {
	return filepath.Join(s.fleet.layout.folder, strings.TrimPrefix(name, prefixControl))
}

// logFiles is what a member's log files are called.
const logFiles = "*.wal"

// torn is the beginning of a record whose rest was never written.
var torn = []byte{0, 0, 1, 77, 9, 200, 14}

// tearTail leaves part of a record at the end of the newest log file, as a
// process that dies while it writes does.
func (s *soak) tearTail(name string) error {
	files, err := filepath.Glob(filepath.Join(s.memberFolder(name), logFiles))
	if err != nil || len(files) == 0 {
		return errors.Wrapf(err, "fleet: no log of %s to tear", name)
	}
	slices.Sort(files)
	file, err := os.OpenFile(files[len(files)-1], os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return errors.Wrap(err, "fleet: tear a log")
	}
	if _, err := file.Write(torn); err != nil {
		_ = file.Close() // the write has failed already
		return errors.Wrap(err, "fleet: tear a log")
	}
	return errors.Wrap(file.Close(), "fleet: tear a log")
}

// refuseWrites has every write of a member's process to a file fail, as on a
// full disk. A member that ends over it is started again.
func (s *soak) refuseWrites(name string) (strike, error) {
	child, err := s.claimProcess(name)
	if err != nil {
		return strike{}, err
	}
	child.tolerate()
	pid := child.command.Process.Pid
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &before); err != nil {
		return strike{}, errors.Wrap(err, "fleet: read the limit of files")
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: before.Max}, nil); err != nil {
		return strike{}, errors.Wrap(err, "fleet: limit files")
	}
	return strike{name, func() error {
		defer s.release(name)
		child.kill() // it may have ended, and its successor has no limit
		return s.fleet.run.restart(child)
	}}, nil
}

// cutMember silences a member towards the others, and, if both, the others
// towards it.
func (s *soak) cutMember(ctx context.Context, target uint64, both bool) (strike, error) {
	name := s.member(target)
	status, err := s.client.Status(ctx)
	if err != nil {
		return strike{}, errNotNow // who is who is not known
	}
	index := slices.IndexFunc(status.Members, func(member operatorapi.Member) bool { return member.Name == name })
	if index < 0 {
		return strike{}, errNotNow
	}
	opening := binary.BigEndian.AppendUint64(nil, status.Members[index].ID)
	links, rules := []string{linkPeer + name}, []faults.Rule{faults.Always(faults.Drop)}
	for _, member := range s.fleet.layout.members {
		if member.name != name && both {
			links = append(links, linkPeer+member.name)
			rules = append(rules, faults.WhenOpening(opening, faults.Drop))
		}
	}
	var claimed []string
	heal := func() error {
		for _, link := range claimed {
			s.network.Link(link).Requests.Clear()
			s.release(link)
		}
		return nil
	}
	for i, link := range links {
		if !s.claim(link) {
			_ = heal() // clears what was set
			return strike{}, errNotNow
		}
		claimed = append(claimed, link)
		s.network.Link(link).Requests.Set(rules[i])
	}
	return strike{name, heal}, nil
}

// ruled sets one rule for each direction of a link.
func (s *soak) ruled(name string, requests, answers faults.Verdict) (strike, error) {
	link := s.network.Link(name)
	if link == nil || !s.claim(name) {
		return strike{}, errNotNow
	}
	link.Requests.Set(faults.Always(requests))
	link.Answers.Set(faults.Always(answers))
	return strike{name, func() error {
		defer s.release(name)
		link.Requests.Clear()
		link.Answers.Clear()
		link.Requests.Release()
		return nil
	}}, nil
}
