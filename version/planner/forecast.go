package planner

import "time"

// ForecastConfig configures the smoothing of forecasts by Holt's method. Fields that
// are zero or negative take defaults.
type ForecastConfig struct {
	// LevelTime and TrendTime are the time constants of the level, which is the
	// smoothed rate, and of the trend, which is the smoothed change of the level.
	LevelTime time.Duration
	TrendTime time.Duration
}

// Defaults of ForecastConfig.
const (
	DefaultLevelTime = 15 * time.Second
	DefaultTrendTime = 45 * time.Second
)

// maxTrendShare bounds the change that the trend predicts, as a share of the level.
const maxTrendShare = 0.5

// smoothedRate is the level and the trend of one measured rate by Holt's method. The
// smoothing weights grow with the time since the last measurement, so that a given
// time constant has the same effect for any interval between measurements.
type smoothedRate struct {
	level       float64
	trend       float64 // change per second
	initialized bool    // a first value was taken as the level
}

// update adds a value measured the given time after the last one. It ignores a value,
// other than the first, for which no time has elapsed.
func (s *smoothedRate) update(value float64, elapsed time.Duration, config ForecastConfig) {
	if !s.initialized {
		s.level, s.initialized = value, true
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

// predict returns the rate expected the given time after the last update.
func (s *smoothedRate) predict(ahead time.Duration) float64 {
	change := s.trend * ahead.Seconds()
	bound := maxTrendShare * s.level
	return s.level + min(max(change, -bound), bound)
}

// forecast predicts the work of one intent from its measured demand.
type forecast struct {
	config         ForecastConfig
	requests       smoothedRate
	uncachedPrompt smoothedRate
	totalPrompt    smoothedRate
	output         smoothedRate
	lastUpdate     time.Duration
	initialized    bool
}

// update adds the work measured now. It ignores a measurement that is not later than
// the last one.
func (f *forecast) update(now time.Duration, measured work) {
	elapsed := now - f.lastUpdate
	if f.initialized && elapsed <= 0 {
		return
	}
	f.requests.update(measured.requests, elapsed, f.config)
	f.uncachedPrompt.update(measured.uncachedPrompt, elapsed, f.config)
	f.totalPrompt.update(measured.totalPrompt, elapsed, f.config)
	f.output.update(measured.output, elapsed, f.config)
	f.lastUpdate, f.initialized = now, true
}

// predict returns the work expected the given time after the last update.
func (f *forecast) predict(ahead time.Duration) work {
	return work{
		requests:       f.requests.predict(ahead),
		uncachedPrompt: f.uncachedPrompt.predict(ahead),
		totalPrompt:    f.totalPrompt.predict(ahead),
		output:         f.output.predict(ahead),
	}
}

// mixDurationEstimate estimates how long a mix of prompt and output work lasts, from
// the times at which the prefill share crosses the long-term average of the share.
type mixDurationEstimate struct {
	average      smoothedRate
	aboveAverage bool
	lastCrossing time.Duration
	expected     time.Duration
}

const (
	// mixAverageTime is the time constant of the long-term average.
	mixAverageTime = 5 * time.Minute
	// mixDeadBand is the distance from the average, as a share of the engines, below
	// which a crossing does not count, so that noise around the average has no effect.
	mixDeadBand = 0.04
	// mixDurationGain is the weight of the latest duration in the estimate.
	mixDurationGain = 0.3
)

// update adds the prefill share measured now, the given time after the last one.
func (s *mixDurationEstimate) update(now, elapsed time.Duration, prefillShare float64) {
	s.average.update(prefillShare, elapsed, ForecastConfig{LevelTime: mixAverageTime, TrendTime: time.Hour})
	offset := prefillShare - s.average.level
	if offset*offset < mixDeadBand*mixDeadBand || (offset > 0) == s.aboveAverage {
		return
	}
	s.aboveAverage = offset > 0
	s.expected += time.Duration(mixDurationGain * float64(now-s.lastCrossing-s.expected))
	s.lastCrossing = now
}
