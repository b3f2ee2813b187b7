package control

import (
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/view"
)

// restartDoubts holds the replicas of which it is not known whether the listed process still answers, because proxies
// saw its connections end (resume.RestartDoubt). It is safe for concurrent use.
type restartDoubts struct {
	lock    sync.Mutex
	crashes map[string]time.Duration // by incarnation: when its connections ended last
}

func newRestartDoubts() *restartDoubts {
	return &restartDoubts{crashes: map[string]time.Duration{}}
}

// note records what a proxy reports of replicas that seem to have crashed.
func (d *restartDoubts) note(now time.Duration, report feed.CrashReport) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, crash := range report.Crashes {
		if last, known := d.crashes[crash.Replica]; !known || last < now-crash.Age {
			d.crashes[crash.Replica] = now - crash.Age
		}
	}
	for incarnation, at := range d.crashes {
		if now-at >= resume.RestartDoubt {
			delete(d.crashes, incarnation)
		}
	}
}

// of returns the replicas of a service that are in doubt, sorted by name.
func (d *restartDoubts) of(now time.Duration, current *view.View, service string) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	if len(d.crashes) == 0 {
		return nil
	}
	var names []string
	for name, replica := range current.Replicas {
		if replica.Spec.Service != service || replica.Spec.Born == 0 {
			continue
		}
		if at, crashed := d.crashes[replica.Incarnation()]; crashed && now-at < resume.RestartDoubt {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// excludeDoubtful excludes from the placement of a stream that may be taken up the replicas whose version is in doubt,
// and returns them. A stream that goes on must not go there; one that begins may, if there is no other.
func (g *group) excludeDoubtful(request *feed.PlaceRequest, now time.Duration) (doubtful []string) {
	if len(request.Ask.Streams) == 0 {
		return nil
	}
	doubtful = g.restarts.of(now, g.machine.view(), request.Service)
	if len(doubtful) == 0 {
		return nil
	}
	excluded := slices.Concat(request.Ask.Excluded, doubtful)
	if request.Ask.SoftwareVersion != "" || g.boards.canGenerate(request.Service, excluded, now) {
		request.Ask.Excluded = excluded
	}
	return doubtful
}

// placedVersion returns the software version at which a placement begins a stream; empty if it is not known.
func (g *group) placedVersion(answer placement.Answer, doubtful []string) string {
	generator := g.machine.view().Replicas[answer.Generator]
	if generator == nil || slices.Contains(doubtful, answer.Generator) {
		return ""
	}
	return generator.Spec.SoftwareVersion
}
