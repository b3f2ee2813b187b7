package retry

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newTestPool() *Pool {
	return NewPool(rand.New(rand.NewPCG(1, 2)).Uint64)
}

// lendAll returns the loans that are granted at once.
func lendAll(pool *Pool, now time.Duration, request LoanRequest) []uint64 {
	var loans []uint64
	for {
		reply := pool.Lend(now, request)
		if !reply.Granted {
			return loans
		}
		loans = append(loans, reply.Loan)
	}
}

// Guards against a leader that lends all of what the one before it may have lent in the same window, and against one that
// lends nothing after a loss of everything.
func TestNewLeaderLendsAPartForAWindow(t *testing.T) {
	pool, request := newTestPool(), LoanRequest{Service: "s", Reserve: 12, Window: testWindow}
	must.SliceEmpty(t, lendAll(pool, 5*testWindow, request), must.Sprint("it has never led"))
	pool.BeginTerm(testWindow)
	must.SliceEmpty(t, lendAll(pool, testWindow+testWindow/12-1, request))
	must.SliceLen(t, 1, lendAll(pool, testWindow+testWindow/12+1, request))
	must.SliceLen(t, 2, lendAll(pool, testWindow+testWindow/4, request))
	must.SliceEmpty(t, lendAll(pool, 2*testWindow-1, request))
	must.SliceEmpty(t, lendAll(pool, 2*testWindow+handoverMargin-1, request))
	must.SliceLen(t, 10, lendAll(pool, 2*testWindow+handoverMargin, request), must.Sprint("the first of the three has left the window"))
	pool.BeginTerm(4 * testWindow)
	must.SliceLen(t, 3, lendAll(pool, 5*testWindow, request))
}

// Guards against leaders that each lend a part at once: more than four in a window then lent more than the part of the
// reserve that is kept for new leaders.
func TestLoansOfManyLeadersAreBounded(t *testing.T) {
	const reserve = 60
	request := LoanRequest{Service: "s", Reserve: reserve, Window: testWindow}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		longest := testWindow / time.Duration(1+random.IntN(40))
		pool := newTestPool()
		pool.BeginTerm(0)
		var granted []time.Duration
		now := 3 * testWindow
		for end := now + 4*testWindow; now < end; {
			for termEnd := now + 1 + time.Duration(random.Int64N(int64(longest))); now < termEnd; now += testWindow / 200 {
				for range lendAll(pool, now, request) {
					granted = append(granted, now)
				}
			}
			pool = newTestPool()
			pool.BeginTerm(now)
		}
		for first, from := range granted {
			inWindow := 0
			for _, at := range granted[first:] {
				if at < from+testWindow {
					inWindow++
				}
			}
			must.LessEq(t, 2*reserve, inWindow, must.Sprintf("seed %d, the window from %v", seed, from))
		}
	}
}

// Guards against loans that are lent again before their window has passed, unless they were returned, and against
// a return of another term's loan, of another service's or of one that is returned already.
func TestOnlyReturnedLoansAreLentAgain(t *testing.T) {
	pool, request := newTestPool(), LoanRequest{Service: "s", Reserve: 2, Window: testWindow}
	pool.BeginTerm(0)
	now := testWindow + handoverMargin
	loans := lendAll(pool, now, request)
	must.SliceLen(t, 2, loans)
	for _, other := range []LoanRequest{
		{Service: "other", Reserve: 2, Window: testWindow, Loan: loans[0]},
		{Service: "s", Reserve: 2, Window: testWindow, Loan: loans[0] + 1<<termBits},
		{Service: "s", Reserve: 2, Window: testWindow, Loan: loans[0] - 1<<termBits},
		{Service: "s", Reserve: 2, Window: testWindow, Loan: 1},
		{Service: "s", Reserve: 2, Window: 2 * testWindow, Loan: loans[0]},
		{Service: "s", Reserve: 2, Window: testWindow, Loan: loans[0] + 7},
	} {
		pool.Return(other)
		must.SliceEmpty(t, lendAll(pool, now, request), must.Sprint(other))
	}
	request.Loan = loans[0]
	pool.Return(request)
	must.SliceLen(t, 1, lendAll(pool, now+testWindow/2, request))
	pool.BeginTerm(now + testWindow)
	later := now + 3*testWindow
	must.SliceLen(t, 2, lendAll(pool, later, request))
	pool.Return(request)
	must.SliceEmpty(t, lendAll(pool, later, request), must.Sprint("a loan of the term before"))
}

// Loan numbers travel as float64.
func TestLoanNumbersAreExactAsFloats(t *testing.T) {
	for range 100 {
		pool := NewPool(rand.Uint64)
		pool.BeginTerm(0)
		must.Less(t, 1<<53, pool.firstLoan+1<<termBits)
		must.Positive(t, pool.firstLoan)
	}
}

// Guards against requests that bring a window or a reserve of no meaning.
func TestInvalidLoanRequestsAreRefused(t *testing.T) {
	pool := newTestPool()
	pool.BeginTerm(0)
	for _, request := range []LoanRequest{
		{Service: "s", Reserve: math.NaN(), Window: testWindow}, {Service: "s", Reserve: -1, Window: testWindow},
		{Service: "s", Reserve: 1}, {Service: "s", Reserve: 1, Window: -testWindow}, {Service: "s", Reserve: 1, Window: math.MaxInt64},
	} {
		must.Eq(t, LoanReply{}, pool.Lend(9*time.Hour, request), must.Sprint(request))
	}
}

// Guards against proxies that give a loan up although others are about to come back, and that wait for loans that are
// spent.
func TestExhaustedPoolSaysWhetherLoansAreExpectedBack(t *testing.T) {
	pool, request := newTestPool(), LoanRequest{Service: "s", Reserve: 2, Window: testWindow}
	pool.BeginTerm(0)
	now := testWindow + handoverMargin
	loans := lendAll(pool, now, request)
	must.Eq(t, LoanReply{Wait: loanPause}, pool.Lend(now+returnTime/2, request))
	must.Eq(t, LoanReply{}, pool.Lend(now+2*returnTime, request), must.Sprint("they were kept"))
	request.Loan = loans[0]
	pool.Return(request)
	must.True(t, pool.Lend(now+2*returnTime, request).Granted)
}
