package object

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
)

var keyHash = "sha256:" + strings.Repeat("0a", 32)

const configTemplate = `# comment
kind: Service
metadata: {name: chat}
spec: {protocol: openai, timeout: 1.5s, retryPercent: 20}
---
kind: Service
metadata: {name: stock}
spec:
  protocol: http
  operations: [{name: get, method: GET, path: /items/*, idempotent: true}]
---
kind: Version
metadata: {name: v1}
spec: {service: chat, selector: gold}
---
{"kind": "Version", "metadata": {"name": "v2"}, "spec": {"service": "chat", "selector": "gold"}}
---
kind: ClientAccount
metadata: {name: shop, labels: {tier: gold}}
spec: {role: caller, keyHashes: ["` + "%HASH%" + `"]}
---
kind: Upstream
metadata: {name: u1, labels: {pool: gold}}
spec: {address: "10.0.0.1:8000", dataCentre: dc1}
---
kind: UpstreamSelector
metadata: {name: gold}
spec: {selector: {matchLabels: {pool: gold}}}
---
kind: Route
metadata: {name: all}
spec: {service: chat, shares: [{version: v1, percent: 99.5}, {version: v2, percent: 0.5}]}
---
kind: Route
metadata: {name: vip}
spec: {service: chat, priority: 5, accounts: {matchLabels: {tier: gold}}, shares: [{version: v1, percent: 100}]}
---
kind: Move
metadata: {name: m1}
spec: {service: chat, from: v1, to: v2, start: 2030-01-01T00:00:00Z, deadline: 2030-01-01T06:00:00Z, steps: [{after: 0s, percent: 5}, {after: 1h, percent: 50}]}
`

func validConfig() string { return strings.ReplaceAll(configTemplate, "%HASH%", keyHash) }

// Guards against fields that are lost or misread, and against refusing any of the
// supported formats.
func TestDecodeReadsYAMLAndJSON(t *testing.T) {
	g := gomega.NewWithT(t)
	objects, err := Decode("a.yaml", []byte(validConfig()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(objects).To(gomega.HaveLen(10))
	set := NewSet(1, objects...)
	g.Expect(set.Validate()).To(gomega.Succeed())
	service, _, ok := Lookup[*Service](set, KindService, "chat")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(time.Duration(service.Timeout)).To(gomega.Equal(1500 * time.Millisecond))
	encoded, err := EncodeYAML(objects...)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	again, err := Decode("b.yaml", encoded)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(objects))
	selectorFormat := `{"kind":"UpstreamSelector","metadata":{"name":"%s"},"spec":{"selector":{}}}`
	for _, text := range []string{
		"[" + fmt.Sprintf(selectorFormat, "a") + ",\n" + fmt.Sprintf(selectorFormat, "b") + "]",
		fmt.Sprintf(selectorFormat, "a") + "\n" + fmt.Sprintf(selectorFormat, "b"),
		"---\n" + fmt.Sprintf(selectorFormat, "a") + "\n...\n---\n# nothing\n---\n" + fmt.Sprintf(selectorFormat, "b"),
	} {
		objects, err := Decode("c.json", []byte(text))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(objects).To(gomega.HaveLen(2))
	}
}

// Guards against errors that do not tell the operator what to correct.
func TestDecodeErrorsNameFileObjectAndField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"timeout: 1.5s", "timeuot: 1.5s", `document 1: Service/chat: spec: json: unknown field "timeuot"`},
		{"timeout: 1.5s", "timeout: 3", `Service/chat: spec`},
		{"timeout: 1.5s", "timeout: 1.5s, timeout: 2s", "already set"},
		{"retryPercent: 20", "retryPercent: x", "Service/chat: spec: retryPercent: cannot use string"},
		{"retryPercent: 20", "retryPercent: 21", "Service/chat: spec.retryPercent: 21 must be 0 to 20"},
		{"{name: chat}", "{name: Chat}", `Service/Chat: metadata.name: "Chat"`},
		{"{name: chat}", "{name: chat, colour: red}", `Service/chat: json: unknown field "colour"`},
		{"kind: Move", "kind: Motion", `Motion/m1: kind: "Motion"`},
		{"10.0.0.1:8000", "gold.example:8000", `Upstream/u1: spec.address: "gold.example:8000" must be ip:port`},
		{keyHash, "sha256:00", "ClientAccount/shop: spec.keyHashes: entry 1"},
		{"percent: 0.5", "percent: -1", "Route/all: spec.shares.percent: -1"},
		{"percent: 0.5", "percent: 101", "Route/all: spec.shares.percent: 101"},
		{"percent: 0.5", "percent: 0.4", "Route/all: spec.shares: add up to 99.9"},
		{"percent: 5}", "percent: 5.1}", "Move/m1: spec.steps.percent: 5.1 of the first step must be at most 5"},
		{"deadline: 2030", "deadline: 2029", "Move/m1: spec.deadline: 2029-01-01T06:00:00Z is not after"},
		{"method: GET", "method: FETCH", "Service/stock: spec.operations.method"},
		{"labels: {pool: gold}", "labels: {-pool: gold}", `Upstream/u1: metadata.labels: key "-pool"`},
		{"labels: {pool: gold}", "labels: {pool: a b}", `Upstream/u1: metadata.labels: value "a b"`},
		{"name: v1}", "name: v2}", "Version/v2: metadata.name: the file contains this object twice"},
	} {
		g := gomega.NewWithT(t)
		text := strings.Replace(validConfig(), c.old, c.new, 1)
		_, err := Decode("fleet.yaml", []byte(text))
		g.Expect(result.CodeOf(err)).To(gomega.Equal(result.InvalidObject), c.new)
		g.Expect(err.Error()).To(gomega.ContainSubstring("fleet.yaml"))
		g.Expect(err.Error()).To(gomega.ContainSubstring(c.want))
	}
}

