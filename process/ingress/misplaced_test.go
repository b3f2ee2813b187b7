package ingress

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

// An answer that names another request is told, with whose it is.
func TestMisplacedAnswersAreLoggedAndCounted(t *testing.T) {
	var lines sharedBuffer
	w := newWorld(t, newFakeReplica(t, "r-1", foreign))
	w.ingress.logger = log.NewLogfmtLogger(&lines)
	w.ask(asked{method: "GET", target: "/unsafe/", id: "q"})
	must.StrContains(t, lines.String(), "name=answer_misplaced request=q stage=run replica=r-1 reused=false answered=another status=200")
	must.Eq(t, 1, w.ingress.metrics.values(t)["landingtrail_ingress_misplaced_answers_total plain run"])
}
