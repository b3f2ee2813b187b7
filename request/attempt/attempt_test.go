package attempt

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func newBegunLifecycle(t *testing.T, policy Policy) (*Lifecycle, uint32) {
	t.Helper()
	lifecycle := New(policy)
	must.True(t, lifecycle.Dispatch())
	number, err := lifecycle.Begin("engine-1", 7)
	must.NoError(t, err)
	return lifecycle, number
}

func TestDispatchOrExpire(t *testing.T) {
	for range 1000 {
		lifecycle := New(Policy{})
		var dispatched, expired bool
		var both sync.WaitGroup
		both.Go(func() { dispatched = lifecycle.Dispatch() })
		both.Go(func() { expired = lifecycle.Expire() })
		both.Wait()
		must.True(t, dispatched != expired)
	}
}

func TestRan(t *testing.T) {
	cases := []struct {
		name string
		do   func(lifecycle *Lifecycle, number uint32)
		want Ran
	}{
		{"open", func(*Lifecycle, uint32) {}, RanUnknown},
		{"nothing written", func(l *Lifecycle, n uint32) { l.Fail(n, FaultNotWritten) }, RanNo},
		{"written, then reset", func(l *Lifecycle, n uint32) { l.Wrote(n); l.Fail(n, FaultBroken) }, RanUnknown},
		{"written, claimed as not written", func(l *Lifecycle, n uint32) { l.Wrote(n); l.Fail(n, FaultNotWritten) }, RanUnknown},
		{"refused", func(l *Lifecycle, n uint32) { l.Wrote(n); l.Fail(n, FaultRefused) }, RanNo},
		{"refused after admission", func(l *Lifecycle, n uint32) { l.Admit(n, 7); l.Fail(n, FaultRefused) }, RanYes},
		{"admitted", func(l *Lifecycle, n uint32) { l.Admit(n, 7) }, RanYes},
		{"token seen", func(l *Lifecycle, n uint32) { l.Accept(n, 0, 1) }, RanYes},
		{"refused, but an earlier one broke", func(l *Lifecycle, n uint32) {
			l.Fail(n, FaultBroken)
			next, _ := l.Begin("engine-2", 8)
			l.Fail(next, FaultRefused)
		}, RanUnknown},
		{"both refused", func(l *Lifecycle, n uint32) {
			l.Fail(n, FaultRefused)
			next, _ := l.Begin("engine-2", 8)
			l.Fail(next, FaultRefused)
		}, RanNo},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			lifecycle, number := newBegunLifecycle(t, Policy{MaxAttempts: 3})
			test.do(lifecycle, number)
			must.Eq(t, test.want, lifecycle.Ran())
			must.Eq(t, test.want, lifecycle.GiveUp())
		})
	}
}

func TestNext(t *testing.T) {
	cases := []struct {
		name   string
		policy Policy
		do     func(lifecycle *Lifecycle, number uint32)
		want   StepKind
	}{
		{"open", Policy{MaxAttempts: 3}, func(*Lifecycle, uint32) {}, StepWait},
		{"refused, once", Policy{AtMostOnce: true, MaxAttempts: 3}, func(l *Lifecycle, n uint32) { l.Fail(n, FaultRefused) }, StepRun},
		{"broken, once", Policy{AtMostOnce: true, MaxAttempts: 3}, func(l *Lifecycle, n uint32) { l.Fail(n, FaultBroken) }, StepStop},
		{"broken, repeatable", Policy{MaxAttempts: 3}, func(l *Lifecycle, n uint32) { l.Fail(n, FaultBroken) }, StepRun},
		{"attempts used up", Policy{MaxAttempts: 1}, func(l *Lifecycle, n uint32) { l.Fail(n, FaultRefused) }, StepStop},
		{"cut, resumable", Policy{MaxAttempts: 3, MaxResumes: 1}, func(l *Lifecycle, n uint32) {
			l.Accept(n, 0, 1)
			l.Fail(n, FaultBroken)
		}, StepResume},
		{"cut, once, resumable", Policy{AtMostOnce: true, MaxAttempts: 3, MaxResumes: 1}, func(l *Lifecycle, n uint32) {
			l.Accept(n, 0, 1)
			l.Fail(n, FaultBroken)
		}, StepResume},
		{"cut, token forwarded, no resume", Policy{MaxAttempts: 3}, func(l *Lifecycle, n uint32) {
			l.Accept(n, 0, 1)
			l.Fail(n, FaultBroken)
		}, StepStop},
		{"cut, buffered, no resume", Policy{MaxAttempts: 3, Buffered: true}, func(l *Lifecycle, n uint32) {
			l.Accept(n, 0, 1)
			l.Fail(n, FaultBroken)
		}, StepRun},
		{"resume abandoned", Policy{MaxAttempts: 3, MaxResumes: 1}, func(l *Lifecycle, n uint32) {
			l.Accept(n, 0, 1)
			l.Fail(n, FaultBroken)
			l.AbandonResume(n)
		}, StepStop},
		{"refused, then a frame, once", Policy{AtMostOnce: true, MaxAttempts: 3}, func(l *Lifecycle, n uint32) {
			l.Fail(n, FaultRefused)
			l.Accept(n, 0, 1)
		}, StepStop},
		{"finished", Policy{MaxAttempts: 3}, func(l *Lifecycle, n uint32) { l.Finish(n) }, StepStop},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			lifecycle, number := newBegunLifecycle(t, test.policy)
			test.do(lifecycle, number)
			must.Eq(t, test.want, lifecycle.Next().Kind)
		})
	}
}

