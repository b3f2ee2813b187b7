package wal

import (
	"crypto/rand"
	"encoding/binary"
	"hash/crc32"
	"io/fs"
	"path/filepath"

	"github.com/landingtrail/landingtrail/connection/frame"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Identity binds a data directory to one member of one group. The MemberID is
// generated at random when the directory is first used and never changes, so a
// directory that was lost and recreated is a different member.
type Identity struct {
	Group  uint64
	Member raft.MemberID
}

const (
	identityFileName = "identity"
	identityMagic    = 0x4c54_4944_0000_0001 // "LTID", version 1
)

// identityFile is the content of the identity file. hasRecords is set when the first
// record has been written: from then on an empty log is a lost log.
type identityFile struct {
	identity   Identity
	hasRecords bool
}

func encodeIdentity(content identityFile) []byte {
	encoder := frame.NewEncoder(nil)
	encoder.Uint64(identityMagic)
	encoder.Uint64(content.identity.Group)
	encoder.Uint64(uint64(content.identity.Member))
	encoder.Bool(content.hasRecords)
	encoder.Uint32(crc32.Checksum(encoder.Data(), castagnoli))
	return encoder.Data()
}

func decodeIdentity(data []byte) (identityFile, error) {
	decoder := frame.NewDecoder(data)
	magic := decoder.Uint64()
	content := identityFile{
		identity:   Identity{Group: decoder.Uint64(), Member: raft.MemberID(decoder.Uint64())},
		hasRecords: decoder.Bool(),
	}
	sum := decoder.Uint32()
	if err := decoder.Finish(); err != nil {
		return identityFile{}, errors.Wrapf(ErrCorrupt, "identity file: %v", err)
	}
	if magic != identityMagic || sum != crc32.Checksum(data[:len(data)-4], castagnoli) {
		return identityFile{}, errors.Wrap(ErrCorrupt, "identity file: wrong magic number, version or checksum")
	}
	return content, nil
}

// readIdentity returns false if the directory has no identity yet.
func readIdentity(fileSystem FileSystem, dir string) (identityFile, bool, error) {
	data, err := fileSystem.ReadFile(filepath.Join(dir, identityFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return identityFile{}, false, nil
	}
	if err != nil {
		return identityFile{}, false, err
	}
	content, err := decodeIdentity(data)
	return content, err == nil, err
}

func writeIdentity(fileSystem FileSystem, dir string, content identityFile) error {
	return WriteFile(fileSystem, filepath.Join(dir, identityFileName), encodeIdentity(content))
}

// newMemberID generates a random MemberID. Two of them collide with a probability
// of 2^-64.
func newMemberID() raft.MemberID {
	for {
		var data [8]byte
		rand.Read(data[:]) // never returns an error: crypto/rand crashes the process instead
		if member := raft.MemberID(binary.BigEndian.Uint64(data[:])); member != raft.None {
			return member
		}
	}
}
