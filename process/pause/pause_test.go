package pause

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestForEndsWithTheDurationOrTheContext(t *testing.T) {
	must.True(t, For(t.Context(), time.Nanosecond))
	ended, end := context.WithCancel(t.Context())
	end()
	must.False(t, For(ended, time.Hour))
}
