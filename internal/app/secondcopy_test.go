package app_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/app"
	"github.com/dogwoodrudder/dogwoodrudder/test/standin/rawreply"
)

// Guards against bytes of a second, late copy of a reply in the body of the first one: beyond
// the end of a body without a length, or in place of the last bytes of one with a length.
func TestSecondCopyIsNoPartOfAReply(t *testing.T) {
	const missing = 40
	for name, body := range bodies {
		for form, parts := range map[string]func(r *http.Request) []string{
			"no length": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body, -1), replyOf(r, "text/plain", body, -1)}
			},
			"no length, copy with one": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body, -1), replyOf(r, "text/plain", body, len(body))}
			},
			"no length, copy cut": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body[:100], -1), replyOf(r, "text/plain", "", -1)[:missing]}
			},
			"missing bytes": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body[:len(body)-missing], len(body)), replyOf(r, "text/plain", body, len(body))}
			},
			"missing bytes, copy without length": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body[:len(body)-missing], len(body)), replyOf(r, "text/plain", body, -1)}
			},
			"a missing byte": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body[:len(body)-1], len(body)), replyOf(r, "text/plain", body, len(body))}
			},
			"missing bytes, copy cut": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body[:len(body)-missing], len(body)), replyOf(r, "text/plain", "", len(body))[:missing]}
			},
			"long part missing": func(r *http.Request) []string {
				return []string{replyOf(r, "text/plain", body[:20], len(body)), replyOf(r, "text/plain", body, len(body))}
			},
		} {
			t.Run(name+", "+form, func(t *testing.T) {
				taken := 0
				for range tries {
					if _, outcome := callServer(t, rawreply.Parts(parts)); outcome != app.Lost {
						taken++
					}
				}
				NewWithT(t).Expect(taken).To(BeZero(), "mixed bodies taken of %d", tries)
			})
		}
	}
}

// Guards against losing a whole reply because the service sends more bytes after it, and
// against refusing a body that contains the head of another reply.
func TestBytesAfterAReplyAreIgnored(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Request-Id: b\r\n\r\nHTTP/1.1 200 OK\r\nHTTP/1."
	for name, body := range bodies {
		for form, after := range map[string]func(r *http.Request) string{
			"copy":    func(r *http.Request) string { return replyOf(r, "text/plain", body, len(body)) },
			"garbage": func(*http.Request) string { return "HT\x00\x01\r\n" },
			"nothing": func(*http.Request) string { return "" },
		} {
			for _, body := range []string{body, body + text, text + body} {
				t.Run(name+", "+form, func(t *testing.T) {
					lost := 0
					for range tries {
						reply, outcome := callServer(t, rawreply.Whole(func(r *http.Request) string {
							return replyOf(r, "text/plain", body, len(body)) + after(r)
						}))
						if outcome != app.Answered || string(reply.Body) != body {
							lost++
						}
					}
					NewWithT(t).Expect(lost).To(BeZero(), "whole replies lost of %d", tries)
				})
			}
		}
	}
}
