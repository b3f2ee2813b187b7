// Package frame implements the framing of all internal protocols over TCP: a preface
// that identifies the protocol and its version, followed by frames that each carry a
// kind, a payload and a checksum. It also provides the encoder and decoder for the
// fixed-width fields that payloads are built from.
//
// A reader allocates at most a constant factor more memory than the bytes received,
// so a forged length cannot exhaust memory.
package frame

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// Framing errors. The connection is unusable after any of them.
var (
	// ErrWrongProtocol reports that the first bytes are not this protocol's preface.
	ErrWrongProtocol = errors.New("frame: unexpected protocol")
	// ErrVersion reports that the remote end speaks another version of the protocol.
	ErrVersion = errors.New("frame: unsupported protocol version")
	// ErrTooLarge reports a payload larger than the reader's limit, or one whose length does
	// not fit into the header.
	ErrTooLarge = errors.New("frame: frame too large")
	// ErrChecksum reports a frame whose bytes do not match its checksum.
	ErrChecksum = errors.New("frame: checksum mismatch")
	// ErrTruncated reports a stream that ended inside a preface, a frame or a field.
	ErrTruncated = errors.New("frame: truncated")
)

// Protocol identifies an internal protocol and its version.
type Protocol struct {
	ID      uint16
	Version uint16
}

// Kind identifies the type of a frame's payload. Each protocol defines its own kinds.
type Kind uint16

// Frame is one message of a stream.
type Frame struct {
	Kind    Kind
	Payload []byte
}

const (
	// PrefaceSize is the length of the preface in bytes: magic, protocol, version.
	PrefaceSize = 8
	// HeaderSize is the length of a frame's header in bytes: length, kind, checksum.
	HeaderSize = 10
	// initialPayloadBytes is the number of bytes allocated for a payload before any have arrived.
	initialPayloadBytes = 4 << 10
)

// magic starts every preface. Its first byte is not ASCII, so a text protocol is
// detected at its first byte.
var magic = [4]byte{0xf7, 'L', 'T', 0x0a}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// appendPreface appends the protocol's preface to buffer.
func appendPreface(buffer []byte, protocol Protocol) []byte {
	buffer = append(buffer, magic[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, protocol.ID)
	return binary.BigEndian.AppendUint16(buffer, protocol.Version)
}

// header is the fixed-size header of a frame.
type header struct {
	length   uint32
	kind     Kind
	checksum uint32
}

// checksum computes the CRC-32C of the length, the kind and the payload.
func checksum(length uint32, kind Kind, payload []byte) uint32 {
	var fixed [6]byte
	binary.BigEndian.PutUint32(fixed[0:], length)
	binary.BigEndian.PutUint16(fixed[4:], uint16(kind))
	sum := crc32.Update(0, castagnoliTable, fixed[:])
	return crc32.Update(sum, castagnoliTable, payload)
}

func putHeader(buffer []byte, h header) {
	binary.BigEndian.PutUint32(buffer[0:], h.length)
	binary.BigEndian.PutUint16(buffer[4:], uint16(h.kind))
	binary.BigEndian.PutUint32(buffer[6:], h.checksum)
}

func parseHeader(buffer []byte) header {
	return header{
		length:   binary.BigEndian.Uint32(buffer[0:]),
		kind:     Kind(binary.BigEndian.Uint16(buffer[4:])),
		checksum: binary.BigEndian.Uint32(buffer[6:]),
	}
}
