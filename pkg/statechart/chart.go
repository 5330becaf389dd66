// Package statechart loads statecharts from YAML files, checks them and
// interprets them with the library qmuntal/stateless. All machines of a chart
// share one state machine of the library, and each Machine stores its own state:
// configuring a state machine of the library for each request took 26 µs and 314
// allocations.
package statechart

import (
	"bytes"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
	"gopkg.in/yaml.v3"
)

const fileSuffix = ".yaml"

// definition is the content of a chart file.
type definition struct {
	Name    string `yaml:"name"`
	Doc     string `yaml:"doc"`
	Initial string `yaml:"initial"`
	// Terminates requires a final state that every state can reach.
	Terminates bool                       `yaml:"terminates"`
	Events     []string                   `yaml:"events"`
	States     map[string]stateDefinition `yaml:"states"`
}

type stateDefinition struct {
	Doc    string            `yaml:"doc"`
	Final  bool              `yaml:"final"`
	On     map[string]string `yaml:"on"`
	Ignore []string          `yaml:"ignore"`
}

// Chart is a checked statechart. It is immutable and safe for concurrent use.
type Chart struct {
	def     definition
	events  map[string]stateless.Trigger // by name
	library *stateless.StateMachine      // shared by all machines of the chart
}

// Load reads, checks and compiles the chart in the file name + ".yaml".
func Load(files fs.FS, name string) (*Chart, error) {
	data, err := fs.ReadFile(files, name+fileSuffix)
	if err != nil {
		return nil, errors.Wrapf(err, "read chart %q", name)
	}
	c, err := parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "chart %q", name)
	}
	if c.def.Name != name {
		return nil, errors.Errorf("chart %q: the file has the name %q", name, c.def.Name)
	}
	return c, nil
}

// LoadAll loads all charts in the root directory of files, sorted by name.
func LoadAll(files fs.FS) ([]*Chart, error) {
	paths, err := fs.Glob(files, "*"+fileSuffix)
	if err != nil {
		return nil, errors.Wrap(err, "list charts")
	}
	slices.Sort(paths)
	charts := make([]*Chart, 0, len(paths))
	for _, p := range paths {
		c, err := Load(files, strings.TrimSuffix(path.Base(p), fileSuffix))
		if err != nil {
			return nil, err
		}
		charts = append(charts, c)
	}
	return charts, nil
}

func parse(data []byte) (*Chart, error) {
	var def definition
	// yaml.v3 follows YAML 1.2, in which the key "on" is a string and not a bool.
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&def); err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	if err := check(&def); err != nil {
		return nil, err
	}
	c := &Chart{def: def, events: make(map[string]stateless.Trigger, len(def.Events))}
	for _, event := range def.Events {
		c.events[event] = event
	}
	c.library = newLibraryMachine(&def)
	return c, nil
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.def.Name }

// Doc returns the chart's one-line description.
func (c *Chart) Doc() string { return c.def.Doc }

// States returns the names of all states in alphabetical order.
func (c *Chart) States() []string { return slices.Sorted(maps.Keys(c.def.States)) }

// Events returns the names of all events in the order of the file.
func (c *Chart) Events() []string { return slices.Clone(c.def.Events) }
