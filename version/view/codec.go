package view

import (
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/binenc"
)

// minimumObjectBytes and minimumKeyBytes are the smallest encodings of an object and of a
// key. The decoder rejects counts that the remaining bytes cannot hold.
const (
	minimumObjectBytes = 4
	minimumKeyBytes    = 2
)

// AppendBinary appends the encoding of the delta to b. Each object must have a kind.
// The error is always nil; it is part of the interface encoding.BinaryAppender.
func (d Delta) AppendBinary(b []byte) ([]byte, error) {
	b = appendVersion(b, d.From)
	b = appendVersion(b, d.To)
	b = binenc.AppendBool(b, d.Full)
	b = binenc.AppendUint(b, uint64(len(d.Objects)))
	for _, o := range d.Objects {
		b = binenc.AppendObject(b, o)
	}
	b = binenc.AppendUint(b, uint64(len(d.Removed)))
	for _, key := range d.Removed {
		b = binenc.AppendKey(b, key)
	}
	return b, nil
}

// DecodeDelta decodes a delta that AppendBinary encoded. The error is one of package
// binenc, not wrapped; the result shares no memory with b.
func DecodeDelta(b []byte) (Delta, error) {
	r := binenc.NewReader(b)
	d := Delta{From: readVersion(r), To: readVersion(r), Full: r.Bool()}
	objects := r.Count(minimumObjectBytes)
	for i := 0; i < objects && r.Err() == nil; i++ {
		d.Objects = append(d.Objects, r.Object())
	}
	removed := r.Count(minimumKeyBytes)
	for i := 0; i < removed && r.Err() == nil; i++ {
		d.Removed = append(d.Removed, r.Key())
	}
	if err := r.Close(); err != nil {
		return Delta{}, err
	}
	return d, nil
}

func appendVersion(b []byte, v Version) []byte {
	return binenc.AppendUint(binenc.AppendUint(b, v.Term), v.Revision)
}

func readVersion(r *binenc.Reader) Version {
	return Version{Term: r.Uint(), Revision: r.Uint()}
}

// compareKeys orders keys by kind, in alphabetical order, and by name.
func compareKeys(a, b api.Key) int {
	switch {
	case a.Kind < b.Kind, a.Kind == b.Kind && a.Name < b.Name:
		return -1
	case a == b:
		return 0
	}
	return 1
}
