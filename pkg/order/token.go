// Package order ensures that non-idempotent requests are executed at most once.
// An order token names the daemon incarnation that executes the keys derived from
// it, and the ledger of that incarnation records the outcome of each key.
// docs/notes/orders.md describes the cases.
package order

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Sizes of tokens and keys in bytes.
const (
	MaxDaemonIDBytes   = 64
	MaxKeyIDBytes      = 32
	MaxCallerPartBytes = 128
	MinSecretBytes     = 32

	randomBytes   = 12
	maxTokenBytes = 256
	separator     = "."
)

// tokenEncoding rejects non-zero padding bits, so that each token has only one
// encoded form.
var tokenEncoding = base64.RawURLEncoding.Strict()

// SecretKey is a shared secret with the ID by which tokens refer to it.
type SecretKey struct {
	ID     string
	Secret []byte
}

// Signer issues and verifies order tokens. It is safe for concurrent use.
type Signer struct {
	issuing SecretKey
	byID    map[string][]byte
}

// Token is the verified content of an order token.
type Token struct {
	// DaemonID identifies the incarnation that executes the token's keys.
	DaemonID string
	// Expires has a precision of milliseconds.
	Expires time.Time
}

// Key is a verified Idempotency-Key.
type Key struct {
	Token
	// Text is the whole key as the caller sent it.
	Text string
}

// NewSigner returns a signer that issues tokens with the first key and verifies
// them with all keys. To rotate a key, add the new one in second place on every
// daemon, then move it to first place, and remove the old one after the lifetime
// of its tokens.
func NewSigner(keys ...SecretKey) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.New("order signer needs a key")
	}
	s := &Signer{issuing: keys[0], byID: make(map[string][]byte, len(keys))}
	for _, k := range keys {
		if k.ID == "" || len(k.ID) > MaxKeyIDBytes {
			return nil, errors.Errorf("order key ID %q must have 1 to %d bytes", k.ID, MaxKeyIDBytes)
		}
		if len(k.Secret) < MinSecretBytes {
			return nil, errors.Errorf("order key %q: secret is shorter than %d bytes", k.ID, MinSecretBytes)
		}
		if _, ok := s.byID[k.ID]; ok {
			return nil, errors.Errorf("order key ID %q is used twice", k.ID)
		}
		s.byID[k.ID] = k.Secret
	}
	return s, nil
}

// Issue returns a token for the incarnation daemonID that is valid until expires.
func (s *Signer) Issue(daemonID string, expires time.Time) (string, error) {
	if daemonID == "" || len(daemonID) > MaxDaemonIDBytes {
		return "", errors.Errorf("daemon ID %q must have 1 to %d bytes", daemonID, MaxDaemonIDBytes)
	}
	var random [randomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", errors.Wrap(err, "read random bytes for an order token")
	}
	payload := protowire.AppendString(nil, s.issuing.ID)
	payload = protowire.AppendString(payload, daemonID)
	payload = protowire.AppendFixed64(payload, uint64(expires.UnixMilli()))
	payload = append(payload, random[:]...)
	return tokenEncoding.EncodeToString(append(payload, mac(s.issuing.Secret, payload)...)), nil
}

func mac(secret, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(payload)
	return h.Sum(nil)
}

// Verify checks the signature of a token and returns its content. It doesn't
// check the expiry; the ledger does, because only the ledger's time never
// decreases.
func (s *Signer) Verify(token string) (Token, error) {
	if len(token) > maxTokenBytes {
		return Token{}, invalid("the order token is longer than %d bytes", maxTokenBytes)
	}
	raw, err := tokenEncoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return Token{}, invalid("the order token is malformed")
	}
	payload, sum := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	keyID, verified, err := parsePayload(payload)
	if err != nil {
		return Token{}, err
	}
	secret, ok := s.byID[keyID]
	if !ok {
		// A daemon that has the key may have accepted the token.
		return Token{}, result.New(result.OrderKeyInvalid, result.Unknown,
			"the order token was signed with the unknown key %q", keyID)
	}
	if !hmac.Equal(sum, mac(secret, payload)) {
		return Token{}, invalid("the signature of the order token is wrong")
	}
	return verified, nil
}

func parsePayload(payload []byte) (keyID string, t Token, err error) {
	keyID, n := protowire.ConsumeString(payload)
	if n < 0 {
		return "", Token{}, invalid("the order token is malformed")
	}
	daemonID, m := protowire.ConsumeString(payload[n:])
	if m < 0 {
		return "", Token{}, invalid("the order token is malformed")
	}
	expires, k := protowire.ConsumeFixed64(payload[n+m:])
	if k < 0 || len(payload) != n+m+k+randomBytes {
		return "", Token{}, invalid("the order token is malformed")
	}
	return keyID, Token{DaemonID: daemonID, Expires: time.UnixMilli(int64(expires))}, nil
}

// ParseKey verifies an Idempotency-Key: an order token, a dot and the caller's
// own part of 1 to MaxCallerPartBytes visible ASCII characters.
func (s *Signer) ParseKey(idempotencyKey string) (Key, error) {
	token, part, ok := strings.Cut(idempotencyKey, separator)
	if !ok {
		return Key{}, invalid("the Idempotency-Key is not an order token, a dot and a part of the caller")
	}
	if part == "" || len(part) > MaxCallerPartBytes {
		return Key{}, invalid("the caller's part of the Idempotency-Key must have 1 to %d bytes", MaxCallerPartBytes)
	}
	if strings.ContainsFunc(part, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return Key{}, invalid("the caller's part of the Idempotency-Key has a character that is not visible ASCII")
	}
	verified, err := s.Verify(token)
	if err != nil {
		return Key{}, err
	}
	return Key{Token: verified, Text: idempotencyKey}, nil
}

// JoinKey builds an Idempotency-Key from a token and the caller's own part.
func JoinKey(token, part string) string { return token + separator + part }

// invalid returns an error for a key that no daemon accepts. The order is
// therefore known not to have run.
func invalid(format string, args ...any) error {
	return result.New(result.OrderKeyInvalid, result.NotRun, format, args...)
}
