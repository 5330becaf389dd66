package settings

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// settingsKeys returns the keys bound to the fields of s.
func settingsKeys(s *Settings) []Key {
	var l keyList
	l.daemon(&s.Daemon)
	l.peers(&s.Peers)
	l.store(&s.Store)
	l.orders(&s.Orders)
	l.limits(&s.Limits)
	l.upstreams(&s.Upstreams)
	l.platform(s)
	return l
}

func (l *keyList) daemon(d *Daemon) {
	l.required("daemon", "name", &d.Name, "Name of the entry instance; a replacement may reuse it.")
	l.required("daemon", "data_centre", &d.DataCentre, "Data centre in which the daemon runs.")
	l.text("daemon", "region", &d.Region, "", "Region of the data centre.")
	l.address("daemon", "http_address", &d.HTTPAddress, "127.0.0.1:8080", "Listener for callers and operators.")
	l.address("daemon", "peer_address", &d.PeerAddress, "127.0.0.1:8081", "Listener for other daemons.")
	l.duration("daemon", "drain_timeout", &d.DrainTimeout, 30*time.Second, time.Second, 10*time.Minute,
		"Longest time from a stop signal to the exit.")
	l.duration("daemon", "address_ttl", &d.AddressTTL, 10*time.Second, time.Second, 10*time.Minute,
		"How long callers may keep an answer of /v1/address.")
	l.integer("daemon", "duty_workers", &d.DutyWorkers, "workers", 32, 20, 256,
		"Size of the worker pool of the duties.")
	l.integer("daemon", "upstream_calls", &d.UpstreamCalls, "calls", 2000, 16, 100000,
		"Size of the worker pool of upstream calls.")
}

func (l *keyList) peers(p *Peers) {
	l.addresses("peers", "seeds", &p.Seeds, "Peer addresses to join through, separated by commas.")
	l.duration("peers", "probe_interval", &p.ProbeInterval, time.Second, 50*time.Millisecond, 10*time.Second,
		"Time between two probes of neighbours.")
	l.duration("peers", "probe_timeout", &p.ProbeTimeout, 500*time.Millisecond, 20*time.Millisecond, 5*time.Second,
		"Time after which a probe counts as lost.")
	l.duration("peers", "suspect_after", &p.SuspectAfter, 3*time.Second, 200*time.Millisecond, time.Minute,
		"Time that a suspected daemon has to refute.")
}

func (l *keyList) store(s *Store) {
	l.addresses("store", "endpoints", &s.Endpoints, "Addresses of the key-value service, separated by commas.")
	l.duration("store", "call_timeout", &s.CallTimeout, 2*time.Second, 50*time.Millisecond, 30*time.Second,
		"Deadline of one store call.")
	l.number("store", "writes_per_second", &s.WritesPerSecond, "1/s", 300, 1, 10000,
		"Largest rate of writes of all daemons together; each gets an equal share.")
	l.number("store", "reads_per_second", &s.ReadsPerSecond, "1/s", 1500, 1, 100000,
		"Largest rate of reads of all daemons together; each gets an equal share.")
	l.duration("store", "lease_ttl", &s.LeaseTTL, 10*time.Second, 2*time.Second, 5*time.Minute,
		"Time to live of leases.")
}

func (l *keyList) orders(o *Orders) {
	l.required("orders", "secret_id", &o.SecretID, "Name of the signing secret; part of every order token.")
	l.secret("orders", "secret", &o.Secret, false, "Secret that signs order tokens; the same on every daemon.")
	l.text("orders", "previous_secret_id", &o.PreviousSecretID, "", "Name of the secret that is being replaced.")
	l.secret("orders", "previous_secret", &o.PreviousSecret, true, "Secret that is being replaced; verifies only.")
	l.duration("orders", "token_ttl", &o.TokenTTL, 10*time.Minute, time.Second, 24*time.Hour,
		"Life of an order token and of the ledger entries that use it.")
	l.integer("orders", "max_entries", &o.MaxEntries, "entries", 200000, 100, 10000000, "Largest order ledger.")
	l.add("orders", "max_bytes", "integer", "bytes", "33554432", "1048576 to 1073741824",
		"Largest memory of stored order responses.", func(v string) error {
			// keyList.integer has an int as its target; MaxBytes is an int64.
			var n int
			check := keyList{}
			check.integer("", "", &n, "", 0, 1<<20, 1<<30, "")
			if err := check[0].set(v); err != nil {
				return err
			}
			o.MaxBytes = int64(n)
			return nil
		})
}

func (l *keyList) limits(m *Limits) {
	l.integer("limits", "max_body_bytes", &m.MaxBodyBytes, "bytes", 4<<20, 1<<10, 64<<20, "Largest request body.")
	l.integer("limits", "max_header_bytes", &m.MaxHeaderBytes, "bytes", 64<<10, 4<<10, 1<<20, "Largest request header.")
	l.integer("limits", "max_stream_bytes", &m.MaxStreamBytes, "bytes", 8<<20, 64<<10, 256<<20,
		"Largest emitted output that is kept for one request.")
	l.integer("limits", "queue_length", &m.QueueLength, "requests", 512, 1, 100000, "Requests that may wait for admission.")
	l.duration("limits", "resume_window", &m.ResumeWindow, 30*time.Second, time.Second, 10*time.Minute,
		"How long a stream is kept for a caller that lost its connection.")
	l.duration("limits", "request_timeout", &m.RequestTimeout, 2*time.Minute, time.Second, time.Hour,
		"Deadline of requests that bring none and whose service has none.")
}

