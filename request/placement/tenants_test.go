package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Parameters of a simulated load without network: two readers, two generators, and 40 tenants that
// together use about half of the read capacity. Two tenants have eight times the demand of each
// other one. From loadSurge on, a small tenant has 400 times its previous demand, as a batch job
// would. Each reader reads one prompt at a time, in the time that the board estimates, and deferred
// prompts last.
const (
	loadTenants = 40
	loadStep    = 10 * time.Millisecond
	loadSurge   = 20 * time.Second
	loadEnd     = 32 * time.Second
	loadPrompt  = 2000
	// loadObjective is the objective in the deployment where such a load occurred.
	loadObjective = 500 * time.Millisecond
)

// loadRead is one prompt to be read.
type loadRead struct {
	tenant string
	number uint64
	dueAt  time.Duration // when its objective is over
	tokens int
}

// simulateLoad returns the share of requests in time during the surge, of the surging tenant
// and of the others.
func simulateLoad(t *testing.T, name func(tenant string) string) (surging, others float64) {
	b := newTestBoard()
	perToken := b.readTimes[RolePrefill].perToken()
	queues := map[string][]*loadRead{} // by reader, in order
	late := map[string][]*loadRead{}   // deferred, by reader
	busy := map[string]time.Duration{} // end of the current read, by reader
	reading := map[string]*loadRead{}  // current read, by reader
	inTime := map[bool][2]int{}        // in time and all, by whether the tenant surges
	credit := map[string]float64{}
	for tenant := range loadTenants {
		credit[fmt.Sprint("tenant-", tenant)] = float64(tenant) / loadTenants // spreads the arrivals
	}
	number := uint64(0)
	perSecond := func(tenant int, now time.Duration) float64 {
		rate := 0.35 * float64(time.Second) / float64(loadPrompt) / float64(perToken) / loadTenants * 2
		if tenant < 2 {
			rate *= 8
		}
		if tenant == 2 && now >= loadSurge {
			rate *= 400
		}
		return rate
	}
	finish := func(now time.Duration, reader string) {
		done := reading[reader]
		if done == nil || now < busy[reader] {
			return
		}
		delete(reading, reader)
		b.RecordProgress(now, key(done.number), ProgressReport{Step: StepRead})
		b.RecordProgress(now, key(done.number), ProgressReport{Step: StepStarted})
		b.RecordProgress(now, key(done.number), ProgressReport{Step: StepEnded})
		if now >= loadSurge+time.Second {
			count := inTime[done.tenant == "tenant-2"]
			if count[1]++; now <= done.dueAt {
				count[0]++
			}
			inTime[done.tenant == "tenant-2"] = count
		}
	}
	for now := time.Duration(0); now < loadEnd; now += loadStep {
		for tenant := range loadTenants {
			own := fmt.Sprint("tenant-", tenant)
			credit[own] += perSecond(tenant, now) * loadStep.Seconds()
			for ; credit[own] >= 1; credit[own]-- {
				number++
				request := newRequest("", 0, loadPrompt)
				request.Parts = request.Parts[1:] // nothing is shared
				request.Objective, request.Deadline, request.Tenant = loadObjective, 6*time.Second, name(own)
				answer := b.Place(now, key(number), request)
				next := &loadRead{tenant: own, number: number, dueAt: now + loadObjective, tokens: loadPrompt}
				at := answer.Reader
				if at == "" {
					at = answer.Generator
				}
				switch {
				case answer.Refused || at == "":
					if now >= loadSurge+time.Second {
						count := inTime[own == "tenant-2"]
						count[1]++
						inTime[own == "tenant-2"] = count
					}
				case answer.Deferred:
					late[at] = append(late[at], next)
				default:
					queues[at] = append(queues[at], next)
				}
			}
		}
		for _, reader := range b.names {
			finish(now, reader)
			for reading[reader] == nil {
				from := queues
				if len(from[reader]) == 0 {
					from = late
				}
				if len(from[reader]) == 0 {
					break
				}
				reading[reader] = from[reader][0]
				from[reader] = from[reader][1:]
				busy[reader] = now + time.Duration(reading[reader].tokens)*perToken
			}
		}
	}
	share := func(count [2]int) float64 { return float64(count[0]) / float64(max(count[1], 1)) }
	return share(inTime[true]), share(inTime[false])
}

// A tenant whose demand rises far above its baseline delays all others if tenants are not
// distinguished. If they are, it delays only itself.
func TestSurgingTenantDoesNotDelayOthers(t *testing.T) {
	surgingAlike, othersAlike := simulateLoad(t, func(string) string { return "" })
	surging, others := simulateLoad(t, func(tenant string) string { return tenant })
	t.Logf("in time: tenants not distinguished: surging %.2f, others %.2f; distinguished: surging %.2f, others %.2f", surgingAlike, othersAlike, surging, others)
	must.Greater(t, othersAlike+0.1, others)
	must.Greater(t, 0.85, others)
	must.Greater(t, 0.02, surging, must.Sprint("the surging tenant gets the remaining capacity"))
}

// Variations in load that all tenants share, and tenants with few requests, are not surges.
func TestUsualDemandIsNoSurge(t *testing.T) {
	known := tenants{}
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		wave := 1
		if now/(2800*time.Millisecond)%2 == 1 {
			wave = 2
		}
		for range wave {
			must.False(t, known.recordRequest(now, &Request{Tenant: "large", PromptTokens: 3000}), must.Sprint(now))
		}
	}
	must.False(t, known.recordRequest(time.Minute, &Request{Tenant: "small", PromptTokens: 3000}))
	for i := range 15 {
		must.False(t, known.recordRequest(2*time.Minute+time.Duration(i), &Request{Tenant: "small", PromptTokens: 50_000}))
		must.False(t, known.recordRequest(2*time.Minute+time.Duration(i), &Request{PromptTokens: 50_000}))
	}
}

// During a surge, the allowed share of a tenant's demand is not deferred. If the higher demand
// lasts, the baseline rises to it.
func TestSurgingTenantKeepsItsBaseline(t *testing.T) {
	known := tenants{}
	shareNotDeferred := func(from, to, each time.Duration) float64 {
		all, kept := 0, 0
		for now := from; now < to; now += each {
			if all++; !known.recordRequest(now, &Request{Tenant: "large", PromptTokens: 3000}) {
				kept++
			}
		}
		return float64(kept) / float64(all)
	}
	shareNotDeferred(0, time.Minute, 100*time.Millisecond)
	must.Between(t, 0.25, shareNotDeferred(time.Minute, 65*time.Second, 10*time.Millisecond), 0.6)
	shareNotDeferred(65*time.Second, 2*time.Minute, 10*time.Millisecond)
	must.Eq(t, 1, shareNotDeferred(2*time.Minute, 125*time.Second, 10*time.Millisecond))
}

func TestTenantsAreBounded(t *testing.T) {
	known := tenants{}
	for i := range maxTenants + 100 {
		known.recordRequest(time.Second, &Request{Tenant: fmt.Sprint(i), PromptTokens: 1})
	}
	must.MapLen(t, maxTenants, known)
	known.recordRequest(time.Hour, &Request{Tenant: "later", PromptTokens: 1})
	must.MapLen(t, 1, known)
}
