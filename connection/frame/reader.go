package frame

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Reader reads a preface and then frames from a connection. It is not safe for
// concurrent use.
type Reader struct {
	conn        net.Conn
	buffered    *bufio.Reader
	protocol    Protocol
	maxPayload  uint32
	timeout     time.Duration
	prefaceRead bool
}

// NewReader returns a Reader that rejects payloads larger than maxPayload bytes.
// Each frame must arrive completely within timeout; zero sets no deadline.
func NewReader(conn net.Conn, protocol Protocol, maxPayload uint32, timeout time.Duration) *Reader {
	return &Reader{
		conn:       conn,
		buffered:   bufio.NewReaderSize(conn, 32<<10),
		protocol:   protocol,
		maxPayload: maxPayload,
		timeout:    timeout,
	}
}

// SetTimeout changes the time within which each subsequent frame must arrive; zero sets no
// deadline.
func (r *Reader) SetTimeout(timeout time.Duration) { r.timeout = timeout }

// SetMaxPayload changes the largest accepted payload size in bytes.
func (r *Reader) SetMaxPayload(maxPayload uint32) { r.maxPayload = maxPayload }

// ReadFrame returns the next frame; its payload belongs to the caller. It
// returns io.EOF when the stream ends between frames, ErrTruncated when it ends
// inside one, and ErrWrongProtocol, ErrVersion, ErrTooLarge or ErrChecksum as
// soon as the received bytes show the error. Other errors, such as a timeout, are those
// of the connection.
func (r *Reader) ReadFrame() (Frame, error) {
	if err := r.setDeadline(); err != nil {
		return Frame{}, err
	}
	if err := r.readPreface(); err != nil {
		return Frame{}, err
	}
	var headerBytes [HeaderSize]byte
	if err := r.readHeader(headerBytes[:]); err != nil {
		return Frame{}, err
	}
	h := parseHeader(headerBytes[:])
	if h.length > r.maxPayload {
		return Frame{}, errors.Wrapf(ErrTooLarge, "payload of %d bytes, at most %d", h.length, r.maxPayload)
	}
	payload, err := r.readPayload(int(h.length))
	if err != nil {
		return Frame{}, err
	}
	if checksum(h.length, h.kind, payload) != h.checksum {
		return Frame{}, errors.Wrapf(ErrChecksum, "frame of kind %d", h.kind)
	}
	return Frame{Kind: h.kind, Payload: payload}, nil
}

func (r *Reader) setDeadline() error {
	deadline := time.Time{}
	if r.timeout > 0 {
		deadline = time.Now().Add(r.timeout)
	}
	return errors.Wrap(r.conn.SetReadDeadline(deadline), "frame: set read deadline")
}

// readPreface reads and checks the preface. It compares the magic byte by byte, so that
// another protocol is rejected at its first differing byte instead of after a
// whole preface has arrived.
func (r *Reader) readPreface() error {
	if r.prefaceRead {
		return nil
	}
	for position, want := range magic {
		got, err := r.buffered.ReadByte()
		if err != nil {
			return prefaceError(err, position)
		}
		if got != want {
			return errors.Wrapf(ErrWrongProtocol, "preface byte %d is %#02x", position, got)
		}
	}
	var rest [PrefaceSize - len(magic)]byte
	if _, err := io.ReadFull(r.buffered, rest[:]); err != nil {
		return prefaceError(err, len(magic))
	}
	got := Protocol{ID: binary.BigEndian.Uint16(rest[0:]), Version: binary.BigEndian.Uint16(rest[2:])}
	if got.ID != r.protocol.ID {
		return errors.Wrapf(ErrWrongProtocol, "protocol %d, expected %d", got.ID, r.protocol.ID)
	}
	if got.Version != r.protocol.Version {
		return errors.Wrapf(ErrVersion, "version %d, expected %d", got.Version, r.protocol.Version)
	}
	r.prefaceRead = true
	return nil
}

// prefaceError converts an end of the stream inside the preface to ErrTruncated.
func prefaceError(err error, position int) error {
	if position == 0 && errors.Is(err, io.EOF) {
		return io.EOF
	}
	return truncated(err, "preface")
}

func (r *Reader) readHeader(buffer []byte) error {
	count, err := io.ReadFull(r.buffered, buffer)
	if err == nil {
		return nil
	}
	if count == 0 && errors.Is(err, io.EOF) {
		return io.EOF
	}
	return truncated(err, "header")
}

// readPayload grows its buffer as bytes arrive: to at most twice the size received
// so far, starting from initialPayloadBytes.
func (r *Reader) readPayload(length int) ([]byte, error) {
	payload := make([]byte, 0, min(length, initialPayloadBytes))
	for len(payload) < length {
		if len(payload) == cap(payload) {
			grown := make([]byte, len(payload), min(length, 2*cap(payload)))
			copy(grown, payload)
			payload = grown
		}
		start := len(payload)
		count, err := io.ReadFull(r.buffered, payload[start:cap(payload)])
		payload = payload[:start+count]
		if err != nil {
			return nil, truncated(err, "payload")
		}
	}
	return payload, nil
}

func truncated(err error, part string) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(ErrTruncated, part)
	}
	return errors.Wrapf(err, "frame: read %s", part)
}
