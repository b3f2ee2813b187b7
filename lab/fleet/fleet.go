// Package fleet runs a whole deployment on one machine: real processes of the
// product and of the stand-ins on loopback, the deployment's own settings and
// objects, real load, and changes in the middle of it. It ends with a summary
// that says what was measured and what that must always hold did not.
package fleet

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/process/settings"
)

// Defaults of a Config.
const (
	DefaultDuration    = 20 * time.Second
	DefaultFolder      = "deployments"
	DefaultWeightBytes = 2 << 20
	DefaultWeightRate  = 8 << 20
)

// Bounds of the phases around the load.
const (
	readyTimeout   = 20 * time.Second
	servingTimeout = 60 * time.Second
	stopTimeout    = 30 * time.Second
)

// Config is what a fleet is run with.
type Config struct {
	Deployment string
	// Folder holds a folder for each deployment.
	Folder string
	// Product and Lab are the programs' paths.
	Product string
	Lab     string
	// Duration is how long callers send; 0: none sends, and the fleet serves
	// until its context ends.
	Duration time.Duration
	Seed     uint64
	// Rate multiplies the model requests, Speed the engines' work.
	Rate  float64
	Speed uint64
	// Data keeps all files; empty: a temporary folder that is removed.
	Data string
	// WeightBytes and WeightRate are the platform's weight store.
	WeightBytes uint64
	WeightRate  uint64
	// Relays is how many relays pass the feed on to the proxies; 0: the proxies
	// follow the members themselves.
	Relays int
	// Drill says what happens to the processes during the load; empty: nothing.
	Drill Drill
	// Via, if set, is given the name and address of every listener of the product,
	// the engines, the back ends and the platform, and returns the address by
	// which others are to reach it.
	Via func(name, address string) (string, error)
	// Adjust, if set, changes the deployment's settings of each daemon.
	Adjust func(file *settings.File)
	// Progress gets one line for each step.
	Progress io.Writer
}

// Fleet is one run.
type Fleet struct {
	config Config
	layout *layout
	run    *supervisor
	driver *driver
}

// Run brings the fleet up, plays the load, stops everything as planned and
// returns what was measured. The error says why the run could not be made or
// was given up; violations stand in the summary. When ctx ends, the callers
// stop and the fleet drains.
func Run(ctx context.Context, config Config) (Summary, error) {
	data, cleanUp, err := dataFolder(config.Data)
	if err != nil {
		return Summary{}, err
	}
	defer cleanUp()
	planned, err := newLayout(config, data)
	if err != nil {
		return Summary{}, err
	}
	fleet := &Fleet{config: config, layout: planned, run: newSupervisor(ctx, filepath.Join(data, "logs"))}
	summary, err := fleet.serve()
	stopErr := fleet.stop(&summary)
	if err == nil {
		err = stopErr
	}
	return summary, err
}

// serve starts everything and plays the load.
func (f *Fleet) serve() (Summary, error) {
	summary := newSummary(f.config)
	if err := f.start(); err != nil {
		return summary, err
	}
	driver, err := newDriver(f.config, f.layout)
	if err != nil {
		return summary, err
	}
	f.driver = driver
	if err := f.bringUp(); err != nil {
		return summary, err
	}
	if err := f.announce(); err != nil {
		return summary, err
	}
	if f.config.Duration == 0 {
		return summary, f.serveIdle()
	}
	items, err := trace.Make(trace.Config{
		Deployment: f.config.Deployment,
		Seed:       f.config.Seed,
		Scenario:   trace.ScenarioFront,
		Duration:   f.config.Duration,
		Compress:   true,
		Rate:       f.config.Rate,
	})
	if err != nil {
		return summary, err
	}
	f.progress("playing %d requests for %s", len(items), f.config.Duration)
	changes := make(chan changeLog, 1)
	go func() { changes <- f.driver.changeAlong(f.run.context, f.config.Duration) }()
	drilled := make(chan []error, 1)
	go func() { drilled <- f.drill(f.run.context, f.config.Duration) }()
	report := f.play(items)
	summary.count(report)
	summary.countChanges(<-changes)
	for _, failure := range <-drilled {
		summary.violate("drill: %v", failure)
	}
	return summary, f.audit(&summary, items)
}

// bringUp applies the deployment's objects and waits until engines serve.
func (f *Fleet) bringUp() error {
	f.progress("applying %s", filepath.Base(f.layout.objectsPath))
	ctx, cancel := context.WithTimeout(f.run.context, servingTimeout)
	defer cancel()
	applied, err := f.driver.apply(ctx, f.layout.objectsPath, "--wait")
	if err != nil {
		return err
	}
	f.progress("accepted at revision %d, in force after %.0f ms", applied.Result.Revision, applied.InForceMilliseconds)
	started := time.Now()
	if err := f.driver.waitServing(ctx, f.layout.engineNames()); err != nil {
		return f.run.explain(err)
	}
	f.progress("all %d engines serve after %.1f s", len(f.layout.engines), time.Since(started).Seconds())
	return nil
}

// play sends each zone's requests through that zone's proxy.
func (f *Fleet) play(items []trace.Item) caller.Report {
	reports := make(chan caller.Report)
	for _, proxy := range f.layout.proxies {
		go func() {
			reports <- caller.Play(f.run.context, caller.Config{
				Proxy:        proxy.address,
				Items:        items,
				Zone:         proxy.zone,
				Name:         proxy.name,
				RetryRefused: true,
			})
		}()
	}
	var total caller.Report
	for range f.layout.proxies {
		total.Merge(<-reports)
	}
	return total
}

// ErrDataFolder says that the data folder of another run was given. Members
// keep their addresses in their data, and each run draws its ports anew.
var ErrDataFolder = errors.New("fleet: the data folder must be new or empty")

func makeEmpty(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "fleet: make data folder")
	}
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "fleet: read data folder")
	}
	if len(entries) > 0 {
		return ErrDataFolder
	}
	return nil
}

// dataFolder returns a folder for the run and what removes it.
func dataFolder(given string) (string, func(), error) {
	if given != "" {
		return given, func() {}, makeEmpty(given)
	}
	made, err := os.MkdirTemp("", "landingtrail-fleet-")
	if err != nil {
		return "", nil, errors.Wrap(err, "fleet: make data folder")
	}
	return made, func() { _ = os.RemoveAll(made) }, nil
}
