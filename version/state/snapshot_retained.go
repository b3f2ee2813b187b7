package state

import (
	"github.com/landingtrail/landingtrail/version/binenc"
)

// appendExpiring appends the queue of m with the entry that each queued key refers to.
// A stale key is encoded without key and entry, but not left out: expire removes a
// bounded number of queued keys per command, stale ones included, and a restored
// machine must remove each entry at the same command as the other members.
func appendExpiring[K comparable, V any](b []byte, m *expiringMap[K, V], appendEntry func([]byte, K, *entry[V]) []byte) []byte {
	b = binenc.AppendUint(b, uint64(len(m.queue)))
	for _, ref := range m.queue {
		e := m.lookup(ref)
		b = binenc.AppendBool(b, e != nil)
		if e == nil {
			continue
		}
		b = binenc.AppendUint(b, e.revision)
		b = binenc.AppendInt(b, e.expires)
		b = appendEntry(b, ref.key, e)
	}
	return b
}

// readExpiring reads what appendExpiring wrote into m, which must be empty.
func readExpiring[K comparable, V any](r *binenc.Reader, m *expiringMap[K, V], readEntry func(*binenc.Reader) (K, V)) {
	n := r.Count(1)
	for i := 0; i < n && r.Err() == nil; i++ {
		if !r.Bool() {
			m.queue = append(m.queue, queuedKey[K]{})
			continue
		}
		e := &entry[V]{revision: r.Uint(), expires: r.Int()}
		key, value := readEntry(r)
		if e.revision == 0 || m.shard(key).items[key] != nil {
			r.Fail(binenc.ErrMalformed)
			return
		}
		e.value = value
		m.add(key, e)
	}
}

func appendOperation(b []byte, id string, e *entry[*operation]) []byte {
	b = binenc.AppendString(b, id)
	b = binenc.AppendFixed(b, e.value.bodyHash)
	return appendResult(b, &e.value.result)
}

func readOperation(r *binenc.Reader) (string, *operation) {
	id := r.String()
	return id, &operation{bodyHash: r.Fixed(), result: readResult(r)}
}

func appendClaim(b []byte, _ claimKey, e *entry[*claimRecord]) []byte {
	return appendClaimRecord(b, e.value)
}

func readClaim(r *binenc.Reader) (claimKey, *claimRecord) {
	record := readClaimRecord(r)
	return claimKey{tenant: record.Tenant, key: record.Key}, record
}
