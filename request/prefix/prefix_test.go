package prefix

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/connection/engineapi"
)

func words(count int) []string {
	return strings.Fields(strings.Repeat("storm ", count))
}

func TestBlocks(t *testing.T) {
	cases := []struct {
		name  string
		words int
		want  int
	}{
		{"no word", 0, 0},
		{"less than a block", BlockWords - 1, 0},
		{"one block", BlockWords, 1},
		{"a block and a part", BlockWords + 1, 1},
		{"three blocks", 3 * BlockWords, 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			must.Len(t, test.want, Blocks("llm", words(test.words)))
		})
	}
}

func TestBlocksChain(t *testing.T) {
	long := words(3 * BlockWords)
	must.Eq(t, Blocks("llm", long)[:2], Blocks("llm", long[:2*BlockWords]))
	// The same words at another place are another block.
	must.NotEq(t, Blocks("llm", long)[0], Blocks("llm", long)[1])
	must.NotEq(t, Blocks("llm", long)[0], Blocks("llm:adapter", long)[0])
	changed := words(3 * BlockWords)
	changed[0] = "calm"
	must.NotEq(t, Blocks("llm", long)[2], Blocks("llm", changed)[2])
}

func TestText(t *testing.T) {
	must.Eq(t, "one  two", Text(&engineapi.CompletionRequest{Prompt: "one  two"}))
	chat := &engineapi.CompletionRequest{
		Messages: []engineapi.Message{{Role: "system", Content: "three\nfour"}, {Role: "user", Content: "five"}},
	}
	must.Eq(t, []string{"three", "four", "five"}, Words(Text(chat)))
}
