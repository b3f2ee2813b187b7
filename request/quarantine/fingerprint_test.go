package quarantine

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFingerprintTellsRequestsApart(t *testing.T) {
	asked := RequestIdentity{Method: "POST", Host: "h", Path: "/a/", Caller: "c", Body: []byte("body")}
	must.Eq(t, FingerprintOf(asked), FingerprintOf(asked))
	others := map[string]RequestIdentity{
		"method": {Method: "PUT", Host: "h", Path: "/a/", Caller: "c", Body: []byte("body")},
		"host":   {Method: "POST", Host: "i", Path: "/a/", Caller: "c", Body: []byte("body")},
		"path":   {Method: "POST", Host: "h", Path: "/b/", Caller: "c", Body: []byte("body")},
		"query":  {Method: "POST", Host: "h", Path: "/a/", Query: "q", Caller: "c", Body: []byte("body")},
		"caller": {Method: "POST", Host: "h", Path: "/a/", Caller: "d", Body: []byte("body")},
		"body":   {Method: "POST", Host: "h", Path: "/a/", Caller: "c", Body: []byte("bodies")},
		"border": {Method: "POST", Host: "h", Path: "/a/c", Body: []byte("body")},
	}
	for name, other := range others {
		must.NotEq(t, FingerprintOf(asked), FingerprintOf(other), must.Sprint(name))
	}
}

func TestFingerprintIsReadBack(t *testing.T) {
	made := FingerprintOf(RequestIdentity{Path: "/a/"})
	read, ok := ParseFingerprint(made.String())
	must.True(t, ok)
	must.Eq(t, made, read)
	for _, text := range []string{"", "zz", made.String()[2:], made.String() + "00"} {
		_, ok := ParseFingerprint(text)
		must.False(t, ok, must.Sprint(text))
	}
}
