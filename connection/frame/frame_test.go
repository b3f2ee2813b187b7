package frame

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"net"
	"runtime"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

var testProtocol = Protocol{ID: 9, Version: 2}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeConn is a net.Conn that reads from a reader and writes to a buffer.
type fakeConn struct {
	net.Conn
	io.Reader
	written bytes.Buffer
}

func (c *fakeConn) Read(data []byte) (int, error)    { return c.Reader.Read(data) }
func (c *fakeConn) Write(data []byte) (int, error)   { return c.written.Write(data) }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }

// encodeFrames returns the bytes that a Writer produces for the frames.
func encodeFrames(t testing.TB, frames ...Frame) []byte {
	t.Helper()
	out := &fakeConn{}
	writer := NewWriter(out, testProtocol, time.Second)
	for _, f := range frames {
		must.NoError(t, writer.WriteFrame(f.Kind, f.Payload))
	}
	must.NoError(t, writer.Flush())
	return out.written.Bytes()
}

func newTestReader(data []byte, maxPayload uint32) *Reader {
	return NewReader(&fakeConn{Reader: bytes.NewReader(data)}, testProtocol, maxPayload, 0)
}

// readAll reads frames until the first error and returns both.
func readAll(reader *Reader) ([]Frame, error) {
	var frames []Frame
	for {
		f, err := reader.ReadFrame()
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
}

func TestFramesRoundTrip(t *testing.T) {
	sent := []Frame{
		{Kind: 1, Payload: []byte("first")},
		{Kind: 2, Payload: []byte{}},
		{Kind: math.MaxUint16, Payload: bytes.Repeat([]byte("x"), 100_000)},
	}
	data := encodeFrames(t, sent...)
	got, err := readAll(newTestReader(data, 1<<20))
	must.Eq(t, io.EOF, err)
	must.Eq(t, sent, got)
	slow := NewReader(&fakeConn{Reader: iotest.OneByteReader(bytes.NewReader(data))}, testProtocol, 1<<20, 0)
	got, err = readAll(slow)
	must.Eq(t, io.EOF, err)
	must.Eq(t, sent, got)
}

func TestReaderRejectsInvalidStreams(t *testing.T) {
	good := encodeFrames(t, Frame{Kind: 1, Payload: []byte("payload")})
	changed := func(offset int) []byte {
		data := bytes.Clone(good)
		data[offset] ^= 1
		return data
	}
	for name, test := range map[string]struct {
		data []byte
		want error
	}{
		"HTTP request":      {[]byte("GET / HTTP/1.1\r\n\r\n"), ErrWrongProtocol},
		"TLS ClientHello":   {[]byte{0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00}, ErrWrongProtocol},
		"one wrong byte":    {[]byte("G"), ErrWrongProtocol},
		"other protocol":    {changed(5), ErrWrongProtocol},
		"other version":     {changed(7), ErrVersion},
		"truncated preface": {good[:3], ErrTruncated},
		"truncated header":  {good[:PrefaceSize+4], ErrTruncated},
		"truncated payload": {good[:len(good)-1], ErrTruncated},
		"changed length":    {changed(PrefaceSize + 3), ErrChecksum},
		"longer length":     {changed(PrefaceSize + 2), ErrTruncated},
		"enormous length":   {append(bytes.Clone(good[:PrefaceSize]), bytes.Repeat([]byte{255}, 20)...), ErrTooLarge},
		"changed kind":      {changed(PrefaceSize + 5), ErrChecksum},
		"changed checksum":  {changed(PrefaceSize + 9), ErrChecksum},
		"changed payload":   {changed(len(good) - 1), ErrChecksum},
		"empty":             {nil, io.EOF},
		"preface only":      {good[:PrefaceSize], io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(newTestReader(test.data, 1<<16))
			must.ErrorIs(t, err, test.want)
		})
	}
}

// A client of another protocol that sends one byte and waits must not keep the
// connection occupied.
func TestReaderRejectsOtherProtocolAtFirstByte(t *testing.T) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	go theirs.Write([]byte("P"))
	_, err := NewReader(ours, testProtocol, 1<<16, 0).ReadFrame()
	must.ErrorIs(t, err, ErrWrongProtocol)
}

func TestForgedLengthAllocatesLittle(t *testing.T) {
	data := encodeFrames(t)
	data = binary.BigEndian.AppendUint32(data, 1<<30)
	data = append(data, make([]byte, 6)...)
	data = append(data, make([]byte, 1000)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readAll(newTestReader(data, 1<<31))
	runtime.ReadMemStats(&after)
	must.ErrorIs(t, err, ErrTruncated)
	must.Less(t, 1<<20, after.TotalAlloc-before.TotalAlloc)
}

func TestDeadlines(t *testing.T) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	_, err := NewReader(ours, testProtocol, 1<<16, time.Millisecond).ReadFrame()
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout())
	writer := NewWriter(ours, testProtocol, time.Millisecond)
	must.NoError(t, writer.WriteFrame(1, nil))
	must.True(t, errors.As(writer.Flush(), &timeout) && timeout.Timeout())
}

