package object

import (
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

// Limits of object fields.
const (
	// MaxFirstStepPercent is the maximum traffic share of a move's first step, because
	// a new version is unproven until it has served requests.
	MaxFirstStepPercent = 5.0
	// MaxRetryPercent is the maximum of retries as a percentage of the offered load.
	MaxRetryPercent = 20
	maxWeight       = 1000
	maxPriority     = 10
	totalPercent    = 100.0
	// shareTolerance allows for rounding in sums of shares such as 33.3 + 33.3 + 33.4.
	shareTolerance = 1e-6
)

var (
	namePattern       = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	labelKeyPattern   = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9_./-]{0,61}[A-Za-z0-9])?$`)
	labelValuePattern = regexp.MustCompile(`^([A-Za-z0-9]([A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?)?$`)
	keyHashPattern    = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	methodPattern     = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS)$`)
)

// validator validates one object. Its errors name the object and the field.
type validator struct{ ref Ref }

func (c validator) fail(code result.Code, field, format string, args ...any) error {
	return result.New(code, result.NotRun, "%s: "+field+": "+format, append([]any{c.ref}, args...)...)
}

func (c validator) invalid(field, format string, args ...any) error {
	return c.fail(result.InvalidObject, field, format, args...)
}

// Validate checks the object by itself, without its references. The error has the
// code InvalidObject and names the object and the field.
func (o *Object) Validate() error {
	c := validator{ref: o.Ref()}
	if _, ok := NewSpec(o.Kind); !ok {
		return c.invalid("kind", "%q is not a known kind", o.Kind)
	}
	if o.Spec == nil || o.Spec.Kind() != o.Kind {
		return c.invalid("spec", "does not belong to kind %s", o.Kind)
	}
	if !namePattern.MatchString(o.Metadata.Name) {
		return c.invalid("metadata.name", "%q must be 1 to 63 lower-case letters, digits, '-' or '.' and start and end with a letter or digit", o.Metadata.Name)
	}
	if o.Metadata.Revision < 0 {
		return c.invalid("metadata.revision", "%d is negative", o.Metadata.Revision)
	}
	for key, value := range o.Metadata.Labels {
		if !labelKeyPattern.MatchString(key) {
			return c.invalid("metadata.labels", "key %q must be 1 to 63 letters, digits, '-', '_', '.' or '/'", key)
		}
		if !labelValuePattern.MatchString(value) {
			return c.invalid("metadata.labels", "value %q of key %q must be at most 63 letters, digits, '-', '_' or '.'", value, key)
		}
	}
	return c.spec(o.Spec)
}

func (c validator) spec(spec Spec) error {
	switch s := spec.(type) {
	case *Service:
		return c.service(s)
	case *Version:
		return c.version(s)
	case *ClientAccount:
		return c.account(s)
	case *Upstream:
		return c.upstream(s)
	case *UpstreamSelector:
		return c.selector("spec.selector", s.Selector)
	case *Route:
		return c.route(s)
	case *Move:
		return c.move(s)
	}
	return c.invalid("spec", "has unknown type %T", spec)
}

func (c validator) service(s *Service) error {
	if s.Protocol != ProtocolOpenAI && s.Protocol != ProtocolHTTP {
		return c.invalid("spec.protocol", "%q must be %q or %q", s.Protocol, ProtocolOpenAI, ProtocolHTTP)
	}
	if s.RetryPercent < 0 || s.RetryPercent > MaxRetryPercent {
		return c.invalid("spec.retryPercent", "%d must be 0 to %d", s.RetryPercent, MaxRetryPercent)
	}
	for field, d := range map[string]Duration{"timeout": s.Timeout, "hedgeAfter": s.HedgeAfter, "slowAfter": s.SlowAfter} {
		if d < 0 {
			return c.invalid("spec."+field, "%s is negative", time.Duration(d))
		}
	}
	if s.MaxBodyBytes < 0 {
		return c.invalid("spec.maxBodyBytes", "%d is negative", s.MaxBodyBytes)
	}
	if s.ShortPromptBytes < 0 {
		return c.invalid("spec.shortPromptBytes", "%d is negative", s.ShortPromptBytes)
	}
	return c.operations(s)
}

