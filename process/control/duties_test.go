package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPauseAfterRound(t *testing.T) {
	reconcile := 200 * time.Millisecond
	d := &leaderTasks{group: &group{config: Config{Durations: Durations{Reconcile: reconcile}}}}
	for _, test := range []struct{ took, want time.Duration }{
		{took: time.Millisecond, want: minRoundPause},
		{took: 30 * time.Millisecond, want: 30 * time.Millisecond},
		{took: 5 * time.Second, want: reconcile},
	} {
		must.Eq(t, test.want, d.pauseAfter(test.took))
	}
}
