package responsecheck

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is wrapped by all errors of Head. Whether the server has executed the request is unknown then.
var ErrInvalid = errors.New("invalid response")

// Errors of Head.
var (
	errVersion  = errors.WithMessage(ErrInvalid, "responsecheck: not HTTP/1")
	errStatus   = errors.WithMessage(ErrInvalid, "responsecheck: undefined or unexpected status")
	errField    = errors.WithMessage(ErrInvalid, "responsecheck: header field name is not a token")
	errEncoding = errors.WithMessage(ErrInvalid, "responsecheck: content encoding that the request does not accept")
)

// The statuses of responses (RFC 9110, 15) without the interim ones.
const (
	minInterimStatus = 100
	minStatus        = 200
	maxStatus        = 599
)

// IsInterim reports whether a response with the status precedes another response to the same request.
// Switching Protocols is the last response in HTTP.
func IsInterim(status int) bool {
	return status >= minInterimStatus && status < minStatus && status != http.StatusSwitchingProtocols
}

// Head returns an error that wraps ErrInvalid if the head is not that of a response to a request with the
// given header, as far as its version, status, field names (RFC 9112, 5.1) and content encoding show. No
// request here asks for another protocol, so Switching Protocols is not expected.
func Head(response *http.Response, request http.Header) error {
	if response.ProtoMajor != 1 {
		return errors.WithMessage(errVersion, response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.WithMessage(errStatus, strconv.Itoa(response.StatusCode))
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.WithMessage(errField, strconv.Quote(name))
		}
	}
	for _, codings := range response.Header["Content-Encoding"] {
		for coding := range strings.SplitSeq(codings, ",") {
			if !acceptsCoding(request["Accept-Encoding"], strings.TrimSpace(coding)) {
				return errors.WithMessage(errEncoding, strconv.Quote(codings))
			}
		}
	}
	return nil
}

// anyCoding stands for all codings that Accept-Encoding does not name.
const anyCoding = "*"

// acceptsCoding reports whether the values of Accept-Encoding ask for the coding. Without any they ask for
// none: a caller that says nothing gets the body as it is.
func acceptsCoding(accepted []string, coding string) bool {
	acceptsOthers := false
	for _, elements := range accepted {
		for element := range strings.SplitSeq(elements, ",") {
			name, parameters, _ := strings.Cut(element, ";")
			switch name = strings.TrimSpace(name); {
			case strings.EqualFold(name, coding) && coding != "":
				return !hasWeightZero(parameters)
			case name == anyCoding:
				acceptsOthers = !hasWeightZero(parameters)
			}
		}
	}
	return acceptsOthers && coding != ""
}

// hasWeightZero reports whether the parameters of an element rule it out, as in "q=0".
func hasWeightZero(parameters string) bool {
	text, found := strings.CutPrefix(strings.ToLower(strings.TrimSpace(parameters)), "q=")
	if !found {
		return false
	}
	weight, err := strconv.ParseFloat(text, 64)
	return err == nil && weight == 0
}
