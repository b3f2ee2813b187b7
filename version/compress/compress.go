// Package compress compresses documents and deltas that consist mostly of text.
// It uses DEFLATE and limits the size of decompressed data.
package compress

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned when the decompressed data exceeds the limit.
var ErrTooLarge = errors.New("compress: unpacked bytes exceed the limit")

// writerPool reuses DEFLATE writers because each allocates large tables.
var writerPool = sync.Pool{New: func() any {
	// NewWriter fails only on an invalid level, and BestSpeed is valid.
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("compress: create DEFLATE writer: " + err.Error())
	}
	return writer
}}

// Pack returns data compressed with DEFLATE.
func Pack(data []byte) []byte {
	var packed bytes.Buffer
	writer := writerPool.Get().(*flate.Writer)
	defer writerPool.Put(writer)
	writer.Reset(&packed)
	// Writing to a bytes.Buffer returns no error, so neither call can fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return packed.Bytes()
}

// Unpack decompresses the output of Pack. It returns ErrTooLarge if the result
// exceeds limit bytes, and another error if packed is not valid DEFLATE data. Bytes
// after the end of the DEFLATE stream are ignored.
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
