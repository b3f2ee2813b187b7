package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/caller"
	"github.com/landingtrail/landingtrail/lab/trace"
)

// Defaults and constants of an interference run.
const (
	DefaultBlocks       = 6
	DefaultBlock        = 4 * time.Second
	framePause          = 4 * time.Millisecond // between two plain requests, over all zones
	settlePause         = 500 * time.Millisecond
	bootstrapSamples    = 2000
	confidence          = 0.95
	percentile99        = 0.99
	minimumBlockAnswers = 100
)

// InterferenceConfig is what an interference run is made with.
type InterferenceConfig struct {
	Fleet Config
	// Blocks is how many times plain requests alone are followed by plain
	// requests beside model work, each for the time Block.
	Blocks int
	Block  time.Duration
}

// Interference is what plain back ends' callers saw without and beside
// saturated model work in the same run, and what the data path costs beside a
// plain forwarder.
type Interference struct {
	Deployment string    `json:"deployment"`
	Alone      LaneTimes `json:"alone"`
	Beside     LaneTimes `json:"beside"`
	// ForwarderAlone and ForwarderBeside are the same requests of one zone through a plain
	// forwarder, which carries no model work: what the machine and the callers'
	// own process do to them.
	ForwarderAlone  LaneTimes `json:"forwarder_alone"`
	ForwarderBeside LaneTimes `json:"forwarder_beside"`
	// P99Ratio is Beside over Alone; Low and High bound 95 % of the ratios that
	// blocks drawn anew give.
	P99Ratio     float64 `json:"p99_ratio"`
	P99RatioLow  float64 `json:"p99_ratio_low"`
	P99RatioHigh float64 `json:"p99_ratio_high"`
	// ModelOffered and ModelWhole count the model requests beside; the work is
	// saturated while fewer are whole than are offered.
	ModelOffered int64    `json:"model_offered"`
	ModelWhole   int64    `json:"model_whole"`
	Cost         PathCost `json:"cost"`
	// LoadAverage is the machine's, over a minute, before and after the run.
	LoadAverage [2]float64 `json:"load_average"`
}

