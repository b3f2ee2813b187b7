// Package compress packs documents and deltas whose bytes are mostly text. It
// wraps the standard library's DEFLATE with a bound on what is unpacked.
package compress

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrTooLarge says that the unpacked bytes would be more than the limit.
var ErrTooLarge = errors.New("compress: unpacked bytes exceed the limit")

// writers keeps packers, which hold large tables.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("compress: the level is a constant: " + err.Error())
	}
	return writer
}}

// Pack returns the packed bytes.
func Pack(data []byte) []byte {
	var packed bytes.Buffer
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&packed)
	// A buffer takes everything, so neither call can fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return packed.Bytes()
}

// Unpack returns what was packed. It returns ErrTooLarge for more than limit
// bytes, and otherwise an error for bytes that Pack did not make.
func Unpack(packed []byte, limit int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if len(data) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}
