package ledger

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestLedgerIsBoundedAndSaysSo(t *testing.T) {
	ledger := New("e", 2)
	for range 5 {
		ledger.Add(Entry{Event: EventStarted})
	}
	page := ledger.After(1)
	must.Len(t, 1, page.Entries)
	must.Eq(t, 2, page.Entries[0].Sequence)
	must.Eq(t, 3, page.Dropped)
	must.SliceEmpty(t, ledger.After(99).Entries)
}

func TestFileOutlivesTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	first, err := Open("e", 10, path)
	must.NoError(t, err)
	first.Add(Entry{Event: EventStarted, RequestID: "r", Key: "k"})
	// No Close: a kill leaves none.
	second, err := Open("e", 10, path)
	must.NoError(t, err)
	second.Add(Entry{Event: EventFinished, RequestID: "r"})
	must.NoError(t, second.Close())
	must.NoError(t, second.Close())
	third, err := Open("e", 10, path)
	must.NoError(t, err)
	entries := third.After(0).Entries
	must.Len(t, 2, entries)
	must.Eq(t, "k", entries[0].Key)
	must.Eq(t, 2, entries[1].Sequence)
	must.NoError(t, third.Close())
	must.NoError(t, first.Close())
}

func TestDamagedFileIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	must.NoError(t, os.WriteFile(path, []byte("{}\n{"), 0o600))
	_, err := Open("e", 10, path)
	must.ErrorContains(t, err, "line 2")
}

func TestWriteFailureShowsOnClose(t *testing.T) {
	ledger, err := Open("e", 10, filepath.Join(t.TempDir(), "ledger"))
	must.NoError(t, err)
	must.NoError(t, ledger.file.Close())
	ledger.Add(Entry{Event: EventStarted})
	must.Error(t, ledger.Close())
}
