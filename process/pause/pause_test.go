package pause

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSleepEndsWithTheDurationOrTheContext(t *testing.T) {
	must.True(t, Sleep(t.Context(), time.Nanosecond))
	ended, end := context.WithCancel(t.Context())
	end()
	must.False(t, Sleep(ended, time.Hour))
}
