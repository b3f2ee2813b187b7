// Package labhttp holds what the HTTP servers of the lab's stand-ins share:
// strict JSON bodies, JSON answers and a server that drains before it stops.
//
// The stand-ins play other people's systems, so they are built on net/http and
// share no server code with the product.
package labhttp

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// DefaultBodyLimit bounds request bodies, in bytes.
const DefaultBodyLimit = 4 << 20

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// BodyError is a fault of a request's body.
type BodyError struct {
	Status  int    // the HTTP status that answers it
	Field   string // "" when the body as a whole is at fault
	Message string
}

// Error implements error.
func (e *BodyError) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return "field " + e.Field + ": " + e.Message
}

// FieldError returns the fault of one field.
func FieldError(field, message string) *BodyError {
	return &BodyError{Status: http.StatusBadRequest, Field: field, Message: message}
}

// Fields says what becomes of fields that the target does not have.
type Fields bool

// Treatments of unknown fields.
const (
	IgnoreUnknown Fields = false
	RefuseUnknown Fields = true
)

// Decode reads a JSON body of at most limit bytes into target.
func Decode(w http.ResponseWriter, r *http.Request, limit int64, fields Fields, target any) *BodyError {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	if fields == RefuseUnknown {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(target); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &BodyError{Status: http.StatusBadRequest, Message: "more than one JSON value"}
	}
	return nil
}

func bodyError(err error) *BodyError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &BodyError{Status: http.StatusRequestEntityTooLarge, Message: "body too large"}
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return FieldError(wrongType.Field, "want "+wrongType.Type.String()+", not "+wrongType.Value)
	}
	const unknown = "json: unknown field "
	if quoted, found := strings.CutPrefix(err.Error(), unknown); found {
		return FieldError(strings.Trim(quoted, `"`), "unknown field")
	}
	return &BodyError{Status: http.StatusBadRequest, Message: "bad JSON: " + err.Error()}
}

// Write answers with a JSON body.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status is sent: a reader that has gone away is all that can fail.
	_ = json.NewEncoder(w).Encode(body)
}

// Drain ends the work of a handler when its server stops. It returns when no
// request is left, or when the context ends.
type Drain func(ctx context.Context)

// Serve serves until ctx ends, then drains while the listener still answers,
// and shuts down; drain and shutdown together take at most stopTimeout.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, stopTimeout time.Duration, drain Drain) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if drain != nil {
		drain(stopping)
	}
	if err := server.Shutdown(stopping); err != nil {
		_ = server.Close() // the drain took too long: what is left is cut
		<-served
		return errors.Wrap(err, "shut down")
	}
	<-served
	return nil
}