func (c validator) operations(s *Service) error {
	if s.Protocol == ProtocolOpenAI && len(s.Operations) > 0 {
		return c.invalid("spec.operations", "must be empty for protocol %q", s.Protocol)
	}
	names, endpoints := map[string]bool{}, map[string]bool{}
	for _, op := range s.Operations {
		if !namePattern.MatchString(op.Name) {
			return c.invalid("spec.operations.name", "%q must be 1 to 63 lower-case letters, digits, '-' or '.'", op.Name)
		}
		if names[op.Name] {
			return c.invalid("spec.operations.name", "%q appears twice", op.Name)
		}
		if !methodPattern.MatchString(op.Method) {
			return c.invalid("spec.operations.method", "%q of operation %q is not an HTTP method in capital letters", op.Method, op.Name)
		}
		if !strings.HasPrefix(op.Path, "/") || strings.Contains(strings.TrimSuffix(op.Path, "*"), "*") || strings.ContainsAny(op.Path, "?# ") {
			return c.invalid("spec.operations.path", "%q of operation %q must start with '/' and may have one '*' at its end", op.Path, op.Name)
		}
		endpoint := op.Method + " " + op.Path
		if endpoints[endpoint] {
			return c.invalid("spec.operations", "%q belongs to two operations", endpoint)
		}
		names[op.Name], endpoints[endpoint] = true, true
	}
	return nil
}

func (c validator) version(v *Version) error {
	if v.Service == "" {
		return c.invalid("spec.service", "is missing")
	}
	if v.Selector == "" {
		return c.invalid("spec.selector", "is missing")
	}
	return nil
}

func (c validator) account(a *ClientAccount) error {
	if a.Role != RoleCaller && a.Role != RoleOperator {
		return c.invalid("spec.role", "%q must be %q or %q", a.Role, RoleCaller, RoleOperator)
	}
	seen := make(map[string]bool, len(a.KeyHashes))
	for i, hash := range a.KeyHashes {
		// The message leaves out the value, because it may be a key that was
		// entered by mistake.
		if !keyHashPattern.MatchString(hash) {
			return c.invalid("spec.keyHashes", "entry %d must be \"sha256:\" and 64 lower-case hexadecimal digits", i+1)
		}
		if seen[hash] {
			return c.invalid("spec.keyHashes", "entry %d repeats an earlier one", i+1)
		}
		seen[hash] = true
	}
	if a.Weight < 0 || a.Weight > maxWeight {
		return c.invalid("spec.weight", "%d must be 1 to %d, or 0 for the default", a.Weight, maxWeight)
	}
	if a.Priority < -maxPriority || a.Priority > maxPriority {
		return c.invalid("spec.priority", "%d must be %d to %d", a.Priority, -maxPriority, maxPriority)
	}
	if a.MaxInFlight < 0 {
		return c.invalid("spec.maxInFlight", "%d is negative", a.MaxInFlight)
	}
	return nil
}

func (c validator) upstream(u *Upstream) error {
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil || address.Port() == 0 {
		return c.invalid("spec.address", "%q must be ip:port", u.Address)
	}
	if u.DataCentre == "" {
		return c.invalid("spec.dataCentre", "is missing")
	}
	if u.PricePerHour < 0 || math.IsNaN(u.PricePerHour) || math.IsInf(u.PricePerHour, 0) {
		return c.invalid("spec.pricePerHour", "%v must be 0 or more", u.PricePerHour)
	}
	if u.MaxConcurrency < 0 {
		return c.invalid("spec.maxConcurrency", "%d is negative", u.MaxConcurrency)
	}
	return nil
}

func (c validator) selector(field string, s Selector) error {
	for key, value := range s.MatchLabels {
		if !labelKeyPattern.MatchString(key) || !labelValuePattern.MatchString(value) {
			return c.invalid(field+".matchLabels", "%q: %q is not a valid label", key, value)
		}
	}
	for _, r := range s.MatchExpressions {
		if !labelKeyPattern.MatchString(r.Key) {
			return c.invalid(field+".matchExpressions.key", "%q is not a valid label key", r.Key)
		}
		switch r.Operator {
		case OpIn, OpNotIn:
			if len(r.Values) == 0 {
				return c.invalid(field+".matchExpressions.values", "operator %s of key %q needs a value", r.Operator, r.Key)
			}
		case OpExists, OpNotExists:
			if len(r.Values) > 0 {
				return c.invalid(field+".matchExpressions.values", "operator %s of key %q takes no values", r.Operator, r.Key)
			}
		default:
			return c.invalid(field+".matchExpressions.operator", "%q of key %q must be In, NotIn, Exists or DoesNotExist", r.Operator, r.Key)
		}
		for _, value := range r.Values {
			if !labelValuePattern.MatchString(value) {
				return c.invalid(field+".matchExpressions.values", "%q of key %q is not a valid label value", value, r.Key)
			}
		}
	}
	return nil
}
