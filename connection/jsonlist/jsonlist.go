// Package jsonlist decodes JSON lists that another process sends. A limit on the bytes of a message does not
// bound the memory that it takes: an entry of two bytes can take a hundred once it is decoded.
package jsonlist

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Errors of Decode. A list that is not valid JSON gives an error of encoding/json.
var (
	// ErrTooLong means that the list has more entries than the limit.
	ErrTooLong = errors.New("jsonlist: too many entries")
	// ErrNoList means that the value is not a list.
	ErrNoList = errors.New("jsonlist: not a list")
)

// Decode returns the entries of a list. It returns nil for null, which stands for no list.
func Decode[Entry any](list []byte, limit int) ([]Entry, error) {
	if string(list) == "null" {
		return nil, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(list))
	opening, err := decoder.Token()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if opening != json.Delim('[') {
		return nil, ErrNoList
	}
	entries := []Entry{}
	for decoder.More() {
		if len(entries) == limit {
			return nil, ErrTooLong
		}
		var entry Entry
		if err := decoder.Decode(&entry); err != nil {
			return nil, errors.WithStack(err)
		}
		entries = append(entries, entry)
	}
	if _, err := decoder.Token(); err != nil { // the closing bracket
		return nil, errors.WithStack(err)
	}
	return entries, nil
}
