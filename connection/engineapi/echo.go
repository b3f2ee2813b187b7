package engineapi

import "net/http"

// EchoCall copies the request ID and attempt number from a request header to the
// header of its response.
func EchoCall(answer, request http.Header) {
	for _, name := range []string{HeaderRequestID, HeaderAttempt} {
		if value := request.Get(name); value != "" {
			answer.Set(name, value)
		}
	}
}
