package rawreply

import (
	"io"
	"net"
	"net/http"
	"time"
)

// pause separates parts of a reply, so that a reader gets them one by one.
const pause = 15 * time.Millisecond

// Parts returns a function for Start that reads the whole request, writes the texts that
// reply returns one after the other, and ends the connection in order.
func Parts(reply func(r *http.Request) []string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		for _, text := range reply(r) {
			_, _ = io.WriteString(c, text) // fails if the client has gone
			time.Sleep(pause)
		}
	}
}

// ResetLate returns a function for Start that reads the whole request, writes the text that
// reply returns, and resets the connection when the client has read it.
func ResetLate(reply func(r *http.Request) string) func(*net.TCPConn, *http.Request) {
	write := Parts(func(r *http.Request) []string { return []string{reply(r)} })
	return func(c *net.TCPConn, r *http.Request) {
		write(c, r)
		_ = c.SetLinger(0)
	}
}

// EndEarly returns a function for Start that writes the text that reply returns without
// reading the body of the request, ends the connection in order, and then resets it, as the
// system of a killed process does when more of the request arrives.
func EndEarly(reply func(r *http.Request) string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, reply(r))
		_ = c.CloseWrite()
		time.Sleep(pause)
		_ = c.SetLinger(0)
	}
}
