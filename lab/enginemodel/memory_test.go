package enginemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/request/prefix"
	"github.com/landingtrail/landingtrail/version/api"
)

// shared returns a request whose first 320 tokens are a shared prefix.
func shared(id string, prefix uint64) Request {
	r := request(id, 400, 10)
	r.Blocks = SyntheticBlocks("m", prefix, 320, PromptHash(id), 400, DefaultBlockTokens)
	return r
}

func (d *driver) cachedTokens() map[string]int {
	cached := map[string]int{}
	for _, event := range d.of(EventToken) {
		if event.Offset == 0 {
			cached[event.Request.Key.ID] = event.Cached
		}
	}
	return cached
}

func TestPrefixIsReadOnce(t *testing.T) {
	d := newDriver(testConfig(mixed))
	for _, id := range []string{"a", "b"} {
		d.admit(t, shared(id, 1))
		d.settle()
	}
	d.admit(t, shared("c", 2))
	d.settle()
	must.Eq(t, map[string]int{"a": 0, "b": 320, "c": 0}, d.cachedTokens())
	must.Eq(t, int64(400+80+400), d.promptTokens)
}

func TestWholePromptCachedStillReadsItsEnd(t *testing.T) {
	d := newDriver(testConfig(mixed))
	for _, id := range []string{"a", "b"} {
		r := request("same", 320, 2)
		r.Key.ID = id
		d.admit(t, r)
		d.settle()
	}
	must.Eq(t, 320-DefaultBlockTokens, d.cachedTokens()["b"])
}

func TestLeastRecentlyUsedPrefixIsEvicted(t *testing.T) {
	config := testConfig(mixed)
	config.KVTokens = 1100
	d := newDriver(config)
	for _, r := range []Request{shared("a", 1), shared("b", 2), shared("a again", 1), shared("c", 3)} {
		d.admit(t, r)
		d.settle()
	}
	must.Eq(t, 320, d.cachedTokens()["a again"])
	d.events = nil
	d.admit(t, shared("a last", 1))
	d.settle()
	must.Eq(t, 320, d.cachedTokens()["a last"])
	d.admit(t, shared("b last", 2))
	d.settle()
	must.Less(t, 320, d.cachedTokens()["b last"])
}

func TestEvictionTakesTheEndOfAPrefixFirst(t *testing.T) {
	config := testConfig(mixed)
	config.KVTokens = 500
	d := newDriver(config)
	d.admit(t, shared("a", 1))
	d.settle()
	d.admit(t, request("b", 200, 10))
	d.settle()
	blocks := shared("a", 1).Blocks
	kept := d.cache.leading(blocks)
	must.Positive(t, kept)
	for _, hash := range blocks[kept:] {
		must.False(t, d.cache.contains(hash))
	}
}

func TestNewWeightsEmptyTheCache(t *testing.T) {
	d := newDriver(testConfig(mixed))
	d.admit(t, shared("a", 1))
	d.settle()
	newVersion := mixed
	newVersion.Version = "v2"
	d.Order(d.now, order(5, newVersion))
	d.settle()
	d.admit(t, shared("b", 1))
	d.settle()
	must.Eq(t, 0, d.cachedTokens()["b"])
}

// exported runs a prompt on a prefill engine and returns its export.
func exported(t *testing.T, id string) (*driver, Export) {
	d := newDriver(testConfig(prefill))
	r := request(id, 400, 0)
	r.PrefillOnly = true
	d.admit(t, r)
	d.settle()
	must.Len(t, 1, d.of(EventExported))
	export, known := d.Export(d.now, d.of(EventExported)[0].Handle)
	must.True(t, known)
	return d, export
}

func TestDecodeFromImport(t *testing.T) {
	source, export := exported(t, "r")
	must.Eq(t, 0, source.private)
	d := newDriver(testConfig(decode))
	ready, refusal := d.Import(d.now, export)
	must.Eq(t, RefusalNone, refusal)
	config := d.Config()
	must.Eq(t, config.TransferTime(400), ready)
	again, refusal := d.Import(d.now, export)
	must.Eq(t, RefusalNone, refusal)
	must.Eq(t, ready, again)
	d.now = ready
	r := request("r", 400, 5)
	r.Handle = export.Handle
	d.admit(t, r)
	twice := r
	twice.Key.Attempt = 9
	must.Eq(t, RefusalUnknownHandle, d.Admit(d.now, twice).Refusal)
	d.settle()
	must.Eq(t, []string{"r"}, d.finished())
	must.Eq(t, int64(0), d.promptTokens)
	must.Eq(t, 0, d.staging.tokens)
	r.Key.Attempt = 1
	must.Eq(t, RefusalUnknownHandle, d.Admit(d.now, r).Refusal)
}

func TestImportIsForItsOwnPromptOnly(t *testing.T) {
	_, export := exported(t, "r")
	newVersion := decode
	newVersion.Version = "v2"
	_, refusal := New(testConfig(newVersion)).Import(0, export)
	must.Eq(t, RefusalWrongModel, refusal)
	cases := map[string]func(*Request){
		"other prompt":  func(r *Request) { r.PromptHash++ },
		"other length":  func(r *Request) { r.PromptTokens++ },
		"other adapter": func(r *Request) { r.Model = "m:a" },
		"other handle":  func(r *Request) { r.Handle += "x" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDriver(testConfig(decode))
			d.Import(0, export)
			r := request("r", 400, 5)
			r.Handle = export.Handle
			change(&r)
			must.Eq(t, RefusalUnknownHandle, d.Admit(0, r).Refusal)
		})
	}
}

func TestStagingIsBoundedAndExpires(t *testing.T) {
	config := testConfig(decode)
	config.StagingTokens = 500
	d := newDriver(config)
	first := Export{Handle: "1", Model: "m", Version: "v1", Tokens: 400}
	second := first
	second.Handle = "2"
	_, refusal := d.Import(0, first)
	must.Eq(t, RefusalNone, refusal)
	_, refusal = d.Import(0, second)
	must.Eq(t, RefusalStagingFull, refusal)
	_, refusal = d.Import(time.Hour, second)
	must.Eq(t, RefusalNone, refusal)
}

func TestNewWeightsDropStagedCache(t *testing.T) {
	d, export := exported(t, "r")
	d.Order(d.now, order(5, api.Assignment{Model: "m", Version: "v2", Role: api.RolePrefill}))
	d.settle()
	_, known := d.Export(d.now, export.Handle)
	must.False(t, known)
	must.Eq(t, 0, d.staging.tokens)
}

func TestSyntheticBlocksShareThePrefixOnly(t *testing.T) {
	a := SyntheticBlocks("m", 1, 320, 10, 400, 16)
	b := SyntheticBlocks("m", 1, 320, 11, 400, 16)
	must.Len(t, 25, a)
	must.Eq(t, a[:20], b[:20])
	must.NotEq(t, a[20], b[20])
	must.NotEq(t, a[0], SyntheticBlocks("m:a", 1, 320, 10, 400, 16)[0])
	must.Eq(t, DefaultBlockTokens, prefix.BlockWords)
}