// Guards against accepting sets of objects whose references or overlaps are invalid.
func TestValidateRefusesInvalidSets(t *testing.T) {
	for _, c := range []struct {
		old, new string
		code     result.Code
		want     string
	}{
		{"selector: gold", "selector: golden", result.ReferenceBroken, "Version/v1: spec.selector: UpstreamSelector/golden does not exist"},
		{"service: chat, shares", "service: chatt, shares", result.ReferenceBroken, "Route/all: spec.service"},
		{"version: v1, percent: 99.5", "version: v9, percent: 99.5", result.ReferenceBroken, "Route/all: spec.shares.version: Version/v9"},
		{"name: v1}\nspec: {service: chat", "name: v1}\nspec: {service: stock", result.ReferenceBroken, `belongs to service "stock"`},
		{"matchLabels: {pool: gold}", "matchLabels: {poll: gold}", result.ReferenceBroken, `unknown label: no object carries the label key "poll"`},
		{"priority: 5", "priority: 0", result.SelectorConflict, "Route/vip: spec.priority: Route/all has the same priority 0"},
		{"priority: 5", "priority: 5, operation: sell", result.ReferenceBroken, `has no operation "sell"`},
		{"from: v1", "from: v0", result.ReferenceBroken, "Move/m1: spec.from: Version/v0"},
		{"start: 2030", "route: none, start: 2030", result.ReferenceBroken, "Move/m1: spec.route: Route/none"},
		{"kind: Move", "kind: Move\nmetadata: {name: m0}\nspec: {service: chat, from: v1, to: v2, start: 2030-01-01T05:00:00Z, deadline: 2030-01-02T00:00:00Z}\n---\nkind: Move",
			result.MoveConflict, "Move/m1: spec.start: Move/m0 of service \"chat\" is open and overlaps"},
		{"kind: ClientAccount", "kind: ClientAccount\nmetadata: {name: a}\nspec: {role: operator, keyHashes: [\"" + keyHash + "\"]}\n---\nkind: ClientAccount",
			result.InvalidObject, "ClientAccount/shop: spec.keyHashes: entry 1 also belongs to ClientAccount/a"},
	} {
		g := gomega.NewWithT(t)
		objects, err := Decode("f", []byte(strings.Replace(validConfig(), c.old, c.new, 1)))
		g.Expect(err).NotTo(gomega.HaveOccurred(), c.new)
		err = NewSet(1, objects...).Validate()
		g.Expect(result.CodeOf(err)).To(gomega.Equal(c.code), "%s: %v", c.new, err)
		g.Expect(err.Error()).To(gomega.ContainSubstring(c.want))
	}
}