func TestAccept(t *testing.T) {
	lifecycle, first := newBegunLifecycle(t, Policy{MaxAttempts: 2, MaxResumes: 1, Buffered: true})
	must.Eq(t, VerdictPass, lifecycle.Accept(first, 0, 2))
	must.Eq(t, VerdictDuplicate, lifecycle.Accept(first, 0, 2))
	must.Eq(t, VerdictDuplicate, lifecycle.Accept(first, 1, 0))
	must.Eq(t, VerdictGap, lifecycle.Accept(first, 3, 1))
	must.Eq(t, VerdictGap, lifecycle.Accept(first, 1, 2))
	must.Eq(t, VerdictPass, lifecycle.Accept(first, 2, 0))
	lifecycle.Fail(first, FaultBroken)
	must.Eq(t, VerdictLate, lifecycle.Accept(first, 2, 1))
	must.NoError(t, lifecycle.Resume(first))
	must.Eq(t, VerdictPass, lifecycle.Accept(first, 2, 1))
	lifecycle.Fail(first, FaultBroken)
	second, err := lifecycle.Begin("engine-2", 9)
	must.NoError(t, err)
	must.Eq(t, VerdictLate, lifecycle.Accept(first, 3, 1))
	must.False(t, lifecycle.Finish(first))
	must.Eq(t, VerdictPass, lifecycle.Accept(second, 0, 1))
	must.True(t, lifecycle.Finish(second))
	must.Eq(t, VerdictLate, lifecycle.Accept(second, 1, 1))
}

// oracle tracks what engines actually did: which attempts may have run, and which frames the
// caller received.
type oracle struct {
	policy    Policy
	lifecycle *Lifecycle
	number    uint32
	open      bool
	// mayRun is true for each attempt that an engine may have run.
	mayRun   []bool
	received []int // numbers of the forwarded tokens, plus 1000 times the attempt number
}

func (o *oracle) check(t *rapid.T) {
	possible := 0
	for i, mayHaveRun := range o.mayRun {
		if mayHaveRun || (o.open && i == len(o.mayRun)-1) {
			possible++
		}
	}
	if o.policy.AtMostOnce && possible > 1 {
		t.Fatalf("an at-most-once request may have run %d times", possible)
	}
	if o.lifecycle.Ran() == RanNo && possible > 0 {
		t.Fatalf("reported as not run, but %d attempts may have run", possible)
	}
	if !o.policy.Buffered {
		for i, token := range o.received {
			if token != o.received[0]+i {
				t.Fatalf("caller received tokens %v, which are not consecutive", o.received)
			}
		}
	}
}

func TestLifecycleAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{
			AtMostOnce:  rapid.Bool().Draw(t, "once"),
			Buffered:    rapid.Bool().Draw(t, "buffered"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
			MaxResumes:  rapid.IntRange(0, 2).Draw(t, "resumes"),
		}
		o := &oracle{policy: policy, lifecycle: New(policy)}
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": func(*rapid.T) { o.lifecycle.Dispatch() },
			"expire":   func(*rapid.T) { o.lifecycle.Expire() },
			"begin": func(t *rapid.T) {
				number, err := o.lifecycle.Begin("engine", uint64(rapid.IntRange(0, 2).Draw(t, "incarnation")))
				if err == nil {
					o.number, o.open, o.mayRun = number, true, append(o.mayRun, false)
				}
			},
			"write": func(*rapid.T) {
				if o.open {
					o.mayRun[o.number-1] = true
					o.lifecycle.Wrote(o.number)
				}
			},
			"refuse": func(*rapid.T) {
				// An engine refuses only attempts that it has not admitted.
				if o.open && !o.lifecycle.Attempts()[o.number-1].Admitted {
					o.mayRun[o.number-1] = false
					o.lifecycle.Fail(o.number, FaultRefused)
					o.open = false
				}
			},
			"break": func(t *rapid.T) {
				fault := rapid.SampledFrom([]Fault{FaultNotWritten, FaultBroken}).Draw(t, "fault")
				if o.open {
					o.mayRun[o.number-1] = o.mayRun[o.number-1] || fault == FaultBroken
					o.lifecycle.Fail(o.number, fault)
					o.open = false
				}
			},
			"resume": func(*rapid.T) {
				if o.number > 0 && o.lifecycle.Resume(o.number) == nil {
					o.open = true
				}
			},
			"frame": func(t *rapid.T) {
				number := uint32(rapid.IntRange(0, 5).Draw(t, "number"))
				offset := rapid.IntRange(0, 6).Draw(t, "offset")
				tokens := rapid.IntRange(0, 2).Draw(t, "tokens")
				if o.open && number == o.number {
					o.mayRun[number-1] = true
				}
				if o.lifecycle.Accept(number, offset, tokens) != VerdictPass {
					return
				}
				if number != o.number || !o.open {
					t.Fatalf("frame of attempt %d forwarded during attempt %d", number, o.number)
				}
				for i := range tokens {
					o.received = append(o.received, int(number)*1000+offset+i)
				}
			},
			"give up": func(*rapid.T) { o.lifecycle.GiveUp() },
			"":        o.check,
		})
	})
}
