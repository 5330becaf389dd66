package settings

import (
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Key describes one settings key.
type Key struct {
	Section string
	Name    string
	Type    string
	Unit    string
	Default string
	Range   string
	Doc     string
	set     func(string) error
}

type keyList []Key

func (l *keyList) add(section, name, typ, unit, def, rng, doc string, set func(string) error) {
	*l = append(*l, Key{section, name, typ, unit, def, rng, doc, set})
}

func (l *keyList) text(section, name string, target *string, def, doc string) {
	l.add(section, name, "string", "", def, "", doc, func(v string) error {
		*target = v
		return nil
	})
}

func (l *keyList) required(section, name string, target *string, doc string) {
	l.add(section, name, "string", "", "", "not empty", doc, func(v string) error {
		if v == "" {
			return errors.New("a value is required")
		}
		*target = v
		return nil
	})
}

func (l *keyList) choice(section, name string, target *string, def, doc string, values ...string) {
	l.add(section, name, "string", "", def, strings.Join(values, ", "), doc, func(v string) error {
		for _, allowed := range values {
			if v == allowed {
				*target = v
				return nil
			}
		}
		return errors.Errorf("%q is none of %s", v, strings.Join(values, ", "))
	})
}

func (l *keyList) address(section, name string, target *string, def, doc string) {
	l.add(section, name, "ip:port", "", def, "", doc, func(v string) error {
		if v == "" {
			*target = ""
			return nil
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			return errors.Errorf("%q is not ip:port", v)
		}
		*target = v
		return nil
	})
}

func (l *keyList) addresses(section, name string, target *[]string, doc string) {
	l.add(section, name, "list of ip:port", "", "", "", doc, func(v string) error {
		*target = nil
		for _, part := range strings.Split(v, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if _, err := netip.ParseAddrPort(part); err != nil {
				return errors.Errorf("%q is not ip:port", part)
			}
			*target = append(*target, part)
		}
		return nil
	})
}

func (l *keyList) duration(section, name string, target *time.Duration, def, low, high time.Duration, doc string) {
	rng := low.String() + " to " + high.String()
	l.add(section, name, "duration", "Go duration", def.String(), rng, doc, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return errors.Errorf("%q is not a duration such as 1.5s", v)
		}
		if d < low || d > high {
			return errors.Errorf("%s is outside %s", d, rng)
		}
		*target = d
		return nil
	})
}

func (l *keyList) integer(section, name string, target *int, unit string, def, low, high int, doc string) {
	rng := strconv.Itoa(low) + " to " + strconv.Itoa(high)
	l.add(section, name, "integer", unit, strconv.Itoa(def), rng, doc, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return errors.Errorf("%q is not an integer", v)
		}
		if n < low || n > high {
			return errors.Errorf("%d is outside %s", n, rng)
		}
		*target = n
		return nil
	})
}

func (l *keyList) number(section, name string, target *float64, unit string, def, low, high float64, doc string) {
	format := func(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
	rng := format(low) + " to " + format(high)
	l.add(section, name, "number", unit, format(def), rng, doc, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", v)
		}
		if n < low || n > high {
			return errors.Errorf("%s is outside %s", format(n), rng)
		}
		*target = n
		return nil
	})
}

func (l *keyList) boolean(section, name string, target *bool, def bool, doc string) {
	l.add(section, name, "boolean", "", strconv.FormatBool(def), "true, false", doc, func(v string) error {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return errors.Errorf("%q is not true or false", v)
		}
		*target = b
		return nil
	})
}

// minSecretBytes is the output length of SHA-256, the least that HMAC keys should have.
const minSecretBytes = 32

func (l *keyList) secret(section, name string, target *string, optional bool, doc string) {
	l.add(section, name, "hex string", "", "", "at least 32 bytes", doc, func(v string) error {
		if v == "" && optional {
			return nil
		}
		b, err := hex.DecodeString(v)
		if err != nil || len(b) < minSecretBytes {
			return errors.New("the value must be at least 64 hexadecimal digits")
		}
		*target = v
		return nil
	})
}
