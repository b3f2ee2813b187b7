package placement

import "time"

// Parameters of the measured read times.
const (
	// The fit of the read times starts with two points computed from the initial estimates, at
	// zero and at priorTokens tokens. Each has the weight of priorSamples samples.
	priorSamples = 2
	priorTokens  = 8_000
	// readTimeSamples is the number of samples over which read times are averaged (the sample
	// window) in a small service.
	readTimeSamples = 100
	// smallServiceReplicas is the number of replicas up to which a service counts as small. In
	// a larger service the sample window is larger in proportion, so that a short disturbance of
	// a few replicas does not change the estimate for all.
	smallServiceReplicas = 12.5
	// A sample is limited to outlierFactor times the expected time plus outlierSlack, since a
	// read that took longer was delayed by something else.
	outlierFactor = 1.5
	outlierSlack  = 10 * time.Millisecond
	// trustedSamples is the number of samples that outweigh the initial estimates.
	trustedSamples = 40
	// minTokenTime keeps the estimated time per token from reaching zero.
	minTokenTime = 500 * time.Nanosecond
)

// readTime estimates how long a replica takes to read a prompt: a fixed time, which passes for
// many requests at once, plus a time per token, in which the replica reads for one request only.
// The fixed time is learned only from reads with no other read in progress on the replica, so that
// an overload is not mistaken for a larger fixed time; the time per token is learned from all
// reads.
type readTime struct {
	idleFit line // fit of the reads on replicas that were reading nothing else
	// Exponentially decaying sums over all samples; took is in seconds, without fixed times.
	tokens, took float64
	samples      int // number of samples learned
}

// newReadTime returns an estimate from initial values.
func newReadTime(fixed, perToken time.Duration) readTime {
	result := readTime{tokens: priorSamples * priorTokens, took: priorSamples * priorTokens * perToken.Seconds()}
	result.idleFit.add(0, fixed, priorSamples)
	result.idleFit.add(priorTokens, fixed+priorTokens*perToken, priorSamples)
	return result
}

// readSample is one measured read.
type readSample struct {
	tokens int
	// took is the time since the replica completed its previous read, or since the request
	// was placed there if that is later. So it includes no time spent on other requests,
	// whatever the order in which they were read.
	took time.Duration
	// alone says that no other read was in progress on the replica when the request was
	// placed there.
	alone bool
}

// learn adds a sample from a service with the given number of replicas.
func (t *readTime) learn(sample readSample, replicas int) {
	fixed := time.Duration(0)
	if sample.alone {
		fixed = t.fixed()
	}
	took := clampOutlier(sample.took, fixed+time.Duration(sample.tokens)*t.perToken())
	decay := 1 - 1/sampleWindow(readTimeSamples, replicas)
	if sample.alone {
		t.idleFit.decay(decay)
		t.idleFit.add(sample.tokens, took, 1)
	}
	t.tokens = t.tokens*decay + float64(sample.tokens)
	t.took = t.took*decay + max(took-fixed, 0).Seconds()
	t.samples++
}

// sampleWindow returns the sample window of a service with the given number of replicas; small is
// the window of a small service.
func sampleWindow(small float64, replicas int) float64 {
	return small * max(float64(replicas)/smallServiceReplicas, 1)
}

// clampOutlier limits a measured time to the range from 0 to outlierFactor times the expected time
// plus outlierSlack.
func clampOutlier(took, expected time.Duration) time.Duration {
	return min(max(took, 0), fraction(expected, outlierFactor)+outlierSlack)
}

// isTrusted reports whether there are enough samples to refuse a request by the estimate.
func (t *readTime) isTrusted() bool { return t.samples >= trustedSamples }

// perToken returns the time per token.
func (t *readTime) perToken() time.Duration {
	if t.tokens <= 0 {
		return minTokenTime
	}
	return max(seconds(t.took/t.tokens), minTokenTime)
}

// fixed returns the time that a read takes regardless of its length.
func (t *readTime) fixed() time.Duration { return t.idleFit.intercept() }

// line is a least-squares line through samples that decay exponentially.
type line struct {
	weight, tokens, took, tokensSquared, product float64 // sums over samples; times in seconds
}

// add adds a sample.
func (l *line) add(tokens int, took time.Duration, weight float64) {
	x, y := float64(tokens), took.Seconds()
	l.weight += weight
	l.tokens += weight * x
	l.took += weight * y
	l.tokensSquared += weight * x * x
	l.product += weight * x * y
}

// decay multiplies the weight of all samples by factor.
func (l *line) decay(factor float64) {
	for _, sum := range []*float64{&l.weight, &l.tokens, &l.took, &l.tokensSquared, &l.product} {
		*sum *= factor
	}
}

// intercept returns the value of the line at zero tokens.
func (l *line) intercept() time.Duration {
	spread := l.weight*l.tokensSquared - l.tokens*l.tokens
	if l.weight <= 0 || spread <= 0 {
		return 0
	}
	slope := max((l.weight*l.product-l.tokens*l.took)/spread, 0)
	return max(seconds((l.took-slope*l.tokens)/l.weight), 0)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
