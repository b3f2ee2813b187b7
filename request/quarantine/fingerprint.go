// Package quarantine distinguishes requests that cause replica failures from requests that merely
// were in flight at the same replicas. It identifies a request by its content, wherever and
// whenever it is sent, and counts the replica failures that happen while it runs.
//
// Guarantees: a Table is bounded and holds no request bodies, and a request is considered harmful
// only for replica failures for which no other request is the likelier cause (Table.explains).
//
// A failure known to a Table may come from an Evidence observed by a proxy, which is then reported
// to other tables, or from a Record that was persisted. Times are durations since an origin that
// the caller chooses, the same for all calls on one Table.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// RequestIdentity holds the properties that two requests share if they are the same, whatever their
// IDs.
type RequestIdentity struct {
	Method string
	Host   string
	Path   string // not decoded, without the query
	Query  string // only for requests without a body; ignored for others
	Caller string // what identifies the caller, such as a tenant or header fields; empty if unknown
	Body   []byte
}

// Fingerprint is the truncated SHA-256 hash of a RequestIdentity. The hash is cryptographic, so
// that a caller cannot craft a request with the fingerprint of another caller's request.
type Fingerprint [fingerprintBytes]byte

// fingerprintBytes is how much of a SHA-256 hash is kept. With 128 bits collisions are negligible.
const fingerprintBytes = 16

// FingerprintOf returns the fingerprint of an identity.
func FingerprintOf(identity RequestIdentity) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{identity.Method, identity.Host, identity.Path, identity.Query, identity.Caller} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(identity.Body)
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String. It returns false if the text is not the hex form of
// fingerprintBytes bytes.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var fingerprint Fingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return Fingerprint{}, false
	}
	copy(fingerprint[:], decoded)
	return fingerprint, true
}