// Guards against refusing every later change because the deadline of a move has
// passed.
func TestPastDeadlineMattersOnlyWhenOpened(t *testing.T) {
	g := gomega.NewWithT(t)
	objects, err := Decode("f", []byte(validConfig()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	move := objects[len(objects)-1]
	before, after := NewSet(1, objects[:len(objects)-1]...), NewSet(2, objects...)
	afterDeadline := time.Date(2031, 1, 1, 0, 0, 0, 0, time.UTC)
	err = after.ValidateChange(before, []Ref{move.Ref()}, afterDeadline)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("Move/m1: spec.deadline: 2030-01-01T06:00:00Z is in the past")))
	g.Expect(after.ValidateChange(after, []Ref{move.Ref()}, afterDeadline)).To(gomega.Succeed())
	g.Expect(after.ValidateChange(before, []Ref{move.Ref()}, afterDeadline.AddDate(-2, 0, 0))).To(gomega.Succeed())
}

func drawSelector(t *rapid.T) Selector {
	var s Selector
	for range rapid.IntRange(0, 3).Draw(t, "requirements") {
		r := Requirement{
			Key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
			Operator: rapid.SampledFrom([]Operator{OpIn, OpNotIn, OpExists, OpNotExists}).Draw(t, "operator"),
		}
		if r.Operator == OpIn || r.Operator == OpNotIn {
			r.Values = rapid.SliceOfN(rapid.SampledFrom([]string{"1", "2", "3"}), 1, 2).Draw(t, "values")
		}
		s.MatchExpressions = append(s.MatchExpressions, r)
	}
	return s
}

// Guards against undetected overlaps of selectors, and against reported overlaps that
// do not exist, by comparison with an exhaustive search over label sets.
func TestOverlapsEqualsExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left, right := drawSelector(t), drawSelector(t)
		want := false
		for _, a := range []string{"", "1", "2", "3", "other"} {
			for _, b := range []string{"", "1", "2", "3", "other"} {
				labels := map[string]string{"a": a, "b": b}
				for key, value := range labels {
					if value == "" {
						delete(labels, key)
					}
				}
				want = want || left.Matches(labels) && right.Matches(labels)
			}
		}
		if got := left.Overlaps(right); got != want {
			t.Fatalf("Overlaps returns %v, exhaustive search %v", got, want)
		}
	})
}

// Guards against differences between incremental and full validation.
func TestValidateChangeEqualsValidate(t *testing.T) {
	objects, err := Decode("f", []byte(validConfig()))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet(1, objects...)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			o := *rapid.SampledFrom(objects).Draw(t, "object")
			ref := o.Ref()
			next := set.With(set.Revision+1, nil, []Ref{ref})
			if rapid.Bool().Draw(t, "put") {
				o.Metadata.Labels = rapid.SampledFrom([]map[string]string{nil, {"pool": "x"}, {"tier": "y"}, {"pool": "", "tier": ""}}).Draw(t, "labels")
				next = set.With(set.Revision+1, []*Object{&o}, nil)
			}
			full, incremental := next.Validate(), next.ValidateChange(set, []Ref{ref}, time.Unix(0, 0))
			if fmt.Sprint(full) != fmt.Sprint(incremental) {
				t.Fatalf("Validate: %v, ValidateChange: %v", full, incremental)
			}
			if full == nil {
				set = next
			}
		}
	})
}
