package frame

import (
	"bufio"
	"math"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Writer writes a preface and then frames to a connection. Frames are buffered
// until Flush. It is not safe for concurrent use.
type Writer struct {
	conn           net.Conn
	buffered       *bufio.Writer
	protocol       Protocol
	timeout        time.Duration
	prefaceWritten bool
}

// NewWriter returns a Writer that limits each write to the connection to timeout;
// zero sets no deadline.
func NewWriter(conn net.Conn, protocol Protocol, timeout time.Duration) *Writer {
	w := &Writer{conn: conn, protocol: protocol, timeout: timeout}
	w.buffered = bufio.NewWriterSize(deadlineWriter{w}, 32<<10)
	return w
}

// WriteFrame adds a frame to the buffer. The preface is written before the first
// frame. A payload of 4 GiB or more is ErrTooLarge; other errors are those of the
// connection, after which the Writer is unusable.
func (w *Writer) WriteFrame(kind Kind, payload []byte) error {
	if uint64(len(payload)) > math.MaxUint32 {
		return errors.Wrapf(ErrTooLarge, "payload of %d bytes", len(payload))
	}
	if err := w.writePreface(); err != nil {
		return err
	}
	length := uint32(len(payload))
	var headerBytes [HeaderSize]byte
	putHeader(headerBytes[:], header{length: length, kind: kind, checksum: checksum(length, kind, payload)})
	if _, err := w.buffered.Write(headerBytes[:]); err != nil {
		return errors.Wrap(err, "frame: write header")
	}
	if _, err := w.buffered.Write(payload); err != nil {
		return errors.Wrap(err, "frame: write payload")
	}
	return nil
}

// Flush writes the buffered data, preceded by the preface if it was not written yet.
func (w *Writer) Flush() error {
	if err := w.writePreface(); err != nil {
		return err
	}
	return errors.Wrap(w.buffered.Flush(), "frame: flush")
}

func (w *Writer) writePreface() error {
	if w.prefaceWritten {
		return nil
	}
	w.prefaceWritten = true
	preface := appendPreface(make([]byte, 0, PrefaceSize), w.protocol)
	_, err := w.buffered.Write(preface)
	return errors.Wrap(err, "frame: write preface")
}

// deadlineWriter resets the write deadline before each write to the connection.
type deadlineWriter struct{ w *Writer }

func (d deadlineWriter) Write(data []byte) (int, error) {
	if d.w.timeout > 0 {
		if err := d.w.conn.SetWriteDeadline(time.Now().Add(d.w.timeout)); err != nil {
			return 0, err
		}
	}
	return d.w.conn.Write(data)
}