// LaneTimes are the times of plain requests, in milliseconds.
type LaneTimes struct {
	Count  int     `json:"count"`
	Failed int     `json:"failed"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

// MeasureInterference brings a fleet up and measures it.
func MeasureInterference(ctx context.Context, config InterferenceConfig) (Interference, error) {
	result := Interference{Deployment: config.Fleet.Deployment}
	data, cleanUp, err := dataFolder(config.Fleet.Data)
	if err != nil {
		return result, err
	}
	defer cleanUp()
	planned, err := newLayout(config.Fleet, data)
	if err != nil {
		return result, err
	}
	fleet := &Fleet{config: config.Fleet, layout: planned, run: newSupervisor(ctx, filepath.Join(data, "logs"))}
	result.LoadAverage[0] = loadAverage()
	err = fleet.measureInterference(config, &result)
	result.LoadAverage[1] = loadAverage()
	summary := newSummary(config.Fleet)
	if stopErr := fleet.stop(&summary); err == nil {
		err = stopErr
	}
	return result, err
}

func (f *Fleet) measureInterference(config InterferenceConfig, result *Interference) error {
	if err := f.start(); err != nil {
		return err
	}
	driver, err := newDriver(f.config, f.layout)
	if err != nil {
		return err
	}
	f.driver = driver
	if err := f.bringUp(); err != nil {
		return err
	}
	forwarder, err := f.startForwarder()
	if err != nil {
		return err
	}
	if err := f.measureLanes(config, forwarder, result); err != nil {
		return err
	}
	f.progress("measuring the cost of the data path")
	result.Cost, err = f.measureCost(forwarder)
	return err
}

// laneBlock is the plain requests of one block.
type laneBlock struct {
	mutex  sync.Mutex
	times  []time.Duration
	failed int
}

// observe is called by many goroutines.
func (b *laneBlock) observe(seen caller.Observation) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if seen.Outcome != caller.OutcomeCompleted {
		b.failed++
		return
	}
	b.times = append(b.times, seen.Latency)
}

// plainBlock is one block's requests through the proxies and the forwarder.
type plainBlock struct{ proxied, forwarded *laneBlock }

// measureLanes plays the blocks in turn, so that what else the machine does
// weighs on both sides.
func (f *Fleet) measureLanes(config InterferenceConfig, forwarder string, result *Interference) error {
	var alone, beside, forwarderAlone, forwarderBeside []*laneBlock
	for block := range config.Blocks {
		f.progress("block %d of %d", block+1, config.Blocks)
		plain, err := f.playPlain(2*block, config.Block, forwarder)
		if err != nil {
			return err
		}
		alone, forwarderAlone = append(alone, plain.proxied), append(forwarderAlone, plain.forwarded)
		if plain, err = f.playBeside(2*block+1, config.Block, forwarder, result); err != nil {
			return err
		}
		beside, forwarderBeside = append(beside, plain.proxied), append(forwarderBeside, plain.forwarded)
	}
	result.ForwarderAlone, result.ForwarderBeside = timesOf(forwarderAlone), timesOf(forwarderBeside)
	result.Alone, result.Beside = timesOf(alone), timesOf(beside)
	result.P99Ratio = result.Beside.P99 / result.Alone.P99
	result.P99RatioLow, result.P99RatioHigh = bootstrapRatio(alone, beside)
	return nil
}

// playBeside plays plain requests while model requests come faster than the
// engines can answer them.
func (f *Fleet) playBeside(block int, duration time.Duration, forwarder string, result *Interference) (plainBlock, error) {
	items, err := trace.Make(trace.Config{
		Deployment: f.config.Deployment,
		Seed:       f.config.Seed + uint64(block),
		Scenario:   trace.ScenarioFront,
		Duration:   2*settlePause + duration,
		Compress:   true,
		Rate:       f.config.Rate,
	})
	if err != nil {
		return plainBlock{}, err
	}
	items = slices.DeleteFunc(items, func(item trace.Item) bool { return item.Model == "" })
	ctx, stop := context.WithCancel(f.run.context)
	defer stop()
	ended := make(chan caller.Report, 1)
	go func() { ended <- f.playModel(ctx, block, items) }()
	time.Sleep(settlePause)
	plain, err := f.playPlain(block, duration, forwarder)
	stop()
	report := <-ended
	total := report.Total()
	result.ModelOffered += total.Offered
	result.ModelWhole += total.Completed
	time.Sleep(settlePause)
	return plain, err
}

func (f *Fleet) playModel(ctx context.Context, block int, items []trace.Item) caller.Report {
	reports := make(chan caller.Report)
	for _, proxy := range f.layout.proxies {
		go func() {
			reports <- caller.Play(ctx, caller.Config{
				Proxy: proxy.address,
				Items: items,
				Zone:  proxy.zone,
				Name:  fmt.Sprintf("%s-%d", proxy.name, block),
			})
		}()
	}
	var total caller.Report
	for range f.layout.proxies {
		total.Merge(<-reports)
	}
	return total
}

// playPlain sends plain requests at even times through each proxy in turn, and
// those of one zone through the forwarder as well.
func (f *Fleet) playPlain(block int, duration time.Duration, forwarder string) (plainBlock, error) {
	played := plainBlock{proxied: &laneBlock{}, forwarded: &laneBlock{}}
	sample, err := f.plainItem()
	if err != nil {
		return played, err
	}
	var items []trace.Item
	for at := time.Duration(0); at < duration; at += framePause {
		item := sample
		item.At = at
		item.Zone = f.layout.proxies[len(items)%len(f.layout.proxies)].zone
		items = append(items, item)
	}
	var waiting sync.WaitGroup
	play := func(address, zone string, to *laneBlock) {
		waiting.Go(func() {
			caller.Play(f.run.context, caller.Config{
				Proxy:   address,
				Items:   items,
				Zone:    zone,
				Name:    fmt.Sprintf("plain-%s-%d", address, block),
				Observe: to.observe,
			})
		})
	}
	for _, proxy := range f.layout.proxies {
		play(proxy.address, proxy.zone, played.proxied)
	}
	play(forwarder, f.layout.proxies[0].zone, played.forwarded)
	waiting.Wait()
	for _, part := range []*laneBlock{played.proxied, played.forwarded} {
		if len(part.times) < minimumBlockAnswers {
			return played, errors.Errorf("fleet: only %d plain requests of a block were answered", len(part.times))
		}
	}
	return played, nil
}

// plainItem returns a plain request of the deployment's traffic, with time
// enough that none is given up.
func (f *Fleet) plainItem() (trace.Item, error) {
	items, err := trace.Make(trace.Config{Deployment: f.config.Deployment, Seed: f.config.Seed, Duration: time.Minute})
	if err != nil {
		return trace.Item{}, err
	}
	first := slices.IndexFunc(items, func(item trace.Item) bool { return item.Model == "" && !item.RepeatNever })
	if first < 0 {
		return trace.Item{}, errors.New("fleet: the deployment has no plain requests")
	}
	item := items[first]
	item.Deadline = stopTimeout
	return item, nil
}

func timesOf(blocks []*laneBlock) LaneTimes {
	all := joinBlocks(blocks)
	failed := 0
	for _, block := range blocks {
		failed += block.failed
	}
	return LaneTimes{
		Count:  len(all),
		Failed: failed,
		P50:    milliseconds(quantile(all, 0.5)),
		P99:    milliseconds(quantile(all, percentile99)),
	}
}

func joinBlocks(blocks []*laneBlock) []time.Duration {
	var all []time.Duration
	for _, block := range blocks {
		all = append(all, block.times...)
	}
	return all
}

// bootstrapRatio draws whole blocks anew, since requests of one block are not
// independent, and returns the bounds of most of the ratios that come out.
func bootstrapRatio(alone, beside []*laneBlock) (low, high float64) {
	random := rand.New(rand.NewPCG(1, uint64(len(alone))))
	draw := func(blocks []*laneBlock) float64 {
		drawn := make([]*laneBlock, len(blocks))
		for i := range drawn {
			drawn[i] = blocks[random.IntN(len(blocks))]
		}
		return milliseconds(quantile(joinBlocks(drawn), percentile99))
	}
	ratios := make([]float64, bootstrapSamples)
	for i := range ratios {
		ratios[i] = draw(beside) / draw(alone)
	}
	slices.Sort(ratios)
	tail := (1 - confidence) / 2
	return ratios[int(tail*bootstrapSamples)], ratios[int((1-tail)*bootstrapSamples)-1]
}
