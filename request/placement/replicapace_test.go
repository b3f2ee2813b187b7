package placement

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against services being placed by the pace of their replicas although none reports it.
func TestServiceIsPacedOnceAReplicaReportsItsSlowness(t *testing.T) {
	board := NewBoard()
	must.False(t, board.isPaced())
	board.RecordProgress(0, Key{Daemon: "proxy", Number: 1}, ProgressReport{Step: StepStarted, ReportedRequests: 3})
	must.False(t, board.isPaced())
	board.RecordProgress(0, Key{Daemon: "proxy", Number: 1}, ProgressReport{Step: StepStarted, ReportedSlowness: 1})
	must.True(t, board.isPaced())
}
