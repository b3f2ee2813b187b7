// Package ledger records what a stand-in ran and was told, so that an oracle can
// compare it with what callers were told.
package ledger

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/version/api"
)

// DefaultLimit bounds the entries of a ledger.
const DefaultLimit = 200_000

// HeaderIdempotency carries the proxy's hash of tenant and key, so that runs can
// be counted by key.
const HeaderIdempotency = "Engine-Idempotency"

// Event says what an Entry records.
type Event string

// Events of a ledger. A run has one EventStarted and at most one of the ends:
// finished, exported, cancelled, crashed or cut short.
const (
	EventStarted   Event = "started" // admitted
	EventFinished  Event = "finished"
	EventExported  Event = "exported"
	EventCancelled Event = "cancelled" // by its caller or for lack of a reader
	EventCrashed   Event = "crashed"   // lost in a crash
	EventCutShort  Event = "cut_short" // ended by a planned stop: a violation
	EventRefused   Event = "refused"   // surely not run
	EventOrder     Event = "order"
	EventVoid      Event = "void"
	EventPhase     Event = "phase"
)

// Entry is one line of a ledger.
type Entry struct {
	Sequence    uint64    `json:"sequence"`
	At          time.Time `json:"at"`
	Event       Event     `json:"event"`
	Incarnation uint64    `json:"incarnation,string"`
	RequestID   string    `json:"requestId,omitempty"`
	Attempt     uint32    `json:"attempt,omitempty"`
	Key         string    `json:"key,omitempty"` // HeaderIdempotency
	PromptHash  uint64    `json:"promptHash,string,omitempty"`
	Tokens      int       `json:"tokens,omitempty"`
	// Reason is a refusal, the reason of a cancel, an order's code or a phase.
	Reason     string          `json:"reason,omitempty"`
	Fence      *api.Fence      `json:"fence,omitempty"`
	Assignment *api.Assignment `json:"assignment,omitempty"`
}

// Page is the answer of a ledger's HTTP path.
type Page struct {
	Name    string  `json:"name"`
	Entries []Entry `json:"entries"`
	// Dropped counts entries that came after the ledger was full: a ledger
	// that dropped any proves nothing.
	Dropped uint64 `json:"dropped"`
}

// Ledger is an append-only, bounded list; it is safe for concurrent use.
type Ledger struct {
	name  string
	limit int

	mu      sync.Mutex
	entries []Entry
	dropped uint64
	file    *os.File
	failed  error
}

// New returns an empty ledger in memory.
func New(name string, limit int) *Ledger { return &Ledger{name: name, limit: limit} }

// Open returns a ledger that also writes each entry to a file before Add
// returns, and starts with the entries that the file holds. The file outlives a
// kill of the process, not of the machine.
func Open(name string, limit int, path string) (*Ledger, error) {
	ledger := New(name, limit)
	if path == "" {
		return ledger, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open ledger")
	}
	if err := ledger.read(file); err != nil {
		_ = file.Close() // nothing was written
		return nil, err
	}
	ledger.file = file
	return ledger, nil
}

func (l *Ledger) read(file *os.File) error {
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var entry Entry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return errors.Wrapf(err, "ledger line %d", len(l.entries)+1)
		}
		l.entries = append(l.entries, entry)
	}
	return errors.Wrap(lines.Err(), "read ledger")
}

// Add appends an entry and numbers it.
func (l *Ledger) Add(entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.limit {
		l.dropped++
		return
	}
	entry.Sequence = uint64(len(l.entries)) + 1
	entry.At = time.Now()
	l.entries = append(l.entries, entry)
	l.write(entry)
}

func (l *Ledger) write(entry Entry) {
	if l.file == nil || l.failed != nil {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = l.file.Write(append(line, '\n'))
	}
	l.failed = errors.Wrap(err, "write ledger")
}

// After returns the entries with a sequence number above after.
func (l *Ledger) After(after uint64) Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := min(after, uint64(len(l.entries)))
	entries := append([]Entry{}, l.entries[first:]...)
	return Page{Name: l.name, Entries: entries, Dropped: l.dropped}
}

// Close closes the file and returns the first failure to write it.
func (l *Ledger) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if l.failed != nil {
		return l.failed
	}
	return errors.Wrap(err, "close ledger")
}
