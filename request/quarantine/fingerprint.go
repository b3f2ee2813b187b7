// Package quarantine tells requests that cause replica failures from requests that merely were in
// flight at the same replicas. It identifies a request by its content, wherever and whenever it is
// sent, and counts the replica failures that happen while it runs.
//
// Guarantees: the stored state is bounded and holds no request bodies, and a request is considered
// harmful only for replica failures that no other request explains better.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Identity holds the properties that two requests share if they are the same, whatever their IDs.
type Identity struct {
	Method string
	Host   string
	Path   string // not decoded, without the query
	Query  string // only for requests without a body; otherwise the body says what is asked
	Caller string // the header fields that identify the caller; empty if there are none
	Body   []byte
}

// Fingerprint identifies an Identity. It is a cryptographic hash, so that a caller cannot craft a
// request that is taken for another caller's.
type Fingerprint [fingerprintBytes]byte

// fingerprintBytes is how much of a SHA-256 hash is kept, enough to rule out collisions.
const fingerprintBytes = 16

// Of returns the fingerprint of an identity.
func Of(identity Identity) Fingerprint {
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

// Parse parses the output of String. It returns false if the text is not a fingerprint in hex.
func Parse(text string) (Fingerprint, bool) {
	var fingerprint Fingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return Fingerprint{}, false
	}
	copy(fingerprint[:], decoded)
	return fingerprint, true
}
