// Package binenc implements the binary encoding of Raft commands, snapshots and
// deltas of the control group's state. The encoding is canonical: each value has exactly
// one encoding and the Reader rejects all others, so equal states have equal bytes. Callers
// keep lists, such as the digests of a RouteTenant, in a canonical order; the Reader does
// not check it.
package binenc

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
)

// Errors returned by a Reader.
var (
	// ErrTruncated is returned when the input ends before the value does.
	ErrTruncated = errors.New("binenc: truncated input")
	// ErrMalformed is returned when bytes are not the canonical encoding of any value.
	ErrMalformed = errors.New("binenc: malformed input")
	// ErrTrailing is returned when unread bytes follow the last value.
	ErrTrailing = errors.New("binenc: trailing bytes")
)

// AppendUint appends v as a variable-length integer.
func AppendUint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

// AppendInt appends v as a zigzag variable-length integer.
func AppendInt(b []byte, v int64) []byte { return binary.AppendVarint(b, v) }

// AppendFixed appends v as eight big-endian bytes. Use it for hashes and random
// numbers, whose variable-length encoding would usually be longer.
func AppendFixed(b []byte, v uint64) []byte { return binary.BigEndian.AppendUint64(b, v) }

// AppendFloat appends the IEEE 754 bits of v.
func AppendFloat(b []byte, v float64) []byte { return AppendFixed(b, math.Float64bits(v)) }

// AppendBool appends v as one byte, 0 or 1.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// AppendString appends the length and the bytes of v.
func AppendString(b []byte, v string) []byte {
	b = AppendUint(b, uint64(len(v)))
	return append(b, v...)
}

// AppendBytes appends the length and the bytes of v.
func AppendBytes(b []byte, v []byte) []byte {
	b = AppendUint(b, uint64(len(v)))
	return append(b, v...)
}

// AppendStrings appends the count and the elements of list.
func AppendStrings(b []byte, list []string) []byte {
	b = AppendUint(b, uint64(len(list)))
	for _, v := range list {
		b = AppendString(b, v)
	}
	return b
}

// Reader decodes values in sequence from a buffer. After the first error every
// read returns a zero value, so callers need to check Err only once at the end.
type Reader struct {
	rest []byte
	err  error
}

// NewReader returns a Reader of b. Strings and byte slices that it returns are copies,
// except for those of Rest.
func NewReader(b []byte) *Reader { return &Reader{rest: b} }

// Err returns the first error, if any.
func (r *Reader) Err() error { return r.err }

// Close returns the first error, or ErrTrailing if unread input remains.
func (r *Reader) Close() error {
	if r.err == nil && len(r.rest) > 0 {
		r.Fail(ErrTrailing)
	}
	return r.err
}

// Fail records err unless an error was recorded before, and drops the unread input.
func (r *Reader) Fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.rest = nil
}

// Rest returns the unread bytes, which alias the input.
func (r *Reader) Rest() []byte { return r.rest }

// Byte reads one byte.
func (r *Reader) Byte() byte {
	raw := r.take(1)
	if raw == nil {
		return 0
	}
	return raw[0]
}

// Uint reads a variable-length integer.
func (r *Reader) Uint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if !r.advance(n) {
		return 0
	}
	return v
}

// Uint32 reads a variable-length integer that fits 32 bits.
func (r *Reader) Uint32() uint32 {
	v := r.Uint()
	if v > math.MaxUint32 {
		r.Fail(ErrMalformed)
		return 0
	}
	return uint32(v)
}

// Int reads a zigzag variable-length integer.
func (r *Reader) Int() int64 {
	v, n := binary.Varint(r.rest)
	if !r.advance(n) {
		return 0
	}
	return v
}

// Fixed reads eight big-endian bytes.
func (r *Reader) Fixed() uint64 {
	raw := r.take(8)
	if raw == nil {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}

// Float reads the IEEE 754 bits of a float64.
func (r *Reader) Float() float64 { return math.Float64frombits(r.Fixed()) }

// Bool reads one byte, which must be 0 or 1.
func (r *Reader) Bool() bool {
	v := r.Byte()
	if v > 1 {
		r.Fail(ErrMalformed)
	}
	return v == 1
}

// String reads a string.
func (r *Reader) String() string { return string(r.take(r.Count(1))) }

// Bytes reads a byte slice and returns nil if it is empty.
func (r *Reader) Bytes() []byte {
	n := r.Count(1)
	if n == 0 {
		return nil
	}
	return append([]byte(nil), r.take(n)...)
}

// Strings reads a list of strings and returns nil if it is empty.
func (r *Reader) Strings() []string {
	n := r.Count(1)
	var list []string
	for i := 0; i < n && r.err == nil; i++ {
		list = append(list, r.String())
	}
	return list
}

// Count reads the number of elements that follow, each at least minimumBytes long.
// It fails with ErrTruncated if the remaining input is too short for them, which
// limits how much memory a malformed count can make the caller allocate.
func (r *Reader) Count(minimumBytes int) int {
	n := r.Uint()
	if n > uint64(len(r.rest)/max(minimumBytes, 1)) {
		r.Fail(ErrTruncated)
		return 0
	}
	return int(n)
}

// advance skips an integer of n bytes, where n is the result of binary.Uvarint or
// binary.Varint. It rejects encodings that are longer than necessary.
func (r *Reader) advance(n int) bool {
	switch {
	case r.err != nil:
		return false
	case n == 0:
		r.Fail(ErrTruncated)
		return false
	case n < 0, n > 1 && r.rest[n-1] == 0:
		r.Fail(ErrMalformed)
		return false
	}
	r.rest = r.rest[n:]
	return true
}

// take returns the next n bytes, which alias the input, or nil if there are fewer.
func (r *Reader) take(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n > len(r.rest) {
		r.Fail(ErrTruncated)
		return nil
	}
	raw := r.rest[:n:n]
	r.rest = r.rest[n:]
	return raw
}
