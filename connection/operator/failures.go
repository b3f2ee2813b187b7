package operator

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
)

// failures keeps the last failure of each member, so that the end of a call in
// vain names all of them: one that cannot be reached must not hide another's
// word that there is no quorum.
type failures struct {
	order []string // addresses, as they first failed
	texts map[string]string
}

// add keeps the failure of one attempt. One that was cut by the end of the call,
// or refused by the breaker, says less than an earlier one of the member.
func (f *failures) add(address string, err error, cut bool) {
	if f.texts == nil {
		f.texts = map[string]string{}
	}
	_, known := f.texts[address]
	if known && (cut || errors.Is(err, breaker.ErrServiceUnavailable)) {
		return
	}
	if !known {
		f.order = append(f.order, address)
	}
	f.texts[address] = failureText(address, err)
}

// failureText words an attempt's failure without the request's URL, which is
// the member's address again.
func failureText(address string, err error) string {
	var failed *url.Error
	if errors.As(err, &failed) {
		return address + ": " + failed.Err.Error()
	}
	return err.Error()
}

// String names every member with its last failure.
func (f *failures) String() string {
	var texts []string
	for _, address := range f.order {
		texts = append(texts, f.texts[address])
	}
	return strings.Join(texts, "; ")
}
