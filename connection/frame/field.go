package frame

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
)

// Errors returned when decoding fields, in addition to ErrTruncated.
var (
	// ErrTrailing reports bytes left after the last field.
	ErrTrailing = errors.New("frame: trailing bytes")
	// ErrValue reports a field value that is not valid for its type.
	ErrValue = errors.New("frame: invalid value")
)

// Encoder appends fixed-width big-endian fields to a buffer. Bytes and strings
// are preceded by a uint32 length.
type Encoder struct{ buffer []byte }

// NewEncoder returns an Encoder that appends to buffer, which may be nil.
func NewEncoder(buffer []byte) *Encoder { return &Encoder{buffer: buffer} }

// Data returns the buffer with all fields appended so far. It is shared with the Encoder
// and valid until the next field is appended.
func (e *Encoder) Data() []byte { return e.buffer }

// Uint8 appends one byte.
func (e *Encoder) Uint8(value uint8) { e.buffer = append(e.buffer, value) }

// Uint16 appends two bytes.
func (e *Encoder) Uint16(value uint16) { e.buffer = binary.BigEndian.AppendUint16(e.buffer, value) }

// Uint32 appends four bytes.
func (e *Encoder) Uint32(value uint32) { e.buffer = binary.BigEndian.AppendUint32(e.buffer, value) }

// Uint64 appends eight bytes.
func (e *Encoder) Uint64(value uint64) { e.buffer = binary.BigEndian.AppendUint64(e.buffer, value) }

// Int64 appends eight bytes.
func (e *Encoder) Int64(value int64) { e.Uint64(uint64(value)) }

// Float64 appends the eight bytes of the IEEE 754 form.
func (e *Encoder) Float64(value float64) { e.Uint64(math.Float64bits(value)) }

// Bool appends one byte, 0 or 1.
func (e *Encoder) Bool(value bool) {
	if value {
		e.Uint8(1)
		return
	}
	e.Uint8(0)
}

// Bytes appends a uint32 length and the bytes, of which there must be less than 4 GiB; a
// larger length would wrap around.
func (e *Encoder) Bytes(value []byte) {
	e.Uint32(uint32(len(value)))
	e.buffer = append(e.buffer, value...)
}

// String appends a uint32 length and the string's bytes, limited like those of Bytes.
func (e *Encoder) String(value string) {
	e.Uint32(uint32(len(value)))
	e.buffer = append(e.buffer, value...)
}

// Raw appends bytes without a length.
func (e *Encoder) Raw(value []byte) { e.buffer = append(e.buffer, value...) }

// Decoder reads the fields that an Encoder appended. After an error every method
// returns a zero value and Err returns the first error, so callers need to check
// only once.
type Decoder struct {
	rest []byte
	err  error
}

// NewDecoder returns a Decoder over data, which it does not copy or change.
func NewDecoder(data []byte) *Decoder { return &Decoder{rest: data} }

// Err returns the first error, such as ErrTruncated or ErrValue.
func (d *Decoder) Err() error { return d.err }

// Remaining returns the number of unread bytes.
func (d *Decoder) Remaining() int { return len(d.rest) }

// Finish returns the first error, or ErrTrailing if unread bytes are left.
func (d *Decoder) Finish() error {
	if d.err == nil && len(d.rest) > 0 {
		d.fail(errors.Wrapf(ErrTrailing, "%d bytes", len(d.rest)))
	}
	return d.err
}

// Fail records an error found by the caller, unless one is already recorded.
func (d *Decoder) Fail(err error) { d.fail(err) }

func (d *Decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.rest = nil
}

// next consumes and returns the next count bytes, or nil after an error.
func (d *Decoder) next(count int) []byte {
	if d.err != nil {
		return nil
	}
	if count < 0 || count > len(d.rest) {
		d.fail(errors.Wrapf(ErrTruncated, "field of %d bytes, %d left", count, len(d.rest)))
		return nil
	}
	taken := d.rest[:count:count]
	d.rest = d.rest[count:]
	return taken
}

// Uint8 reads one byte.
func (d *Decoder) Uint8() uint8 {
	if data := d.next(1); data != nil {
		return data[0]
	}
	return 0
}

// Uint16 reads two bytes.
func (d *Decoder) Uint16() uint16 {
	if data := d.next(2); data != nil {
		return binary.BigEndian.Uint16(data)
	}
	return 0
}

// Uint32 reads four bytes.
func (d *Decoder) Uint32() uint32 {
	if data := d.next(4); data != nil {
		return binary.BigEndian.Uint32(data)
	}
	return 0
}

// Uint64 reads eight bytes.
func (d *Decoder) Uint64() uint64 {
	if data := d.next(8); data != nil {
		return binary.BigEndian.Uint64(data)
	}
	return 0
}

// Int64 reads eight bytes.
func (d *Decoder) Int64() int64 { return int64(d.Uint64()) }

// Float64 reads the eight bytes of the IEEE 754 form.
func (d *Decoder) Float64() float64 { return math.Float64frombits(d.Uint64()) }

// Bool reads one byte; a byte other than 0 and 1 is ErrValue.
func (d *Decoder) Bool() bool {
	value := d.Uint8()
	if value > 1 {
		d.fail(errors.Wrapf(ErrValue, "bool of %d", value))
		return false
	}
	return value == 1
}

// Bytes reads a length and that many bytes. The result shares memory with the
// decoder's input.
func (d *Decoder) Bytes() []byte {
	length := d.Uint32()
	if uint64(length) > uint64(len(d.rest)) {
		d.fail(errors.Wrapf(ErrTruncated, "field of %d bytes, %d left", length, len(d.rest)))
		return nil
	}
	return d.next(int(length))
}

// String reads a length and a string.
func (d *Decoder) String() string { return string(d.Bytes()) }

// Count reads the uint32 length of a list whose elements take at least elementSize
// bytes each; elementSize must be positive. A length that the remaining bytes cannot hold
// is ErrTruncated, so the result is safe to use for allocating memory.
func (d *Decoder) Count(elementSize int) int {
	count := d.Uint32()
	if uint64(count)*uint64(elementSize) > uint64(len(d.rest)) {
		d.fail(errors.Wrapf(ErrTruncated, "%d elements in %d bytes", count, len(d.rest)))
		return 0
	}
	return int(count)
}

// Raw reads count bytes that have no length prefix. The result shares
// memory with the decoder's input.
func (d *Decoder) Raw(count int) []byte { return d.next(count) }
