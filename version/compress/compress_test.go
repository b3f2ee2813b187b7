package compress

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestUnpackReturnsWhatWasPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		unpacked, err := Unpack(Pack(data), len(data))
		must.NoError(t, err)
		must.True(t, bytes.Equal(data, unpacked))
	})
}

func TestPackCompressesText(t *testing.T) {
	text := []byte(strings.Repeat(`{"name":"r-1","hostname":"a.example"},`, 200))
	must.Less(t, len(text)/10, len(Pack(text)))
}

func TestUnpackEnforcesLimit(t *testing.T) {
	packed := Pack(make([]byte, 1<<20))
	_, err := Unpack(packed, 1<<10)
	must.ErrorIs(t, err, ErrTooLarge)
}

func TestUnpackRejectsInvalidInput(t *testing.T) {
	_, err := Unpack([]byte("no packed bytes"), 1<<10)
	must.Error(t, err)
	packed := Pack([]byte("whole"))
	_, err = Unpack(packed[:len(packed)-3], 1<<10)
	must.Error(t, err)
}
