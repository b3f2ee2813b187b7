package responsecheck

import "net/http"

// Transport is an http.Transport that returns only responses that Head accepts. Its DialContext should return
// a Conn.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = Transport{}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Head(response, request.Header); err != nil {
		_ = response.Body.Close() // the error is that of the head
		return nil, err
	}
	return response, nil
}
