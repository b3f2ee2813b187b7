package platform

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// weightChunk is the number of bytes taken from the shared rate at a time.
const weightChunk = 64 << 10

// weightStore streams synthetic weights at a rate that all readers share.
type weightStore struct {
	bytes   int64
	limiter *rate.Limiter
	readers chan struct{} // bounds the readers at a time
}

func newWeightStore(config *Config) *weightStore {
	return &weightStore{
		bytes:   config.WeightBytes,
		limiter: rate.NewLimiter(rate.Limit(config.WeightBytesPerSecond), weightChunk),
		readers: make(chan struct{}, config.WeightReaders),
	}
}

// serve answers GET PathWeights; a reader above the bound is told to come back.
func (s *weightStore) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case s.readers <- struct{}{}:
		defer func() { <-s.readers }()
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many readers", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.bytes, 10))
	content := weightContent(r.PathValue("model") + "/" + r.PathValue("version"))
	// A reader that stops early sees it by the content length.
	_ = s.stream(r.Context(), w, content)
}

func (s *weightStore) stream(ctx context.Context, w io.Writer, content []byte) error {
	for sent := int64(0); sent < s.bytes; {
		size := min(int64(len(content)), s.bytes-sent)
		if err := s.limiter.WaitN(ctx, int(size)); err != nil {
			return err
		}
		if _, err := w.Write(content[:size]); err != nil {
			return err
		}
		sent += size
	}
	return nil
}

// weightContent is the chunk that the weights of a name repeat.
func weightContent(name string) []byte {
	content := make([]byte, weightChunk)
	binary.LittleEndian.PutUint64(content, xxhash.Sum64String(name))
	return content
}
