package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

const (
	servingPause   = 100 * time.Millisecond
	inForcePause   = 2 * time.Millisecond
	inForceTimeout = 15 * time.Second
	// labelPause is the time between two label changes of the run.
	labelPause = time.Second
)

// applied is the part of the command's JSON that the fleet reads.
type applied struct {
	Result              api.TransactionResult `json:"result"`
	InForceMilliseconds float64               `json:"inForceMs"`
}

// driver is the deployment's operator: it changes objects by the real command
// line and watches what comes of it.
type driver struct {
	config Config
	layout *layout
	client *operator.Client
}

func newDriver(config Config, planned *layout) (*driver, error) {
	client, err := operator.New(operator.Config{Members: planned.operators()})
	if err != nil {
		return nil, err
	}
	return &driver{config: config, layout: planned, client: client}, nil
}

// apply runs "landingtrail apply".
func (d *driver) apply(ctx context.Context, path string, flags ...string) (applied, error) {
	return d.command(ctx, append([]string{"apply", "--file", path, "--allow-broad"}, flags...)...)
}

// command runs one operator command that writes.
func (d *driver) command(ctx context.Context, args ...string) (applied, error) {
	endpoints := strings.Join(d.layout.operators(), ",")
	args = append(args, "--endpoints", endpoints, "--output", "json")
	run := exec.CommandContext(ctx, d.config.Product, args...)
	var out, messages bytes.Buffer
	run.Stdout, run.Stderr = &out, &messages
	if err := run.Run(); err != nil {
		return applied{}, errors.Errorf("fleet: landingtrail %s: %v: %s", args[0], err, strings.TrimSpace(messages.String()))
	}
	var result applied
	return result, errors.Wrap(json.Unmarshal(out.Bytes(), &result), "fleet: read the command's result")
}

// waitServing returns once every named engine serves what it was assigned.
func (d *driver) waitServing(ctx context.Context, names []string) error {
	for {
		status, err := d.client.Status(ctx)
		if err != nil {
			return err
		}
		missing := notServing(status, names)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("fleet: engines that do not serve in time: %s", strings.Join(missing, ", "))
		case <-time.After(servingPause):
		}
	}
}

func notServing(status operatorapi.Status, names []string) []string {
	serving := map[string]bool{}
	for _, engine := range status.Engines {
		serving[engine.Name] = engine.Phase == api.PhaseServing && engine.Assignment.Model != ""
	}
	var missing []string
	for _, name := range names {
		if !serving[name] {
			missing = append(missing, name)
		}
	}
	return missing
}

// changeLog is what became of the run's changes.
type changeLog struct {
	// accepted and failed count the changes.
	accepted int
	failures []error
	// inForce holds, for each change and daemon, the time from the start of the
	// operator's command until the daemon had the change in force.
	inForce []time.Duration
	lapsed  int
}

// changeAlong makes the deployment's own changes spread over the run, and moves
// a label every second, as automation does.
func (d *driver) changeAlong(ctx context.Context, duration time.Duration) changeLog {
	var log changeLog
	started := time.Now()
	pending := d.layout.changePaths
	spacing := duration / time.Duration(len(pending)+2)
	next := started.Add(spacing)
	for count := 1; time.Since(started) < duration && ctx.Err() == nil; count++ {
		if len(pending) > 0 && time.Now().After(next) {
			d.change(ctx, &log, "apply", "--file", pending[0])
			pending = pending[1:]
			next = next.Add(spacing)
		}
		d.change(ctx, &log, "label", "engine", d.layout.engines[0].name, fmt.Sprintf("turn=%d", count))
		select {
		case <-ctx.Done():
		case <-time.After(labelPause):
		}
	}
	return log
}

// change runs one command and follows it until it is in force.
func (d *driver) change(ctx context.Context, log *changeLog, args ...string) {
	started := time.Now()
	done, err := d.command(ctx, args...)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		log.failures = append(log.failures, err)
		return
	}
	log.accepted++
	if err := d.follow(ctx, done.Result.Revision, started, log); err != nil && ctx.Err() == nil {
		log.failures = append(log.failures, err)
	}
}

// follow notes when each daemon has the revision in force.
func (d *driver) follow(ctx context.Context, revision uint64, started time.Time, log *changeLog) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	seen := 0
	for {
		state, err := d.client.InForce(ctx, revision)
		if err != nil {
			return err
		}
		for ; seen < state.Acknowledged; seen++ {
			log.inForce = append(log.inForce, time.Since(started))
		}
		if state.Done {
			log.lapsed += len(state.Lapsed)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("fleet: revision %d is not in force within %s", revision, inForceTimeout)
		case <-time.After(inForcePause):
		}
	}
}

// quantile returns the value at a share of the sorted durations.
func quantile(durations []time.Duration, share float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(share*float64(len(sorted)-1))]
}
