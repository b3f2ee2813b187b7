package enginemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func TestLoadReportLags(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.now = 10 * time.Second
	d.step()
	d.admit(t, request("r", 100, 1000))
	d.runUntil(10*time.Second + 400*time.Millisecond)
	early := d.Load(d.now)
	must.Eq(t, 0, early.Running)
	must.Eq(t, 900, early.AgeMilliseconds)
	d.runUntil(11*time.Second + 200*time.Millisecond)
	late := d.Load(d.now)
	must.Eq(t, 1, late.Running)
	must.Eq(t, 700, late.AgeMilliseconds)
	must.Positive(t, late.OutputTokens)
	must.Eq(t, 100, late.PromptTokens)
	must.Eq(t, uint64(testIncarnation), late.Incarnation)
}

func TestLoadOfAnIdleEngineStaysFresh(t *testing.T) {
	d := newDriver(testConfig(mixed))
	load := d.Load(time.Hour + 600*time.Millisecond)
	must.Eq(t, 600, load.AgeMilliseconds)
	must.Eq(t, api.PhaseServing, load.Phase)
}

func TestReportHistoryIsBounded(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, request("r", 100, 20_000))
	d.settle()
	must.Less(t, 200, len(d.reports.samples))
}

func TestCacheEventsComeLateAndOnce(t *testing.T) {
	config := testConfig(mixed)
	config.CacheEventLoss = 0
	d := newDriver(config)
	first := d.CacheEvents(0, 0)
	must.True(t, first.Snapshot)
	d.admit(t, request("a", 64, 1))
	d.settle()
	must.Len(t, 4, d.CacheEvents(d.now, 0).Blocks)
	must.Eq(t, 4, d.CacheEvents(d.now, 0).Next)
	d.admit(t, request("b", 32, 1))
	d.settle()
	page := d.CacheEvents(d.now, 4)
	must.SliceEmpty(t, page.Events)
	must.Eq(t, 4, page.Next)
	page = d.CacheEvents(d.now+config.CacheEventDelay, 4)
	must.Len(t, 2, page.Events)
	must.Eq(t, 5, page.Events[0].Sequence)
	must.Eq(t, 6, page.Next)
}

func TestLostCacheEventsShowAsGaps(t *testing.T) {
	config := testConfig(mixed)
	config.CacheEventLoss = 0.1
	d := newDriver(config)
	d.admit(t, request("a", 16_000, 1))
	d.settle()
	read, gaps, after := 0, 0, uint64(1)
	for {
		page := d.CacheEvents(time.Hour, after)
		if len(page.Events) == 0 {
			break
		}
		previous := after
		for _, event := range page.Events {
			if event.Sequence != previous+1 {
				gaps++
			}
			previous = event.Sequence
			read++
		}
		after = page.Next
		must.Eq(t, previous, after)
	}
	must.Between(t, 800, read, 950)
	must.Positive(t, gaps)
	must.Eq(t, d.CacheEvents(time.Hour, 1), d.CacheEvents(time.Hour, 1))
}

func TestCacheEventLogIsBounded(t *testing.T) {
	config := testConfig(mixed)
	config.CacheEventLimit = 10
	config.CacheEventLoss = 0
	d := newDriver(config)
	d.admit(t, request("a", 3200, 1))
	d.settle()
	must.LessEq(t, 20, len(d.cache.events.events))
	page := d.CacheEvents(time.Hour, 5)
	must.Greater(t, 6, page.Events[0].Sequence)
	must.Eq(t, 200, page.Next)
}
