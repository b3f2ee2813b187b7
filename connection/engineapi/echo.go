package engineapi

import "net/http"

// EchoCall copies the name of the call from a request's header to that of its answer.
func EchoCall(answer, request http.Header) {
	for _, name := range []string{HeaderRequestID, HeaderAttempt} {
		if value := request.Get(name); value != "" {
			answer.Set(name, value)
		}
	}
}
