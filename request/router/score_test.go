package router

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

func cachedBlocks(count int, exact bool) func([]uint64) (int, bool) {
	return func([]uint64) (int, bool) { return count, exact }
}

func TestScorers(t *testing.T) {
	speed := Speed{PrefillTokensPerSecond: 1000, StepBase: 1e7, StepPerSequence: 1e6, StepFullKV: 1e7, BlockTokens: 100, ChunkTokens: 500}.withDefaults()
	request := Request{PromptTokens: 1000, OutputTokens: 100, Blocks: make([]uint64, 10), Zone: "z"}
	cases := []struct {
		name     string
		scorer   Scorer
		endpoint Endpoint
		part     Part
		want     float64
	}{
		{"prefix cold", PrefixScorer{speed}, Endpoint{}, PartWhole, 1},
		{"prefix warm", PrefixScorer{speed}, Endpoint{CachedBlocks: cachedBlocks(8, true)}, PartWhole, 0.2},
		{"prefix with an inexact count", PrefixScorer{speed}, Endpoint{CachedBlocks: cachedBlocks(8, false)}, PartWhole, 0.6},
		{"prefix of decode", PrefixScorer{speed}, Endpoint{}, PartDecode, 0},
		{"load idle", LoadScorer{speed}, Endpoint{}, PartWhole, 1.1 + 2*0.011},
		{"load of own dispatches", LoadScorer{speed}, Endpoint{Load: Load{OwnRunning: 10, OwnTokens: 500}}, PartWhole, 0.5 + 2.1 + 3*0.021},
		{"load of decode", LoadScorer{speed}, Endpoint{Load: Load{Running: 10, WaitingTokens: 500, KVUsed: 0.5}}, PartDecode, 0.5 + 2.6},
		{"queue delays each decode step by at most one chunk", LoadScorer{speed}, Endpoint{Load: Load{WaitingTokens: 100000}}, PartDecode, 50 + 1.1},
		{"load of prefill", LoadScorer{speed}, Endpoint{Load: Load{Running: 10, WaitingTokens: 500}}, PartPrefill, 0.5},
		{"kv low", KVScorer{1}, Endpoint{Load: Load{KVUsed: 0.5}}, PartWhole, 0},
		{"kv high", KVScorer{1}, Endpoint{Load: Load{KVUsed: 0.8}}, PartWhole, 1},
		{"zone same", ZoneScorer{1}, Endpoint{Zone: "z"}, PartWhole, 0},
		{"zone other", ZoneScorer{1}, Endpoint{Zone: "y"}, PartWhole, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.scorer.Score(&request, &c.endpoint, c.part)
			must.InDelta(t, c.want, got, 1e-9)
			must.NotEq(t, "", c.scorer.Name())
		})
	}
	must.False(t, math.IsInf(KVScorer{1}.Score(&request, &Endpoint{Load: Load{KVUsed: 1}}, PartWhole), 0))
}

func TestTwoChoicePicker(t *testing.T) {
	scored := []Scored{
		{&Endpoint{Name: "a"}, 1}, {&Endpoint{Name: "b"}, 1.05}, {&Endpoint{Name: "c"}, 1.08}, {&Endpoint{Name: "d"}, 3},
	}
	picker := TwoChoicePicker{Slack: 0.1}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 300 {
		counts[picker.Pick(scored, random).Endpoint.Name]++
	}
	must.Eq(t, 0, counts["d"])
	must.Eq(t, 0, counts["c"]) // of two draws, the more expensive one is never picked
	must.Between(t, 150, counts["a"], 250)
	must.Between(t, 50, counts["b"], 150)
	must.Eq(t, "a", picker.Pick(scored[:1], random).Endpoint.Name)
	must.Eq(t, "a", BestPicker{}.Pick(scored, random).Endpoint.Name)
}
