package router

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestAnswerLengths(t *testing.T) {
	lengths := NewAnswerLengths()
	must.Eq(t, initialAnswerTokens, lengths.Expect("caption", 4096)) // no answer learned
	must.Eq(t, 8, lengths.Expect("caption", 8))
	for range 200 {
		lengths.Learn("caption", 40)
		lengths.Learn("summary", 700)
	}
	must.Eq(t, 40, lengths.Expect("caption", 4096))
	must.Eq(t, 700, lengths.Expect("summary", 4096))
	must.Eq(t, 16, lengths.Expect("summary", 16)) // the caller allows less
	for range 200 {
		lengths.Learn("caption", 80)
	}
	must.Between(t, 78, lengths.Expect("caption", 4096), 80) // follows the change
}

func TestAnswerLengthsAreBounded(t *testing.T) {
	lengths := NewAnswerLengths()
	for i := range 2 * maxAnswerClasses {
		lengths.Learn(string(rune(i)), 1)
	}
	must.MapLen(t, maxAnswerClasses, lengths.means)
}
