package server

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/dogwoodrudder/dogwoodrudder/internal/proxy"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// bootstrapAccount is the account name of a request with the bootstrap key from
// the settings.
const bootstrapAccount = "bootstrap"

// accountHandler handles a request of an authenticated client account.
type accountHandler func(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error

// requireAccount returns a handler that authenticates the client account before
// it calls h.
func (s *Server) requireAccount(h accountHandler) handler {
	return func(ctx context.Context, c *app.RequestContext) error {
		caller, err := s.authenticate(c)
		if err != nil {
			return err
		}
		return h(ctx, c, caller)
	}
}

// requireOperator returns a handler that calls h only for client accounts with
// the role operator.
func (s *Server) requireOperator(h accountHandler) handler {
	return s.requireAccount(func(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
		if caller.Spec.Role != object.RoleOperator {
			return result.New(result.Forbidden, result.NotRun, "client account %q is not an operator", caller.Account)
		}
		return h(ctx, c, caller)
	})
}

// authenticate returns the client account whose key is in the header
// Authorization.
func (s *Server) authenticate(c *app.RequestContext) (proxy.Caller, error) {
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok || key == "" {
		return proxy.Caller{}, result.New(result.Unauthenticated, result.NotRun, "header Authorization: a bearer key is required")
	}
	hash := HashKey(key)
	if o := s.options.Config.Current().AccountByKeyHash(hash); o != nil {
		if spec, ok := o.Spec.(*object.ClientAccount); ok && hasKeyHash(spec, hash) {
			return proxy.Caller{Account: o.Metadata.Name, Labels: o.Metadata.Labels, Spec: spec}, nil
		}
	}
	if equalHash(hash, s.options.BootstrapKeyHash) {
		return proxy.Caller{Account: bootstrapAccount, Spec: &object.ClientAccount{Role: object.RoleOperator}}, nil
	}
	if s.options.Config.Current().Revision == 0 {
		return proxy.Caller{}, s.withAddresses(notConfigured())
	}
	return proxy.Caller{}, result.New(result.Unauthenticated, result.NotRun, "header Authorization: the key is unknown")
}

// notConfigured returns the error for requests that arrive before the daemon has
// loaded a configuration, when no client account is known.
func notConfigured() error {
	return result.New(result.Draining, result.NotRun, "the daemon has no configuration yet")
}

// hasKeyHash reports whether the account has a key with the given hash. It
// compares in constant time. The lookup in the index before it is not constant in
// time, but uses only the hash, from which the key can't be derived.
func hasKeyHash(spec *object.ClientAccount, hash string) bool {
	found := false
	for _, h := range spec.KeyHashes {
		found = equalHash(hash, h) || found
	}
	return found
}

func equalHash(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// HashKey returns the hash of a key in the form in which it is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
