// Package frame is the framing of all internal protocols over TCP: a preface
// that names the protocol and its version, then frames of a kind and a payload,
// each under a checksum. It also has the encoder and decoder of fixed-width
// fields that the payloads are built from.
//
// A reader never reserves more memory than the sender has delivered bytes for
// (within a constant factor), so a hostile length costs nothing.
package frame

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// Errors of the framing. After any of them the connection is of no further use.
var (
	// ErrForeignProtocol says that the first bytes are not this protocol's preface.
	ErrForeignProtocol = errors.New("frame: foreign protocol")
	// ErrVersion says that the other side speaks another version of the protocol.
	ErrVersion = errors.New("frame: unsupported protocol version")
	// ErrTooLarge says that a frame is larger than the reader or writer allows.
	ErrTooLarge = errors.New("frame: frame too large")
	// ErrChecksum says that a frame's bytes do not match its checksum.
	ErrChecksum = errors.New("frame: checksum mismatch")
	// ErrTruncated says that the stream ended inside a preface, a frame or a field.
	ErrTruncated = errors.New("frame: truncated")
)

// Protocol names one internal protocol and its version.
type Protocol struct {
	ID      uint16
	Version uint16
}

// Kind tells what a frame's payload holds. Its meaning belongs to the protocol.
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
	// growStep is how many bytes of a payload are reserved before any arrived.
	growStep = 4 << 10
)

// magic opens every preface. Its first byte is not ASCII, so text protocols
// differ from it at once.
var magic = [4]byte{0xf7, 'L', 'T', 0x0a}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendPreface appends the protocol's preface to buffer.
func appendPreface(buffer []byte, protocol Protocol) []byte {
	buffer = append(buffer, magic[:]...)
	buffer = binary.BigEndian.AppendUint16(buffer, protocol.ID)
	return binary.BigEndian.AppendUint16(buffer, protocol.Version)
}

// header is the fixed part in front of each payload.
type header struct {
	length   uint32
	kind     Kind
	checksum uint32
}

// checksum covers the length, the kind and the payload.
func checksum(length uint32, kind Kind, payload []byte) uint32 {
	var fixed [6]byte
	binary.BigEndian.PutUint32(fixed[0:], length)
	binary.BigEndian.PutUint16(fixed[4:], uint16(kind))
	sum := crc32.Update(0, castagnoli, fixed[:])
	return crc32.Update(sum, castagnoli, payload)
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
