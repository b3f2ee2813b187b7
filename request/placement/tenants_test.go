package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// What the board orders, as a load without network: two readers and two generators, 40
// small tenants and two large ones that together ask for two thirds of what can be read,
// and one of them that asks eightfold from the 20th second on, as a tenant's batch job does.
// A read takes as long as the board thinks, one after the other at each reader, deferred
// ones last.
const (
	loadTenants = 40
	loadStep    = 10 * time.Millisecond
	loadSurge   = 20 * time.Second
	loadEnd     = 32 * time.Second
	loadPrompt  = 2000
	// loadObjective and loadPace are those of the deployment that the pattern is from.
	loadObjective = 500 * time.Millisecond
)

// reading is one read of the load.
type loadRead struct {
	tenant string
	number uint64
	due    time.Duration // when its objective is over
	tokens int
}

// playLoad returns the share of requests in time during the surge, of the tenant that surges
// and of the others.
func playLoad(t *testing.T, name func(tenant string) string) (surging, others float64) {
	b := newTestBoard()
	pace := b.paces[RolePrefill].perToken()
	queues := map[string][]*loadRead{} // by reader, in order
	late := map[string][]*loadRead{}   // deferred
	busy := map[string]time.Duration{} // until when
	reading := map[string]*loadRead{}  // being read
	inTime := map[bool][2]int{}        // by whether the tenant surges: in time, all
	credit := map[string]float64{}
	for tenant := range loadTenants {
		credit[fmt.Sprint("tenant-", tenant)] = float64(tenant) / loadTenants // else all come at once
	}
	number := uint64(0)
	perSecond := func(tenant int, now time.Duration) float64 {
		rate := 0.35 * float64(time.Second) / float64(loadPrompt) / float64(pace) / loadTenants * 2
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
		b.Note(now, key(done.number), Note{Step: StepRead})
		b.Note(now, key(done.number), Note{Step: StepStarted})
		b.Note(now, key(done.number), Note{Step: StepEnded})
		if now >= loadSurge+time.Second {
			count := inTime[done.tenant == "tenant-2"]
			if count[1]++; now <= done.due {
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
				asked := ask("", 0, loadPrompt)
				asked.Parts = asked.Parts[1:] // nothing is shared
				asked.Objective, asked.Deadline, asked.Tenant = loadObjective, 6*time.Second, name(own)
				answer := b.Place(now, key(number), asked)
				next := &loadRead{tenant: own, number: number, due: now + loadObjective, tokens: loadPrompt}
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
				busy[reader] = now + time.Duration(reading[reader].tokens)*pace
			}
		}
	}
	share := func(count [2]int) float64 { return float64(count[0]) / float64(max(count[1], 1)) }
	return share(inTime[true]), share(inTime[false])
}

// Where tenants are not told apart, one that asks for far more than it usually does makes
// all late; held against its usual, it is late itself.
func TestSurgingTenantDoesNotPushOthersAside(t *testing.T) {
	surgingAlike, othersAlike := playLoad(t, func(string) string { return "" })
	surging, others := playLoad(t, func(tenant string) string { return tenant })
	t.Logf("in time: not told apart %.2f of the surging, %.2f of the others; told apart %.2f, %.2f", surgingAlike, othersAlike, surging, others)
	must.Greater(t, othersAlike+0.1, others)
	must.Greater(t, 0.85, others)
	must.Greater(t, 0.02, surging, must.Sprint("it gets what is left"))
}

// Waves that all tenants have, and tenants with few requests, are no surge.
func TestUsualDemandIsNoSurge(t *testing.T) {
	known := tenants{}
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		wave := 1
		if now/(2800*time.Millisecond)%2 == 1 {
			wave = 2
		}
		for range wave {
			must.False(t, known.ask(now, &Ask{Tenant: "large", Prompt: 3000}), must.Sprint(now))
		}
	}
	must.False(t, known.ask(time.Minute, &Ask{Tenant: "small", Prompt: 3000}))
	for i := range 15 {
		must.False(t, known.ask(2*time.Minute+time.Duration(i), &Ask{Tenant: "small", Prompt: 50_000}))
		must.False(t, known.ask(2*time.Minute+time.Duration(i), &Ask{Prompt: 50_000}))
	}
}

// A tenant that surges keeps what it may ask; one that grows for good is believed in the end.
func TestSurgingTenantKeepsItsUsual(t *testing.T) {
	known := tenants{}
	first := func(from, to, each time.Duration) float64 {
		all, kept := 0, 0
		for now := from; now < to; now += each {
			if all++; !known.ask(now, &Ask{Tenant: "large", Prompt: 3000}) {
				kept++
			}
		}
		return float64(kept) / float64(all)
	}
	first(0, time.Minute, 100*time.Millisecond)
	must.Between(t, 0.25, first(time.Minute, 65*time.Second, 10*time.Millisecond), 0.6)
	first(65*time.Second, 2*time.Minute, 10*time.Millisecond)
	must.Eq(t, 1, first(2*time.Minute, 125*time.Second, 10*time.Millisecond))
}

func TestTenantsAreBounded(t *testing.T) {
	known := tenants{}
	for i := range maxTenants + 100 {
		known.ask(time.Second, &Ask{Tenant: fmt.Sprint(i), Prompt: 1})
	}
	must.MapLen(t, maxTenants, known)
	known.ask(time.Hour, &Ask{Tenant: "later", Prompt: 1})
	must.MapLen(t, 1, known)
}
