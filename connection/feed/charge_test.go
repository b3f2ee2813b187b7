package feed

import (
	"context"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

func TestChargeMessagesRoundTrip(t *testing.T) {
	request := ChargeRequest{Tenant: "north", Cost: 17020, Forwarded: true}
	decoder := frame.NewDecoder(encodeCharge(7, request))
	must.Eq(t, 7, decoder.Uint64())
	got, err := decodeChargeRequest(decoder)
	must.NoError(t, err)
	must.Eq(t, request, got)
	reply := chargeReply{requestID: 8, decided: true, grant: quota.Grant{Granted: true, Wait: time.Second, Left: 1.5}}
	decoded, err := decodeChargeReply(encodeChargeReply(reply))
	must.NoError(t, err)
	must.Eq(t, reply, decoded)
	_, err = decodeChargeReply(nil)
	must.Error(t, err)
}

// Charges go to the leader. A forwarded charge is not forwarded again.
func TestChargesReachTheLeader(t *testing.T) {
	group := newFakeGroup()
	group.grant = quota.Grant{Granted: true, Left: 5}
	_, address := startServer(t, group)
	group.put("water")
	holder := view.NewHolder()
	client, _ := startStandbyClient(t, holder, address)
	eventually(t, "a subscription", client.Connected)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	grant, err := client.Charge(ctx, ChargeRequest{Tenant: "north", Cost: 3})
	must.NoError(t, err)
	must.Eq(t, group.grant, grant)
	relay := NewPlacementRelay(client, holder)
	relay.RefundCharge(ChargeRequest{Tenant: "north", Cost: 3})
	_, forwarded := relay.Charge(ChargeRequest{Tenant: "north", Cost: 1, Forwarded: true})
	must.False(t, forwarded)
	eventually(t, "the refund", func() bool {
		group.lock.Lock()
		defer group.lock.Unlock()
		return len(group.charged) == 2 && group.charged[1] == ChargeRequest{Tenant: "north", Cost: -3, Forwarded: true}
	})
}
