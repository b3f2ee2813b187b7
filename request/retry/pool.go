package retry

import (
	"math"
	"sync"
	"time"
)

// Pool is a part of the retry reserves that no proxy has by itself. The leader of the control group lends
// single retries of it to proxies whose own budget covers none, so that a reserve is of use which is
// smaller than the number of proxies. It is safe for concurrent use.
//
// A new leader does not know what the one before it has lent. Until that is no longer in the same span, it
// lends at most firstWindowShare of the reserve, so that processes that have all just started can use some. This
// part accrues from nothing, at the rate of one reserve per window, because leaders that follow each other
// quickly would otherwise each lend the whole part.
//
// Invariant: in any window, the loans that were not returned are at most twice the reserve, however many leaders
// lend in it: the reserve itself from a leader that is no longer new, and what accrues in a window from new ones.
type Pool struct {
	lock       sync.Mutex
	beganAt    time.Duration // of this leader's term
	firstLoan  uint64        // distinguishes the loans of this term from those of others
	windows    map[string]*Window
	randomLoan func() uint64
}

// LoanRequest asks for one retry of a service, or returns one.
type LoanRequest struct {
	Service string
	Reserve float64       // retries that may be lent in a window, according to the proxy's settings
	Window  time.Duration // length
	Loan    uint64        // the loan to return; 0 asks for one
}

// firstWindowShare is the largest share of the reserve that a new leader lends.
const firstWindowShare = 1.0 / 4

const (
	// handoverMargin is how much longer than a window a new leader waits, because a loan of the leader
	// before it may have been received and used later than it was granted.
	handoverMargin = time.Second
	// maxPoolServices limits the services of which retries are lent.
	maxPoolServices = 4096
	// returnTime is how long after its grant a loan is expected back, if it comes back at all.
	returnTime = time.Second
	// loanPause is the time after which to ask again for a loan while others are expected back.
	loanPause = 40 * time.Millisecond
	// termBits leaves room for the bucket numbers of a term below the random part of a loan's number, and
	// the number below the integers that a float64 represents exactly.
	termBits, randomBits = 32, 20
	// maxLoanWindow limits the length of a window.
	maxLoanWindow = time.Hour
)

// NewPool returns a pool that lends nothing until BeginTerm is called. random returns random numbers.
func NewPool(random func() uint64) *Pool {
	return &Pool{beganAt: math.MaxInt64, windows: map[string]*Window{}, randomLoan: random}
}

// BeginTerm starts a term of this leader, of which no loan is known yet.
func (p *Pool) BeginTerm(now time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.beganAt = now
	p.firstLoan = (p.randomLoan()%(1<<randomBits-1) + 1) << termBits
	p.windows = map[string]*Window{}
}

// LoanReply is the answer to a request for a loan.
type LoanReply struct {
	Granted bool
	Loan    uint64 // if granted
	// Wait is the time after which a loan may be granted, because others are expected back; 0 if nothing is known to
	// come back soon.
	Wait time.Duration
}

// Lend lends one retry if there is one left.
func (p *Pool) Lend(now time.Duration, request LoanRequest) LoanReply {
	p.lock.Lock()
	defer p.lock.Unlock()
	window := p.window(request)
	if window == nil || now < p.beganAt {
		return LoanReply{}
	}
	window.SetReserve(p.available(now, request))
	if bucket, granted := window.withdraw(now); granted {
		return LoanReply{Granted: true, Loan: p.firstLoan + uint64(bucket)}
	}
	if window.retriesSince(now, now-returnTime) > 0 {
		return LoanReply{Wait: loanPause}
	}
	return LoanReply{}
}

// available returns how much of the reserve may be lent at now. The lock must be held.
func (p *Pool) available(now time.Duration, request LoanRequest) float64 {
	if now-p.beganAt < request.Window+handoverMargin {
		accrued := float64(now-p.beganAt) / float64(request.Window)
		return request.Reserve * min(accrued, firstWindowShare)
	}
	return request.Reserve
}

// Return returns a loan that this leader granted in its present term; others are ignored.
func (p *Pool) Return(request LoanRequest) {
	p.lock.Lock()
	defer p.lock.Unlock()
	window := p.window(request)
	if window == nil || request.Loan>>termBits != p.firstLoan>>termBits {
		return
	}
	window.giveBack(int64(request.Loan - p.firstLoan))
}

// window returns the window of the request's service, or nil for a request that is not valid. The lock
// must be held.
func (p *Pool) window(request LoanRequest) *Window {
	if !(request.Reserve >= 0) || request.Window < windowBuckets || request.Window > maxLoanWindow {
		return nil
	}
	existing := p.windows[request.Service]
	if existing != nil && existing.length == request.Window {
		return existing
	}
	if existing != nil || len(p.windows) >= maxPoolServices {
		return nil // the length is the same in all settings
	}
	created := NewWindow(0, 0, request.Window)
	p.windows[request.Service] = created
	return created
}