func TestFieldsRoundTrip(t *testing.T) {
	encoder := NewEncoder(nil)
	encoder.Uint8(1)
	encoder.Uint16(2)
	encoder.Uint32(3)
	encoder.Uint64(4)
	encoder.Int64(-5)
	encoder.Float64(-6.5)
	encoder.Bool(true)
	encoder.Bytes([]byte("seven"))
	encoder.String("eight")
	encoder.Raw([]byte("9"))
	decoder := NewDecoder(encoder.Data())
	must.Eq(t, 1, decoder.Uint8())
	must.Eq(t, 2, decoder.Uint16())
	must.Eq(t, 3, decoder.Uint32())
	must.Eq(t, 4, decoder.Uint64())
	must.Eq(t, -5, decoder.Int64())
	must.Eq(t, -6.5, decoder.Float64())
	must.True(t, decoder.Bool())
	must.Eq(t, []byte("seven"), decoder.Bytes())
	must.Eq(t, "eight", decoder.String())
	must.Eq(t, []byte("9"), decoder.Raw(1))
	must.NoError(t, decoder.Finish())
}

func TestDecoderRejectsInvalidFields(t *testing.T) {
	for name, test := range map[string]struct {
		data   []byte
		decode func(*Decoder)
		want   error
	}{
		"truncated integer": {[]byte{1, 2, 3}, func(d *Decoder) { d.Uint32() }, ErrTruncated},
		"truncated bytes":   {[]byte{0, 0, 0, 9, 1}, func(d *Decoder) { d.Bytes() }, ErrTruncated},
		"enormous bytes":    {[]byte{255, 255, 255, 255, 1}, func(d *Decoder) { d.Bytes() }, ErrTruncated},
		"enormous count":    {[]byte{255, 255, 255, 255, 1}, func(d *Decoder) { d.Count(8) }, ErrTruncated},
		"bool of two":       {[]byte{2}, func(d *Decoder) { d.Bool() }, ErrValue},
		"trailing bytes":    {[]byte{1, 2}, func(d *Decoder) { d.Uint8() }, ErrTrailing},
		"negative raw":      {[]byte{1}, func(d *Decoder) { d.Raw(-1) }, ErrTruncated},
		"first fault stays": {[]byte{2, 1}, func(d *Decoder) { d.Bool(); d.Uint64() }, ErrValue},
	} {
		t.Run(name, func(t *testing.T) {
			decoder := NewDecoder(test.data)
			test.decode(decoder)
			must.ErrorIs(t, decoder.Finish(), test.want)
			must.Eq(t, 0, decoder.Uint64())
		})
	}
}

// FuzzReader feeds arbitrary bytes to a Reader: it must not panic, and the accepted
// frames must encode to the bytes that were read.
func FuzzReader(f *testing.F) {
	f.Add(encodeFrames(f, Frame{Kind: 1, Payload: []byte("payload")}, Frame{Kind: 2}))
	f.Add([]byte("GET / HTTP/1.1\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		frames, err := readAll(newTestReader(data, 1<<16))
		must.Error(t, err)
		if len(frames) > 0 {
			must.True(t, bytes.HasPrefix(data, encodeFrames(t, frames...)))
		}
	})
}

// FuzzDecoder decodes arbitrary bytes as an arbitrary list of fields: it must not
// panic, and must never return more bytes than the input has.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2}, []byte{7})
	f.Add([]byte{0, 0, 0, 2, 1, 2}, []byte{9, 0, 0})
	f.Fuzz(func(t *testing.T, data, fields []byte) {
		decoder := NewDecoder(data)
		for _, field := range fields {
			switch field % 10 {
			case 0:
				decoder.Uint8()
			case 1:
				decoder.Uint16()
			case 2:
				decoder.Uint32()
			case 3:
				decoder.Uint64()
			case 4:
				decoder.Bool()
			case 5:
				decoder.Float64()
			case 6:
				must.LessEq(t, len(data), len(decoder.Bytes()))
			case 7:
				must.LessEq(t, len(data), len(decoder.String()))
			case 8:
				must.LessEq(t, len(data), len(decoder.Raw(int(field))))
			case 9:
				must.LessEq(t, len(data), decoder.Count(1))
			}
		}
		if decoder.Err() != nil {
			must.Eq(t, 0, decoder.Remaining())
		}
	})
}
