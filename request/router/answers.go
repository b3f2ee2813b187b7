package router

import "sync"

// AnswerLengths learns the mean output length of each class, in tokens. Estimates and forecasts
// need the length in advance, and the maximum that a caller allows is often far above it. It is
// safe for concurrent use.
type AnswerLengths struct {
	lock  sync.Mutex
	means map[string]float64 // by class
}

const (
	// answerWeight is the weight of the latest output in the mean of its class.
	answerWeight = 0.05
	// initialAnswerTokens is the expected length until a request of the class has completed, or
	// the caller's maximum if that is less. With a high value, requests with a short deadline
	// would be refused, and a class whose requests are all refused never gets a better
	// estimate.
	initialAnswerTokens = 256
	// maxAnswerClasses limits the number of tracked classes; Learn ignores further ones.
	maxAnswerClasses = 1024
)

// NewAnswerLengths returns lengths that have learned from no request yet.
func NewAnswerLengths() *AnswerLengths { return &AnswerLengths{means: map[string]float64{}} }

// Expect returns the expected length of an output of at most limit tokens: the mean of its
// class, or initialAnswerTokens if there is none.
func (a *AnswerLengths) Expect(class string, limit int) int {
	a.lock.Lock()
	defer a.lock.Unlock()
	mean, known := a.means[class]
	if !known {
		return min(limit, initialAnswerTokens)
	}
	return max(min(int(mean+0.5), limit), 1)
}

// Learn updates the mean of a class with the length of a complete output. New classes beyond
// maxAnswerClasses are ignored.
func (a *AnswerLengths) Learn(class string, tokens int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	mean, known := a.means[class]
	switch {
	case known:
		a.means[class] = mean + answerWeight*(float64(tokens)-mean)
	case len(a.means) < maxAnswerClasses:
		a.means[class] = float64(tokens)
	}
}
