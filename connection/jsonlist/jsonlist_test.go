package jsonlist

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestDecode(t *testing.T) {
	type entry struct {
		ID int `json:"id"`
	}
	entries, err := Decode[entry]([]byte(` [ {"id":1}, {}, {"id":3,"more":[1,2]} ] `), 3)
	must.NoError(t, err)
	must.Eq(t, []entry{{1}, {0}, {3}}, entries)
	entries, err = Decode[entry]([]byte(`null`), 3)
	must.NoError(t, err)
	must.True(t, entries == nil)
	entries, err = Decode[entry]([]byte(`[]`), 0)
	must.NoError(t, err)
	must.True(t, entries != nil)
	must.SliceEmpty(t, entries)
	_, err = Decode[entry]([]byte(`[{},{},{},{}]`), 3)
	must.ErrorIs(t, err, ErrTooLong)
	_, err = Decode[entry]([]byte(`{"id":1}`), 3)
	must.ErrorIs(t, err, ErrNoList)
	for _, invalid := range []string{``, `[{"id":"x"}]`, `[{}`, `[{},`} {
		_, err = Decode[entry]([]byte(invalid), 3)
		must.Error(t, err, must.Sprint(invalid))
	}
}
