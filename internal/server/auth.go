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

// bootstrapAccount is the account name of the key from the settings.
const bootstrapAccount = "bootstrap"

// callerHandler is a handler that knows the authenticated client account.
type callerHandler func(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error

// caller requires any client account.
func (s *Server) caller(h callerHandler) handler {
	return func(ctx context.Context, c *app.RequestContext) error {
		caller, err := s.authenticate(c)
		if err != nil {
			return err
		}
		return h(ctx, c, caller)
	}
}

// operator requires a client account with the role of an operator.
func (s *Server) operator(h callerHandler) handler {
	return s.caller(func(ctx context.Context, c *app.RequestContext, caller proxy.Caller) error {
		if caller.Spec.Role != object.RoleOperator {
			return result.New(result.Forbidden, result.NotRun, "client account %q is not an operator", caller.Account)
		}
		return h(ctx, c, caller)
	})
}

func (s *Server) authenticate(c *app.RequestContext) (proxy.Caller, error) {
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok || key == "" {
		return proxy.Caller{}, result.New(result.Unauthenticated, result.NotRun, "header Authorization: a bearer key is required")
	}
	hash := HashKey(key)
	if o := s.options.Config.Current().AccountByKeyHash(hash); o != nil {
		if spec, ok := o.Spec.(*object.ClientAccount); ok && holds(spec, hash) {
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

// notConfigured refuses a request while no client account is known.
func notConfigured() error {
	return result.New(result.Draining, result.NotRun, "the daemon has no configuration yet")
}

// holds compares in constant time; the index lookup before it only sees the
// hash, from which the key can't be derived.
func holds(spec *object.ClientAccount, hash string) bool {
	found := false
	for _, h := range spec.KeyHashes {
		found = equalHash(hash, h) || found
	}
	return found
}

func equalHash(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// HashKey returns the stored form of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}
