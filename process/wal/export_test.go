package wal

import "encoding/binary"

// AppendRecord appends a record with a valid checksum to a segment's content.
func AppendRecord(content []byte, kind uint8, payload []byte) []byte {
	salt := binary.BigEndian.Uint64(content[8:])
	return appendRecord(content, salt, int64(len(content)), record{kind: recordKind(kind), payload: payload})
}
