package planner

import "time"

// ForecastConfig sets up forecasts. Zero fields take defaults.
type ForecastConfig struct {
	// LevelTime and TrendTime are how fast the level and the trend follow the measurements.
	LevelTime time.Duration
	TrendTime time.Duration
}

// Defaults of ForecastConfig.
const (
	DefaultLevelTime = 15 * time.Second
	DefaultTrendTime = 45 * time.Second
)

// maxTrendShare bounds what the trend may add to or take from the level.
const maxTrendShare = 0.5

// series is a level and a trend of one measured rate (Holt's method, with
// smoothing by time so that irregular measurements weigh rightly).
type series struct {
	level float64
	trend float64 // a second
	since bool    // has a level
}

func (s *series) update(value float64, elapsed time.Duration, config ForecastConfig) {
	if !s.since {
		s.level, s.since = value, true
		return
	}
	if elapsed <= 0 {
		return
	}
	step := elapsed.Seconds()
	levelGain := step / (config.LevelTime.Seconds() + step)
	trendGain := step / (config.TrendTime.Seconds() + step)
	expected := s.level + s.trend*step
	level := expected + levelGain*(value-expected)
	s.trend += trendGain * ((level-s.level)/step - s.trend)
	s.level = max(level, 0)
}

// at is the rate expected after a time.
func (s *series) at(ahead time.Duration) float64 {
	change := s.trend * ahead.Seconds()
	bound := maxTrendShare * s.level
	return s.level + min(max(change, -bound), bound)
}

// forecast follows the demand of one intent.
type forecast struct {
	config   ForecastConfig
	requests series
	prompt   series
	read     series
	output   series
	last     time.Duration
	measured bool
}

func (f *forecast) update(now time.Duration, measured work) {
	elapsed := now - f.last
	if f.measured && elapsed <= 0 {
		return
	}
	f.requests.update(measured.requests, elapsed, f.config)
	f.prompt.update(measured.prompt, elapsed, f.config)
	f.read.update(measured.read, elapsed, f.config)
	f.output.update(measured.output, elapsed, f.config)
	f.last, f.measured = now, true
}

// at is the work expected after a time.
func (f *forecast) at(ahead time.Duration) work {
	return work{
		requests: f.requests.at(ahead),
		prompt:   f.prompt.at(ahead),
		read:     f.read.at(ahead),
		output:   f.output.at(ahead),
	}
}

// stayEstimate learns how long a mix of work lasts, from the times at which the
// share of prompt work crosses its own slow average.
type stayEstimate struct {
	slow     series
	above    bool
	crossed  time.Duration
	expected time.Duration
}

const (
	// staySlowTime is the time constant of the slow average.
	staySlowTime = 5 * time.Minute
	// stayDeadBand is how far from the average counts as a crossing.
	stayDeadBand = 0.04
	// stayGain is the weight of the last stay.
	stayGain = 0.3
)

func (s *stayEstimate) update(now, elapsed time.Duration, prefillShare float64) {
	s.slow.update(prefillShare, elapsed, ForecastConfig{LevelTime: staySlowTime, TrendTime: time.Hour})
	offset := prefillShare - s.slow.level
	if offset*offset < stayDeadBand*stayDeadBand || (offset > 0) == s.above {
		return
	}
	s.above = offset > 0
	s.expected += time.Duration(stayGain * float64(now-s.crossed-s.expected))
	s.crossed = now
}
