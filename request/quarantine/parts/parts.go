// Package parts finds the prompt parts that crash replicas. A part is harmful if each replica crashes
// that begins to answer a request with it, whatever else the request contains.
//
// Each crash makes suspects of the shared parts of all requests that the replica had not begun to
// answer. A part is cleared of a crash if the same process had begun to answer another request with
// it, or if any replica begins to do so later. Parts of sound requests are cleared within moments, a
// harmful one never is; the part that stands in the most crashes of which it was not cleared is
// found harmful.
//
// Guarantees: a Table is bounded; what one caller reports about a part leads to a verdict on the
// requests of other callers only if the crashes of several callers support it; reading a prompt, an
// answer that began before a crash, and an answer whose end proves nothing clear no part.
//
// Times are durations since an origin that the caller chooses, the same for all calls on one Table.
package parts

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/request/quarantine"
)

// Key identifies a prompt part or a caller. The hash is cryptographic, so that a caller cannot name
// a part that has the key of another part.
type Key = quarantine.Fingerprint

// hashDomain precedes the hashed fields, so that no part has the fingerprint of a request.
const hashDomain = "prompt part"

// KeyOf returns the key of the part with the given ID, which is compared without regard to case, in
// the prompts of one model of a service.
func KeyOf(service, model, id string) Key {
	return hashFields(hashDomain, service, model, strings.ToLower(id))
}

// CallerKey returns the key of a caller. It is the zero Key if callers are not distinguished.
func CallerKey(caller string) Key {
	if strings.TrimSpace(caller) == "" {
		return Key{}
	}
	return hashFields("caller", caller)
}

func hashFields(fields ...string) (key Key) {
	hash := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write([]byte(field))
	}
	copy(key[:], hash.Sum(nil))
	return key
}

// MaxPartsPerRun limits the parts of one run that are reported; later ones are left out.
const MaxPartsPerRun = 128

// Run identifies what a run contains.
type Run struct {
	// Service is empty in a Start that sums up several runs.
	Service string
	// Caller is the caller of the request, as returned by CallerKey.
	Caller Key
	// Parts are the shared parts of the prompt: all but the last, which belongs to the request alone.
	Parts []Key
}

// Crash is the observation of a run that was in progress when its replica crashed.
type Crash struct {
	Run
	// Request is the fingerprint of the request.
	Request quarantine.Fingerprint
	Replica string // the process name
	// UniqueName is true if the process name identifies a single process, which crashes only once.
	UniqueName bool
	// Begun is true if the run had produced more output than a run does that crashes its replica.
	Begun bool
	// MayBeAlive is true if the replica's address still accepted connections right afterwards, or was
	// not probed. The replica may then have closed the connection for another reason.
	MayBeAlive bool
	// RunTime is the time from the send to the crash, Age the time since the crash.
	RunTime time.Duration
	Age     time.Duration
}

// Start is the observation of a run that produced output without crashing its replica.
type Start struct {
	Run
	Age time.Duration // since its first output
}

// Report contains observations of one proxy.
type Report struct {
	Crashes []Crash
	Starts  []Start
}

// IsEmpty reports whether the report contains no observation.
func (r *Report) IsEmpty() bool { return len(r.Crashes)+len(r.Starts) == 0 }

// TrialClaim asks for the trial of a part in one turn, or returns it.
type TrialClaim struct {
	Part Key
	// TurnEnd is the end of the turn in Unix milliseconds, as on record.
	TurnEnd int64
	// Proxy is the name of the proxy that has a request to try the part.
	Proxy string
}
