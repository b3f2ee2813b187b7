package wal_test

import (
	"path/filepath"
	"testing"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/process/wal/faultfs"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// Sizes in bytes of a segment's preamble and of a record header.
const (
	preambleSize     = 16
	recordHeaderSize = 9
)

// recordPayloads returns the payloads of a segment's records.
func recordPayloads(content []byte) [][]byte {
	var all [][]byte
	for rest := content[preambleSize:]; len(rest) > 0; {
		length := int(rest[2])<<8 | int(rest[3])
		all = append(all, rest[recordHeaderSize:recordHeaderSize+length])
		rest = rest[recordHeaderSize+length:]
	}
	return all
}

// FuzzOpen opens a log that ends in a record with arbitrary content and a valid
// checksum, followed by arbitrary bytes. Either the log is rejected, or it recovers
// the same state after another restart and accepts writes.
func FuzzOpen(f *testing.F) {
	fileSystem := faultfs.New(1)
	log, _ := open(f, fileSystem)
	saveEntries(f, log, 2)
	must.NoError(f, log.BeginInstall(1, 9))
	must.NoError(f, log.Reset(1, 9))
	must.NoError(f, log.Close())
	whole, err := fileSystem.ReadFile(segmentPath(1))
	must.NoError(f, err)
	for _, payload := range recordPayloads(whole) {
		for kind := range uint8(7) {
			f.Add(kind, payload, []byte{})
		}
	}
	f.Add(uint8(2), []byte{1, 2, 3}, []byte{0, 0, 0, 1, 2})
	f.Fuzz(func(t *testing.T, kind uint8, payload, tail []byte) {
		fileSystem := faultfs.New(1)
		log, _ := open(t, fileSystem)
		saveEntries(t, log, 3)
		must.NoError(t, log.Close())
		fileSystem.Edit(segmentPath(1), func(content []byte) []byte {
			return append(wal.AppendRecord(content, kind, payload), tail...)
		})
		log, recovered, err := tryOpen(fileSystem)
		if err != nil {
			must.True(t, errors.Is(err, wal.ErrCorrupt) || errors.Is(err, wal.ErrLostLog), must.Sprint(err))
			return
		}
		must.NoError(t, log.Close())
		log, again := open(t, fileSystem)
		recovered.TornBytes = 0
		must.Eq(t, recovered, again)
		if recovered.LastIndex+1 == 0 {
			return // the index is exhausted; no entry can follow
		}
		next := raft.Entry{Term: again.LastTerm, Index: again.LastIndex + 1}
		must.NoError(t, log.Save(nil, []raft.Entry{next}))
	})
}

// FuzzIdentity opens a directory whose identity file and segment file have
// arbitrary content.
func FuzzIdentity(f *testing.F) {
	fileSystem := faultfs.New(1)
	log, _ := open(f, fileSystem)
	saveEntries(f, log, 1)
	must.NoError(f, log.Close())
	identity, err := fileSystem.ReadFile(filepath.Join(testDir, "identity"))
	must.NoError(f, err)
	segment, err := fileSystem.ReadFile(segmentPath(1))
	must.NoError(f, err)
	f.Add(identity, segment)
	f.Add(identity, segment[:preambleSize])
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, identity, segment []byte) {
		fileSystem := faultfs.New(1)
		log, _ := open(t, fileSystem)
		saveEntries(t, log, 1)
		must.NoError(t, log.Close())
		fileSystem.Edit(filepath.Join(testDir, "identity"), func([]byte) []byte { return identity })
		fileSystem.Edit(segmentPath(1), func([]byte) []byte { return segment })
		if _, _, err := tryOpen(fileSystem); err != nil {
			must.True(t, errors.Is(err, wal.ErrCorrupt) || errors.Is(err, wal.ErrLostLog) ||
				errors.Is(err, wal.ErrWrongGroup), must.Sprint(err))
		}
	})
}
