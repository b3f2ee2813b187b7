// Package responsecheck decides which HTTP/1.1 responses of a server count as one. The parsers of net/http
// accept more than HTTP allows: statuses outside the defined classes, field names that contain a blank, and
// the end of a connection as the end of a body although the connection was reset. A server in trouble sends
// such responses, and a caller would take them for the server's answer.
//
// Head checks the head of a response, Transport that of each response of an http.Transport. Conn is a
// connection whose end is not confused with a reset.
package responsecheck
