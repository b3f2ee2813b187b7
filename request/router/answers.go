package router

import "sync"

// AnswerLengths learns how long the answers of each class are. What a caller
// allows as a maximum is often far above what comes, and estimates and forecasts
// need the length before there is one. It is safe for concurrent use.
type AnswerLengths struct {
	lock  sync.Mutex
	means map[string]float64 // by class
}

const (
	// answerGain is the weight of one answer in its class's mean.
	answerGain = 0.05
	// firstAnswer is expected while no answer of a class is known, if the caller
	// allows as much. A high guess would refuse requests with a short deadline,
	// and a class whose requests are all refused never teaches a better one.
	firstAnswer = 256
	// maxAnswerClasses bounds the classes that are remembered.
	maxAnswerClasses = 1024
)

// NewAnswerLengths returns lengths that know no answer yet.
func NewAnswerLengths() *AnswerLengths { return &AnswerLengths{means: map[string]float64{}} }

// Expect returns the length to expect of an answer that may have at most limit
// tokens: its class's mean, or a first guess while there is none.
func (a *AnswerLengths) Expect(class string, limit int) int {
	a.lock.Lock()
	defer a.lock.Unlock()
	mean, known := a.means[class]
	if !known {
		return min(limit, firstAnswer)
	}
	return max(min(int(mean+0.5), limit), 1)
}

// Learn takes in the length of a whole answer.
func (a *AnswerLengths) Learn(class string, tokens int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	mean, known := a.means[class]
	switch {
	case known:
		a.means[class] = mean + answerGain*(float64(tokens)-mean)
	case len(a.means) < maxAnswerClasses:
		a.means[class] = float64(tokens)
	}
}
