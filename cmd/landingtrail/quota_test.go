package main

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/version/api"
)

func TestQuotasAreShown(t *testing.T) {
	list := operatorapi.QuotaList{Tenants: []operatorapi.TenantQuota{
		{Tenant: "a", Quota: api.Quota{Unit: api.QuotaTokens, PerSecond: 1000, Burst: 500}, Left: 12.4, Granted: 88, Refused: 3},
		{Tenant: "b", Quota: api.Quota{Unit: api.QuotaRequests, PerSecond: 1}},
	}}
	must.Eq(t, [][]any{{"a", "tokens", "1000", "500", "12", "88", "3"}}, quotaRows(list, "a"))
	must.SliceLen(t, 2, quotaRows(list, ""))
}
