package router

import "sync"

// AnswerLengths learns the mean answer length of each class. The maximum that a caller allows
// is often far above the actual length, which estimates and forecasts need in advance. It is
// safe for concurrent use.
type AnswerLengths struct {
	lock  sync.Mutex
	means map[string]float64 // by class
}

const (
	// answerWeight is the weight of one answer in the mean of its class.
	answerWeight = 0.05
	// initialAnswerTokens is the expected length before a class has an answer, if the caller
	// allows as much. A high value would refuse requests with a short deadline, and a class
	// whose requests are all refused never gets a better estimate.
	initialAnswerTokens = 256
	// maxAnswerClasses limits the number of tracked classes.
	maxAnswerClasses = 1024
)

// NewAnswerLengths returns lengths without any answer learned.
func NewAnswerLengths() *AnswerLengths { return &AnswerLengths{means: map[string]float64{}} }

// Expect returns the expected length of an answer of at most limit tokens: the mean of its
// class, or an initial estimate if there is none.
func (a *AnswerLengths) Expect(class string, limit int) int {
	a.lock.Lock()
	defer a.lock.Unlock()
	mean, known := a.means[class]
	if !known {
		return min(limit, initialAnswerTokens)
	}
	return max(min(int(mean+0.5), limit), 1)
}

// Learn updates the mean of a class with the length of a complete answer.
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
