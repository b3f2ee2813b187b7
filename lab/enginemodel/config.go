// Package enginemodel is a pure model of a continuous-batching language-model
// engine: chunked prefill, decoding in a batch, KV memory with a prefix cache,
// KV export and import, and fenced orders. It reads no clock and starts no
// goroutine: every call brings the time, as a duration since any fixed origin,
// and the same calls give the same results. The stand-in engine process runs it
// in real time, the emulator in virtual time.
//
// An Engine is not safe for concurrent use.
package enginemodel

import (
	"time"

	"github.com/landingtrail/landingtrail/request/prefix"
	"github.com/landingtrail/landingtrail/version/api"
)

// Defaults of a Config. They are assumptions: the order of magnitude of a
// mid-sized model on one accelerator, not measurements of any engine.
const (
	DefaultStepBase               = 8 * time.Millisecond
	DefaultPrefillTokensPerSecond = 12_000
	DefaultDecodePerSequence      = 400 * time.Microsecond
	DefaultKVReadPerThousand      = 100 * time.Microsecond
	DefaultMixedChunkTokens       = 512
	DefaultPrefillChunkTokens     = 2_048
	DefaultDecodeChunkTokens      = 128
	DefaultMaxBatch               = 64
	DefaultMaxWaiting             = 256
	DefaultKVTokens               = 60_000
	DefaultStagingTokens          = 120_000
	DefaultBlockTokens            = prefix.BlockWords
	DefaultKVBytesPerToken        = 128 << 10
	DefaultKVBytesPerSecond       = 5e9
	DefaultRoleChange             = 3 * time.Second
	DefaultWeightLoad             = 8 * time.Second
	DefaultReportDelay            = 500 * time.Millisecond
	DefaultReportInterval         = 500 * time.Millisecond
	DefaultCacheEventDelay        = 400 * time.Millisecond
	DefaultCacheEventLoss         = 0.002
	DefaultOutputRetention        = 60 * time.Second
	DefaultDetachedLimit          = 10 * time.Second
	DefaultStagingRetention       = 30 * time.Second
	DefaultRecordLimit            = 8_192
	DefaultCacheEventLimit        = 8_192
)

// Config is everything an engine is made of. Start from DefaultConfig: a zero
// field is taken as it stands.
type Config struct {
	Engine      string
	Address     string // goes into KV handles
	Incarnation uint64
	Assignment  api.Assignment // held from the start; zero is idle
	Seed        uint64         // decides which cache events are lost

	// Speed divides the durations of the engine's work: steps, role changes,
	// weight loads and KV transfers. Report lags and retentions keep their length.
	Speed float64

	StepBase               time.Duration // of each batch iteration
	PrefillTokensPerSecond float64
	DecodePerSequence      time.Duration // a sequence that decodes adds this to an iteration
	KVReadPerThousand      time.Duration // a thousand tokens of running KV add this
	MixedChunkTokens       int           // prefill budget of an iteration in role mixed
	PrefillChunkTokens     int           // likewise in role prefill
	DecodeChunkTokens      int           // likewise in role decode
	MaxBatch               int           // sequences
	MaxWaiting             int           // requests admitted and not yet in the batch

	KVTokens         int // memory shared by running sequences and the prefix cache
	StagingTokens    int // host memory for exported and imported KV
	BlockTokens      int // tokens of a prefix block
	KVBytesPerToken  int
	KVBytesPerSecond float64

	RoleChange time.Duration
	WeightLoad time.Duration
	// ExternalLoad leaves the duration of weight loads to the caller, who
	// answers EventLoad with FinishLoad; WeightLoad is then not used.
	ExternalLoad bool

	ReportDelay     time.Duration // a load report is at least this old
	ReportInterval  time.Duration // and at most this much older
	CacheEventDelay time.Duration
	CacheEventLoss  float64 // share of cache events that are never published
	CacheEventLimit int     // events kept for readers

	OutputRetention  time.Duration // how long an ended run can be resumed
	DetachedLimit    time.Duration // a run without a reader is cancelled after this
	StagingRetention time.Duration
	RecordLimit      int // ended runs and cancelled IDs kept
}

// DefaultConfig returns the documented defaults for an idle engine.
func DefaultConfig(engine string, incarnation uint64) Config {
	return Config{
		Engine:                 engine,
		Incarnation:            incarnation,
		Speed:                  1,
		StepBase:               DefaultStepBase,
		PrefillTokensPerSecond: DefaultPrefillTokensPerSecond,
		DecodePerSequence:      DefaultDecodePerSequence,
		KVReadPerThousand:      DefaultKVReadPerThousand,
		MixedChunkTokens:       DefaultMixedChunkTokens,
		PrefillChunkTokens:     DefaultPrefillChunkTokens,
		DecodeChunkTokens:      DefaultDecodeChunkTokens,
		MaxBatch:               DefaultMaxBatch,
		MaxWaiting:             DefaultMaxWaiting,
		KVTokens:               DefaultKVTokens,
		StagingTokens:          DefaultStagingTokens,
		BlockTokens:            DefaultBlockTokens,
		KVBytesPerToken:        DefaultKVBytesPerToken,
		KVBytesPerSecond:       DefaultKVBytesPerSecond,
		RoleChange:             DefaultRoleChange,
		WeightLoad:             DefaultWeightLoad,
		ReportDelay:            DefaultReportDelay,
		ReportInterval:         DefaultReportInterval,
		CacheEventDelay:        DefaultCacheEventDelay,
		CacheEventLoss:         DefaultCacheEventLoss,
		CacheEventLimit:        DefaultCacheEventLimit,
		OutputRetention:        DefaultOutputRetention,
		DetachedLimit:          DefaultDetachedLimit,
		StagingRetention:       DefaultStagingRetention,
		RecordLimit:            DefaultRecordLimit,
	}
}

// work returns the duration of work that takes d at speed 1.
func (c *Config) work(d time.Duration) time.Duration {
	if c.Speed <= 0 || c.Speed == 1 {
		return d
	}
	return time.Duration(float64(d) / c.Speed)
}

// chunkTokens returns the prefill budget of an iteration in a role.
func (c *Config) chunkTokens(role api.EngineRole) int {
	switch role {
	case api.RolePrefill:
		return c.PrefillChunkTokens
	case api.RoleDecode:
		return c.DecodeChunkTokens
	default:
		return c.MixedChunkTokens
	}
}

// TransferTime returns how long the KV cache of so many tokens travels between
// two engines.
func (c *Config) TransferTime(tokens int) time.Duration {
	bytes := float64(tokens) * float64(c.KVBytesPerToken)
	return c.work(time.Duration(bytes / c.KVBytesPerSecond * float64(time.Second)))
}