func (l *keyList) upstreams(u *Upstreams) {
	l.duration("upstreams", "dial_timeout", &u.DialTimeout, 500*time.Millisecond, 10*time.Millisecond, 10*time.Second,
		"Time to connect to an upstream.")
	l.duration("upstreams", "first_byte_timeout", &u.FirstByteTimeout, 15*time.Second, 100*time.Millisecond, 10*time.Minute,
		"Time from sending a request to the first byte of the reply.")
	l.duration("upstreams", "token_timeout", &u.TokenTimeout, 3*time.Second, 50*time.Millisecond, time.Minute,
		"Longest gap between two events of a stream before the attempt is abandoned.")
	l.duration("upstreams", "health_interval", &u.HealthInterval, time.Second, 50*time.Millisecond, time.Minute,
		"Time between two active checks of an upstream.")
	l.duration("upstreams", "load_interval", &u.LoadInterval, 5*time.Second, 100*time.Millisecond, time.Minute,
		"Time between two readings of an upstream's load report.")
	l.integer("upstreams", "subset_size", &u.SubsetSize, "upstreams", 256, 8, 12000,
		"Upstreams that this daemon uses, shared among the versions; at least 8 of each.")
	l.duration("upstreams", "migration_deadline", &u.MigrationDeadline, 1500*time.Millisecond, 50*time.Millisecond, time.Minute,
		"Longest time for moving the KV cache of a stream before its text is sent again.")
}

func (l *keyList) platform(s *Settings) {
	l.text("operators", "bootstrap_key_hash", &s.Operators.BootstrapKeyHash, "",
		"Hash (sha256:hex) of an operator key that works before any client account exists.")
	l.address("platform", "cloud_address", &s.Platform.CloudAddress, "", "Address of the cloud API; empty turns it off.")
	l.duration("platform", "notice_interval", &s.Platform.NoticeInterval, time.Second, 50*time.Millisecond, time.Minute,
		"Time between two readings of the instance list.")
	l.boolean("platform", "placement", &s.Platform.Placement, false, "Whether this daemon may hold the placement lease.")
	l.integer("platform", "placement_slots", &s.Platform.PlacementSlots, "requests", 8, 1, 10000,
		"Concurrent requests of one engine within the latency target; placement sizes the fleet with it.")
	l.choice("log", "level", &s.Log.Level, "info", "Lowest level that is logged.", "debug", "info", "warn", "error")
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	defer func() { _ = f.Close() }()
	return Parse(path, f)
}

// Parse reads and checks settings; name is used in errors.
func Parse(name string, r io.Reader) (*Settings, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	s := &Settings{}
	if err := parseKeys(name, data, settingsKeys(s)); err != nil {
		return nil, err
	}
	return s, nil
}

// parseKeys reads the INI file data and sets the fields that keys are bound to.
func parseKeys(name string, data []byte, keys []Key) error {
	file, err := ini.LoadSources(ini.LoadOptions{
		InsensitiveKeys: false, SkipUnrecognizableLines: false, IgnoreInlineComment: true,
	}, data)
	if err != nil {
		return errors.Wrapf(err, "parse %s", name)
	}
	if err := rejectUnknownKeys(name, file, keys); err != nil {
		return err
	}
	for _, k := range keys {
		if err := setKey(file, k); err != nil {
			return errors.Errorf("%s: section [%s], key %s: %v", name, k.Section, k.Name, err)
		}
	}
	return nil
}

// setKey sets the field of k from the file, or to the default if the key is absent.
func setKey(file *ini.File, k Key) error {
	value := k.Default
	if section, err := file.GetSection(k.Section); err == nil && section.HasKey(k.Name) {
		value = strings.TrimSpace(section.Key(k.Name).String())
	}
	return k.set(value)
}

// rejectUnknownKeys returns an error if the file has a section or key that isn't
// in keys.
func rejectUnknownKeys(name string, file *ini.File, keys []Key) error {
	known := map[string]map[string]bool{}
	for _, k := range keys {
		if known[k.Section] == nil {
			known[k.Section] = map[string]bool{}
		}
		known[k.Section][k.Name] = true
	}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if known[section.Name()] == nil {
			return errors.Errorf("%s: section [%s] is unknown", name, section.Name())
		}
		for _, key := range section.Keys() {
			if !known[section.Name()][key.Name()] {
				return errors.Errorf("%s: section [%s], key %s: the key is unknown", name, section.Name(), key.Name())
			}
		}
	}
	return nil
}

// Reference returns all keys of Settings, for the reference table.
func Reference() []Key { return settingsKeys(&Settings{}) }

// Row returns the key as a row of the reference table in docs/configuration.md.
func (k Key) Row() string {
	cell := func(s string) string {
		if s == "" {
			return "-"
		}
		return s
	}
	return "| `" + k.Section + "." + k.Name + "` | " + k.Type + " | " + cell(k.Default) + " | " +
		cell(k.Range) + " | " + cell(k.Unit) + " | " + k.Doc + " |"
}
