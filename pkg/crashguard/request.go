package crashguard

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is what a guard needs to know of a request.
type Request struct {
	Service string
	Account string   // empty if unknown; requests without an account count as one caller
	Parts   []string // IDs of the parts of its prompt that other requests may share
	// Own is the ID of the part of its prompt that only repeats of the request have; empty
	// if unknown.
	Own string
	// Sent is when it was sent to the instance at which it broke off, on the clock of
	// Config.Now. Only Crashed uses it.
	Sent time.Duration
}

// HasPrompt reports whether the request tells a part of its prompt. Without one it can't be
// recognised.
func (r Request) HasPrompt() bool { return len(r.Parts) > 0 || r.Own != "" }

// promptKey returns the fingerprint of the whole prompt, and false if the request doesn't
// tell its own part. The account is included and the hash is cryptographic, so that a
// caller can't have the prompts of others refused.
func (r Request) promptKey() (uint64, bool) {
	if r.Own == "" {
		return 0, false
	}
	h := sha256.New()
	for _, text := range append([]string{r.Service, r.Account, r.Own}, r.Parts...) {
		_, _ = io.WriteString(h, strconv.Itoa(len(text))+":"+text) // a hash returns no error
	}
	return binary.BigEndian.Uint64(h.Sum(nil)), true
}

// keys returns the keys of the request's parts. Parts of different services are
// different, because their instances run different programs or models.
func (r Request) keys() []string {
	keys := make([]string, len(r.Parts))
	for i, part := range r.Parts {
		keys[i] = shortName(r.Service + "/" + part)
	}
	return keys
}

// shortName returns name, or its hash if it is long.
func shortName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	return "#" + strconv.FormatUint(xxhash.Sum64String(name), 16)
}

// CrashID returns the identifier of the crash of one incarnation of an instance. It is
// the same at all daemons.
func CrashID(instance string, incarnation int64) uint64 {
	return xxhash.Sum64String(instance + "\x00" + strconv.FormatInt(incarnation, 10))
}
