package operator

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
)

// failures records the last failure of each member, so that the error of a failed call
// names all of them. With the last failure alone, an unreachable member would hide that
// another member reported no quorum.
type failures struct {
	addresses  []string // addresses in the order of their first failure
	lastErrors map[string]string
}

// add records the failure of one attempt. A failure caused by the end of the call (aborted)
// or by the circuit breaker does not replace an earlier one of the same member, which
// is more specific.
func (f *failures) add(address string, err error, aborted bool) {
	if f.lastErrors == nil {
		f.lastErrors = map[string]string{}
	}
	_, known := f.lastErrors[address]
	if known && (aborted || errors.Is(err, breaker.ErrServiceUnavailable)) {
		return
	}
	if !known {
		f.addresses = append(f.addresses, address)
	}
	f.lastErrors[address] = failureText(address, err)
}

// failureText returns the text of a failure, with the member's address in place of the
// request URL.
func failureText(address string, err error) string {
	var failed *url.Error
	if errors.As(err, &failed) {
		return address + ": " + failed.Err.Error()
	}
	return err.Error()
}

// String lists every member with its last failure.
func (f *failures) String() string {
	var texts []string
	for _, address := range f.addresses {
		texts = append(texts, f.lastErrors[address])
	}
	return strings.Join(texts, "; ")
}
