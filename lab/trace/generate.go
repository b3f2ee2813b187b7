package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrUnknownDeployment is returned for a deployment without traffic.
var ErrUnknownDeployment = errors.New("unknown deployment")

// Config says which trace to make.
type Config struct {
	Deployment string
	Seed       uint64
	// Scenario overrides the scenario that the seed stands for.
	Scenario Scenario
	Duration time.Duration
	// Compress squeezes the course of a whole scenario into the duration and
	// shortens prompts, answers and deadlines, so that a demonstration of some
	// seconds in real time still shows a shift.
	Compress bool
	// Rate multiplies the arrivals of model requests; 0 means 1.
	Rate float64
}

// compressTokens and compressDeadline divide lengths and deadlines of a compressed trace.
const (
	compressTokens   = 4
	compressDeadline = 2
)

// Generate returns the trace of a deployment and seed, sorted by time. The
// same arguments always give the same trace. It panics on an unknown
// deployment; use Make where the name comes from a user.
func Generate(deployment string, seed uint64, duration time.Duration) []Item {
	items, err := Make(Config{Deployment: deployment, Seed: seed, Duration: duration})
	if err != nil {
		panic(err)
	}
	return items
}

// Make returns the trace of a config, sorted by time, or ErrUnknownDeployment.
func Make(config Config) ([]Item, error) {
	traffic, err := trafficOf(config.Deployment)
	if err != nil {
		return nil, err
	}
	if config.Scenario == "" {
		config.Scenario = ScenarioOf(config.Seed)
	}
	if config.Rate == 0 {
		config.Rate = 1
	}
	shapeSource := &shapeRandom{newRandom(config.Seed, config.Deployment)}
	curves := traffic.shapes(config.Scenario, shapeSource)
	var items []Item
	for _, c := range traffic.classes {
		stream := &classStream{
			config: config,
			zones:  traffic.zones,
			class:  c,
			rate:   curves.rate[c.name],
			prompt: curves.prompt[c.name],
			random: newRandom(config.Seed, config.Deployment+"/"+c.name),
		}
		items = append(items, stream.items()...)
	}
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(a.At, b.At) })
	return items, nil
}

// Zones returns the zones of a deployment, or ErrUnknownDeployment.
func Zones(deployment string) ([]string, error) {
	traffic, err := trafficOf(deployment)
	return slices.Clone(traffic.zones), err
}

func trafficOf(deployment string) (deploymentTraffic, error) {
	switch deployment {
	case DeploymentRadarvlak:
		return radarvlak, nil
	case DeploymentCaroni:
		return caroni, nil
	default:
		return deploymentTraffic{}, errors.Wrap(ErrUnknownDeployment, deployment)
	}
}

// newRandom gives each named part of a trace its own source, so that a change
// of one class leaves the arrivals of the others as they were.
func newRandom(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// classStream draws the requests of one class.
type classStream struct {
	config Config
	zones  []string
	class  class
	rate   curve
	prompt curve
	random *rand.Rand
	count  int
}

// items draws arrivals from a Poisson process whose rate follows the curve, by
// thinning a process of the curve's maximum.
func (s *classStream) items() []Item {
	maximum := s.rate.maximum()
	perSecond := s.class.perSec * maximum
	if s.class.model != "" {
		perSecond *= s.config.Rate
	}
	var items []Item
	at := time.Duration(0)
	for {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= s.config.Duration {
			return items
		}
		if s.random.Float64()*maximum < s.rate.at(s.shapeTime(at)) {
			items = append(items, s.item(at))
		}
	}
}

// shapeTime maps a time of the trace to a time of the scenario's course.
func (s *classStream) shapeTime(at time.Duration) time.Duration {
	if s.config.Compress {
		return time.Duration(float64(at) / float64(s.config.Duration) * float64(shapeSpan))
	}
	return at % shapeSpan
}

func (s *classStream) item(at time.Duration) Item {
	s.count++
	zone := s.zones[s.random.IntN(len(s.zones))]
	item := Item{
		At:       at,
		Caller:   fmt.Sprintf("%s-%s", s.class.name, zone),
		Tenant:   s.class.tenants[s.random.IntN(len(s.class.tenants))],
		Service:  s.class.service,
		Class:    s.class.name,
		Model:    s.class.model,
		Deadline: s.class.deadline,
		Zone:     zone,
	}
	if s.class.never {
		item.RepeatNever = true
		item.Key = fmt.Sprintf("%s-%d-%d", s.class.name, s.config.Seed, s.count)
	}
	if s.class.model != "" {
		s.drawTokens(&item)
	}
	if s.config.Compress {
		compress(&item)
	}
	return item
}

func (s *classStream) drawTokens(item *Item) {
	factor := s.prompt.at(s.shapeTime(item.At))
	item.PromptTokens = s.draw(s.class.prompt, factor)
	item.OutputTokens = s.draw(s.class.output, 1)
	scheme := s.class.prefix
	item.PrefixTokens = min(scheme.tokens, item.PromptTokens)
	group := s.random.IntN(scheme.groups)
	item.Prefix = s.prefixOf(group, item.At)
}

// prefixOf names the prefix that a group uses at a time. Groups renew theirs
// at different times.
func (s *classStream) prefixOf(group int, at time.Duration) uint64 {
	epoch := time.Duration(0)
	if renew := s.class.prefix.renew; renew > 0 {
		offset := renew * time.Duration(group) / time.Duration(s.class.prefix.groups)
		epoch = (at + offset) / renew
	}
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", s.class.name, group, epoch))
}

// draw returns a token count, at least 1.
func (s *classStream) draw(l length, factor float64) int {
	value := math.Exp(s.random.NormFloat64() * l.spread)
	value = min(max(value, 0.5), 3)
	return max(int(l.median*factor*value), 1)
}

func compress(item *Item) {
	item.Deadline /= compressDeadline
	if item.Model == "" {
		return
	}
	item.PromptTokens = max(item.PromptTokens/compressTokens, 1)
	item.OutputTokens = max(item.OutputTokens/compressTokens, 1)
	item.PrefixTokens = min(item.PrefixTokens/compressTokens, item.PromptTokens)
}
