package placement

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCache(&replica{}, newIndex())
	a, b, d := Part{"a", 40}, Part{"b", 40}, Part{"d", 40}
	c.use([]Part{a, b}, 100)
	c.use([]Part{a}, 100)
	c.use([]Part{d}, 100)
	must.Eq(t, 40, c.leadingTokens([]Part{a, b}))
	must.Eq(t, 0, c.leadingTokens([]Part{b, a}))
	must.Eq(t, 80, c.leadingTokens([]Part{a, d}))
}

func TestCacheCountsItsTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCache(&replica{}, newIndex())
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			part := Part{ID: rapid.StringMatching("[a-e]").Draw(t, "id"), Tokens: 30}
			if rapid.Bool().Draw(t, "drop") {
				c.drop([]Part{part})
			} else {
				c.use([]Part{part}, 100)
			}
			must.Eq(t, len(c.parts), c.lru.Len())
			must.Eq(t, int64(30*len(c.parts)), c.tokens)
			must.LessEq(t, int64(100), c.tokens)
		}
	})
}
