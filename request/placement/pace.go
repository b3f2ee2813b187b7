package placement

import "time"

// Bounds and weights of what a pace learns.
const (
	// priorSamples is the weight of each of the two first guesses of a line.
	priorSamples = 2
	// priorTokens is where the second guess stands; the first stands at no tokens.
	priorTokens = 8_000
	// paceSamples is how many samples a pace of a small service remembers.
	paceSamples = 100
	// smallService is how many replicas a small service has. A larger one remembers
	// samples in proportion: what a few replicas suffer for a moment is no pace of all.
	smallService = 12.5
	// A sample counts for no more than outlierFactor times what was expected, and
	// outlierSlack: what took longer waited for something else.
	outlierFactor = 1.5
	outlierSlack  = 10 * time.Millisecond
	// trustedSamples is how many samples outweigh the first guesses.
	trustedSamples = 40
	// leastTokenTime keeps a pace from being taken for infinite.
	leastTokenTime = 500 * time.Nanosecond
)

// pace is how long reading takes: a time to begin with, which many requests spend
// at once, and one for each token, which they spend after one another. The first is
// learnt where nobody else was being read, so that an overload is not taken for a
// slow start; the second from all.
type pace struct {
	idle line // through the samples of replicas that read for nobody else
	// Sums over all samples, of which the older ones count less; took is in seconds
	// and without the starts.
	tokens, took float64
	samples      int // that were learnt
}

// newPace returns a pace that knows only its first guesses.
func newPace(start, perToken time.Duration) pace {
	made := pace{tokens: priorSamples * priorTokens, took: priorSamples * priorTokens * perToken.Seconds()}
	made.idle.add(0, start, priorSamples)
	made.idle.add(priorTokens, start+priorTokens*perToken, priorSamples)
	return made
}

// readSample is one measured read.
type readSample struct {
	tokens int
	// took is the time since the replica was done with the read before, or, where it
	// had none, since the request was placed there. So it holds no time that was spent
	// on others, in whatever order they were read.
	took time.Duration
	// alone says that nobody else was being read there when it began.
	alone bool
}

// learn takes in a read at one of so many replicas.
func (p *pace) learn(sample readSample, replicas int) {
	start := time.Duration(0)
	if sample.alone {
		start = p.start()
	}
	took := clampOutlier(sample.took, start+time.Duration(sample.tokens)*p.perToken())
	kept := 1 - 1/samplesKept(paceSamples, replicas)
	if sample.alone {
		p.idle.fade(kept)
		p.idle.add(sample.tokens, took, 1)
	}
	p.tokens = p.tokens*kept + float64(sample.tokens)
	p.took = p.took*kept + max(took-start, 0).Seconds()
	p.samples++
}

// samplesKept is how many samples a service of so many replicas remembers, where a
// small one remembers small.
func samplesKept(small float64, replicas int) float64 {
	return small * max(float64(replicas)/smallService, 1)
}

// clampOutlier bounds what a sample counts for.
func clampOutlier(took, expected time.Duration) time.Duration {
	return min(max(took, 0), share(expected, outlierFactor)+outlierSlack)
}

// trusted reports whether enough was learnt to refuse a request by.
func (p *pace) trusted() bool { return p.samples >= trustedSamples }

// perToken is the time for each token.
func (p *pace) perToken() time.Duration {
	if p.tokens <= 0 {
		return leastTokenTime
	}
	return max(seconds(p.took/p.tokens), leastTokenTime)
}

// start is the time to begin with.
func (p *pace) start() time.Duration { return p.idle.start() }

// line is a straight line through samples, of which the older ones count less.
type line struct {
	weight, tokens, took, tokensSquared, product float64 // sums over samples; seconds
}

// add takes a sample in.
func (l *line) add(tokens int, took time.Duration, weight float64) {
	x, y := float64(tokens), took.Seconds()
	l.weight += weight
	l.tokens += weight * x
	l.took += weight * y
	l.tokensSquared += weight * x * x
	l.product += weight * x * y
}

// fade leaves so much of the weight of all samples.
func (l *line) fade(kept float64) {
	for _, sum := range []*float64{&l.weight, &l.tokens, &l.took, &l.tokensSquared, &l.product} {
		*sum *= kept
	}
}

// start is where the line stands at no tokens.
func (l *line) start() time.Duration {
	spread := l.weight*l.tokensSquared - l.tokens*l.tokens
	if l.weight <= 0 || spread <= 0 {
		return 0
	}
	slope := max((l.weight*l.product-l.tokens*l.took)/spread, 0)
	return max(seconds((l.took-slope*l.tokens)/l.weight), 0)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
