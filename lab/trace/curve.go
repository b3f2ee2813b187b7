package trace

import "time"

// knot is one point of a curve.
type knot struct {
	at    time.Duration
	value float64
}

// curve is a piecewise-linear function of time: constant before its first and
// after its last knot. An empty curve is 1 everywhere.
type curve []knot

// at returns the curve's value at a time.
func (c curve) at(t time.Duration) float64 {
	if len(c) == 0 {
		return 1
	}
	if t <= c[0].at {
		return c[0].value
	}
	for i := 1; i < len(c); i++ {
		if t < c[i].at {
			return interpolate(c[i-1], c[i], t)
		}
	}
	return c[len(c)-1].value
}

// maximum returns the curve's largest value.
func (c curve) maximum() float64 {
	if len(c) == 0 {
		return 1
	}
	largest := c[0].value
	for _, k := range c {
		largest = max(largest, k.value)
	}
	return largest
}

// then appends a ramp that ends at a time with a value.
func (c curve) then(start, end time.Duration, value float64) curve {
	last := c[len(c)-1].value
	return append(c, knot{start, last}, knot{end, value})
}

func interpolate(from, to knot, t time.Duration) float64 {
	share := float64(t-from.at) / float64(to.at-from.at)
	return from.value + share*(to.value-from.value)
}
