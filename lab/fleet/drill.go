package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Drill is what happens to the processes during the load.
type Drill string

// Drills.
const (
	// DrillNone leaves the processes alone.
	DrillNone Drill = "none"
	// DrillPlanned stops an engine, a back end and the leading control member
	// as planned, one after the other, and starts each again. No request may
	// notice it.
	DrillPlanned Drill = "planned"
	// DrillCrash kills the leading control member, an engine, a back end and
	// the leader again, and starts each again. Runs may be lost, but no answer
	// may be wrong and nothing may run twice that must not.
	DrillCrash Drill = "crash"
)

// downTime is how long a process stays away.
const downTime = time.Second

// drillStep ends and restarts one process.
type drillStep struct {
	name   string
	target func(ctx context.Context) (string, error) // a process name
}

// drill carries out the steps spread over the run and returns what went wrong.
func (f *Fleet) drill(ctx context.Context, duration time.Duration) []error {
	steps := f.drillSteps()
	spacing := duration / time.Duration(len(steps)+1)
	var failures []error
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return failures
		case <-time.After(spacing):
		}
		if err := f.drillOne(ctx, step); err != nil && ctx.Err() == nil {
			failures = append(failures, errors.Wrap(err, step.name))
		}
	}
	return failures
}

func (f *Fleet) drillSteps() []drillStep {
	engine := drillStep{"engine", fixed(prefixEngine + f.layout.engines[1].name)}
	backend := drillStep{"back end", fixed(prefixBackend + f.layout.backends[1].name)}
	leader := drillStep{"leading member", f.leader}
	switch f.config.Drill {
	case DrillPlanned:
		return []drillStep{engine, backend, leader}
	case DrillCrash:
		return []drillStep{leader, engine, backend, leader}
	}
	return nil
}

func fixed(name string) func(context.Context) (string, error) {
	return func(context.Context) (string, error) { return name, nil }
}

// leader names the process of the member that leads now.
func (f *Fleet) leader(ctx context.Context) (string, error) {
	status, err := f.driver.client.Status(ctx)
	if err != nil {
		return "", err
	}
	return prefixControl + strings.TrimSpace(status.Leader), nil
}

func (f *Fleet) drillOne(ctx context.Context, step drillStep) error {
	name, err := step.target(ctx)
	if err != nil {
		return err
	}
	child := f.run.find(name)
	if child == nil {
		return errors.Errorf("no process %s", name)
	}
	if f.config.Drill == DrillCrash {
		f.progress("killing %s", name)
		child.kill()
	} else {
		f.progress("stopping %s", name)
		if err := child.stop(); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(downTime):
	}
	return f.run.restart(child)
}
