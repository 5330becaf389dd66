package main

import (
	"bytes"
	"os"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Kind is the kind of a request class.
type Kind string

// Kinds of request classes.
const (
	KindReport   Kind = "report"   // streamed completion over a long document
	KindQuestion Kind = "question" // streamed completion of a short prompt
	KindOrder    Kind = "order"    // non-idempotent call, executed at most once
	KindLookup   Kind = "lookup"   // idempotent call
)

// Scenario describes a run.
type Scenario struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Timeout bounds a request from its planned arrival to the complete answer.
	Timeout time.Duration `yaml:"timeout"`
	// Addresses are the daemons (ip:port) at which callers look up addresses.
	Addresses []string  `yaml:"addresses"`
	Accounts  []Account `yaml:"accounts"`
	Classes   []Class   `yaml:"classes"`
	// MaxInFlight bounds the requests in flight. Arrivals above it are not sent.
	// They are counted, because the run then sends less than the stated rate.
	MaxInFlight int `yaml:"maxInFlight"`
	// VerifyOutput makes the run compare each completion with the output of the
	// engine stand-in, which depends only on the prompt and the length.
	VerifyOutput bool `yaml:"verifyOutput"`
	// AppStats and EngineStats are addresses (ip:port) of stand-ins whose
	// GET /stats is read before and after the run.
	AppStats    []string `yaml:"appStats"`
	EngineStats []string `yaml:"engineStats"`
	Events      []Event  `yaml:"events"`
}

// Account is a client account. Clients is the number of its independent callers,
// each of which caches its own address answer.
type Account struct {
	Name    string `yaml:"name"`
	Key     string `yaml:"key"`
	Clients int    `yaml:"clients"`
	// Weight is the account's share of the arrivals relative to the others.
	Weight float64 `yaml:"weight"`
}

// Class is a stream of similar requests.
type Class struct {
	Name    string `yaml:"name"`
	Kind    Kind   `yaml:"kind"`
	Service string `yaml:"service"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `yaml:"rate"`
	// PromptWords is the length of the prompt in words, and Tokens the length of
	// the answer in tokens.
	PromptWords int `yaml:"promptWords"`
	Tokens      int `yaml:"tokens"`
	// Sessions is the number of different documents with which the prompts start.
	// With 0 every prompt starts with a document of its own.
	Sessions int `yaml:"sessions"`
	// Path is the path below /app/{service}; lookups append an item.
	Path string `yaml:"path"`
	// Deadline is sent as X-Request-Deadline relative to the arrival; 0 sends none.
	Deadline time.Duration `yaml:"deadline"`
	// FirstTokenBound and TotalBound are bounds for the 95th percentile, which are
	// copied into the figures.
	FirstTokenBound time.Duration `yaml:"firstTokenBound"`
	TotalBound      time.Duration `yaml:"totalBound"`
}

// Event is a request to a stand-in or daemon at a given time after the start of
// the run, for example to inject faults.
type Event struct {
	At      time.Duration `yaml:"at"`
	Address string        `yaml:"address"`
	Method  string        `yaml:"method"`
	Path    string        `yaml:"path"`
	Body    string        `yaml:"body"`
	Key     string        `yaml:"key"`
}

// streamed reports whether the class sends streamed completion requests.
func (c *Class) streamed() bool { return c.Kind == KindReport || c.Kind == KindQuestion }

func readScenario(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	s, err := parseScenario(data)
	return s, errors.WithMessage(err, file)
}

func parseScenario(data []byte) (*Scenario, error) {
	s := &Scenario{Timeout: 30 * time.Second, MaxInFlight: 10000}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(s); err != nil {
		return nil, errors.Wrap(err, "parse scenario")
	}
	for i := range s.Accounts {
		a := &s.Accounts[i]
		a.Clients = max(a.Clients, 1)
		if a.Weight == 0 {
			a.Weight = 1
		}
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	switch {
	case s.Duration <= 0 || s.Timeout <= 0:
		return errors.New("duration and timeout must be positive")
	case len(s.Addresses) == 0 || len(s.Accounts) == 0 || len(s.Classes) == 0:
		return errors.New("addresses, accounts and classes must not be empty")
	case s.MaxInFlight <= 0:
		return errors.New("maxInFlight must be positive")
	}
	for _, a := range s.Accounts {
		if a.Weight < 0 {
			return errors.Errorf("account %q: weight %g is negative", a.Name, a.Weight)
		}
	}
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		if names[c.Name] {
			return errors.Errorf("class %q appears twice", c.Name)
		}
		names[c.Name] = true
		if err := c.check(); err != nil {
			return errors.WithMessagef(err, "class %q", c.Name)
		}
	}
	return nil
}

func (c *Class) check() error {
	switch {
	case c.Name == "" || c.Service == "":
		return errors.New("name and service must not be empty")
	case c.Rate <= 0:
		return errors.Errorf("rate %g is not positive", c.Rate)
	case c.streamed() && (c.PromptWords <= 0 || c.Tokens <= 0):
		return errors.New("promptWords and tokens must be positive")
	case c.streamed():
		return nil
	case c.Kind != KindOrder && c.Kind != KindLookup:
		return errors.Errorf("kind %q must be %s, %s, %s or %s", c.Kind, KindReport, KindQuestion, KindOrder, KindLookup)
	case len(c.Path) == 0 || c.Path[0] != '/':
		return errors.Errorf("path %q does not start with /", c.Path)
	}
	return nil
}
