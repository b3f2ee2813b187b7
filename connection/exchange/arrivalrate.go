package exchange

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrEndless is wrapped by all errors about a header, chunk header or body that exceeds its size limit or
// arrives too slowly, so that it is assumed never to end.
var ErrEndless = errors.New("exchange: response does not end")

// Errors that wrap ErrEndless.
var (
	// errHeaderTooLarge reports a response header larger than the limit.
	errHeaderTooLarge = errors.WithMessage(ErrEndless, "exchange: response header too large")
	// errTooManyInterim reports more informational responses than the limit.
	errTooManyInterim = errors.WithMessage(errHeaderTooLarge, "exchange: too many informational responses")
	// errFramingTooLarge reports a chunk header without end.
	errFramingTooLarge = errors.WithMessage(ErrEndless, "exchange: chunk header too large")
	// errTooSlow reports a part of a response that arrives in small pieces for too long.
	errTooSlow = errors.WithMessage(ErrEndless, "exchange: part of a response arrives too slowly")
)

// maxInterim limits the informational responses before a response. Servers send one or two.
const maxInterim = 8

// A part of a response that a server writes at once is too slow if it has taken maxPartTime and
// minPartReads reads, and arrives at less than minPartRate bytes a second. A process that is suspended or
// short of CPU time finds the part in a few reads afterwards, or reads it faster than that.
const (
	maxPartTime  = 400 * time.Millisecond
	minPartReads = 8
	minPartRate  = 128 << 10
)

// ArrivalRate measures how a part of a response arrives. The zero value is that of a part of which nothing has
// arrived.
type ArrivalRate struct {
	reads   int
	bytes   int64
	firstAt time.Duration // when the first bytes arrived
}

// Note records bytes that arrived at the time now, and returns an error that wraps ErrEndless if the part
// arrives in small pieces for too long. It returns none for a part that has not begun.
func (p *ArrivalRate) Note(now time.Duration, count int) error {
	if p.reads == 0 {
		p.firstAt = now
	}
	p.reads++
	p.bytes += int64(count)
	took := now - p.firstAt
	if p.reads < minPartReads || took < maxPartTime || float64(p.bytes) >= minPartRate*took.Seconds() {
		return nil
	}
	return errTooSlow
}

// Discard reads the rest of the body, at most limit bytes and for at most the given time, so that the
// connection can be reused. It returns an error that wraps ErrEndless if bytes arrive and do not end within
// these limits, and nil if the body was read, broke off, or if nothing of it arrives.
func (a *Response) Discard(limit int64, within time.Duration) error {
	expired := make(chan struct{})
	timer := time.AfterFunc(within, func() {
		defer close(expired)
		_ = a.conn.SetReadDeadline(time.Unix(1, 0)) // interrupts the reader
	})
	count, err := io.Copy(io.Discard, io.LimitReader(a, limit+1))
	if !timer.Stop() {
		<-expired
		if a.bodyRead {
			_ = a.conn.SetReadDeadline(time.Time{})
			return nil
		}
		if count == 0 {
			return nil // a lost packet or a suspended process looks like this
		}
		return errTooSlow
	}
	if count > limit {
		return errBodyTooLarge
	}
	if errors.Is(err, ErrEndless) {
		return err
	}
	return nil
}

// errBodyTooLarge reports a body that is larger than what is discarded.
var errBodyTooLarge = errors.WithMessage(ErrEndless, "exchange: discarded body too large")
