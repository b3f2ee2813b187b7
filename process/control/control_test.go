package control

import (
	"net/http"
	"testing"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

func TestGroupAcceptsTransaction(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.start(0, 1, 2)
	c.leader()
	result := c.transact(api.Transaction{OperationID: "first", Writes: narratorObjects()})
	must.Eq(t, api.OutcomeAccepted, result.Code)
	var list operatorapi.ObjectList
	for i := range c.configs {
		must.Eq(t, http.StatusOK, c.call(i, http.MethodGet, operatorapi.PathObjects+"/Intent/narrate", nil, &list))
		must.Eq(t, result.Revision, list.Objects[0].Intent.Revision)
	}
	_, holder := c.follow("proxy-a")
	eventually(t, "the view", func() bool { return holder.Load().Intents["narrate"] != nil })
	var inForce operatorapi.InForce
	eventually(t, "in force", func() bool {
		c.call(0, http.MethodGet, operatorapi.PathInForce+"?revision=1", nil, &inForce)
		return inForce.Done
	})
}
