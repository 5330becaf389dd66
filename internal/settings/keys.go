package settings

import (
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Key describes one settings key. The texts are those of the reference table.
type Key struct {
	Section string
	Name    string
	Type    string
	Unit    string
	Default string
	Range   string // allowed values
	Doc     string
	set     func(string) error // checks a value and stores it in the bound field
}

// keyList collects keys. Each of its methods adds a key that is bound to target.
type keyList []Key

func (l *keyList) add(section, name, typ, unit, defaultValue, valueRange, doc string, set func(string) error) {
	*l = append(*l, Key{section, name, typ, unit, defaultValue, valueRange, doc, set})
}

func (l *keyList) text(section, name string, target *string, defaultValue, doc string) {
	l.add(section, name, "string", "", defaultValue, "", doc, func(v string) error {
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

func (l *keyList) choice(section, name string, target *string, defaultValue, doc string, values ...string) {
	l.add(section, name, "string", "", defaultValue, strings.Join(values, ", "), doc, func(v string) error {
		for _, allowed := range values {
			if v == allowed {
				*target = v
				return nil
			}
		}
		return errors.Errorf("%q is none of %s", v, strings.Join(values, ", "))
	})
}

func (l *keyList) address(section, name string, target *string, defaultValue, doc string) {
	l.add(section, name, "ip:port", "", defaultValue, "", doc, func(v string) error {
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

// pairs adds a list of NAME=VALUE pairs.
func (l *keyList) pairs(section, name string, target *map[string]string, doc string) {
	l.add(section, name, "list of NAME=VALUE", "", "", "", doc, func(v string) error {
		*target = map[string]string{}
		for part := range strings.SplitSeq(v, ",") {
			if part = strings.TrimSpace(part); part == "" {
				continue
			}
			key, value, ok := strings.Cut(part, "=")
			key, value = strings.TrimSpace(key), strings.TrimSpace(value)
			if !ok || key == "" || value == "" {
				return errors.Errorf("%q is not NAME=VALUE", part)
			}
			(*target)[key] = value
		}
		return nil
	})
}

func (l *keyList) duration(section, name string, target *time.Duration, defaultValue, minimum, maximum time.Duration, doc string) {
	valueRange := minimum.String() + " to " + maximum.String()
	l.add(section, name, "duration", "Go duration", defaultValue.String(), valueRange, doc, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return errors.Errorf("%q is not a duration such as 1.5s", v)
		}
		if d < minimum || d > maximum {
			return errors.Errorf("%s is outside %s", d, valueRange)
		}
		*target = d
		return nil
	})
}

func (l *keyList) integer(section, name string, target *int, unit string, defaultValue, minimum, maximum int, doc string) {
	valueRange := strconv.Itoa(minimum) + " to " + strconv.Itoa(maximum)
	l.add(section, name, "integer", unit, strconv.Itoa(defaultValue), valueRange, doc, func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return errors.Errorf("%q is not an integer", v)
		}
		if n < minimum || n > maximum {
			return errors.Errorf("%d is outside %s", n, valueRange)
		}
		*target = n
		return nil
	})
}

func (l *keyList) number(section, name string, target *float64, unit string, defaultValue, minimum, maximum float64, doc string) {
	format := func(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
	valueRange := format(minimum) + " to " + format(maximum)
	l.add(section, name, "number", unit, format(defaultValue), valueRange, doc, func(v string) error {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return errors.Errorf("%q is not a number", v)
		}
		if n < minimum || n > maximum {
			return errors.Errorf("%s is outside %s", format(n), valueRange)
		}
		*target = n
		return nil
	})
}

func (l *keyList) boolean(section, name string, target *bool, defaultValue bool, doc string) {
	l.add(section, name, "boolean", "", strconv.FormatBool(defaultValue), "true, false", doc, func(v string) error {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return errors.Errorf("%q is not true or false", v)
		}
		*target = b
		return nil
	})
}

// minSecretBytes is the output length of SHA-256, the minimum length that an HMAC
// key should have.
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
