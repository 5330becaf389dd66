package upstreams

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/config"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/health"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/object"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/result"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/routing"
)

// snapshot returns a configuration with a number of versions that have the same
// number of upstreams each.
func snapshot(versions, upstreamsPerVersion int) *config.Snapshot {
	objects := []*object.Object{{
		Kind: object.KindService, Metadata: object.Metadata{Name: "s"},
		Spec: &object.Service{Protocol: object.ProtocolOpenAI},
	}}
	for v := range versions {
		name := fmt.Sprintf("v%d", v)
		labels := map[string]string{"version": name}
		objects = append(objects, &object.Object{
			Kind: object.KindVersion, Metadata: object.Metadata{Name: name},
			Spec: &object.Version{Service: "s", Selector: name},
		}, &object.Object{
			Kind: object.KindUpstreamSelector, Metadata: object.Metadata{Name: name},
			Spec: &object.UpstreamSelector{Selector: object.Selector{MatchLabels: labels}},
		})
		for u := range upstreamsPerVersion {
			objects = append(objects, &object.Object{
				Kind:     object.KindUpstream,
				Metadata: object.Metadata{Name: fmt.Sprintf("%s-u%d", name, u), Labels: labels, Revision: 1},
				Spec:     &object.Upstream{Address: fmt.Sprintf("127.0.%d.%d:1", v, u), DataCentre: fmt.Sprintf("dc%d", u%3)},
			})
		}
	}
	return config.NewSnapshot(object.NewSet(1, objects...), "change")
}

func newDirectory(subset int) *Directory {
	return New(Options{
		Clock: clockwork.NewFakeClock(), Self: "d", DataCentre: "dc0", SubsetSize: subset,
		Log: slog.New(slog.DiscardHandler),
	})
}

// Guards against applying the subset size to each version separately. With many
// versions a daemon then used, and checked, every upstream of the fleet.
func TestSubsetSizeCoversAllVersions(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(64)
	d.Update(snapshot(4, 100))
	g.Expect(d.targets()).To(HaveLen(64))
	small := newDirectory(64)
	small.Update(snapshot(4, 10))
	g.Expect(small.targets()).To(HaveLen(40))
	many := newDirectory(64)
	many.Update(snapshot(20, 100))
	g.Expect(many.targets()).To(HaveLen(20 * minVersionSubset))
}

// Guards against more health checks per second than the limits for control traffic
// allow, and against upstreams that are never checked.
func TestChecksRotateOverUpstreams(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(64)
	d.Update(snapshot(1, 50))
	m := &Monitor{Directory: d, Interval: time.Second}
	seen := map[string]int{}
	for range 5 {
		targets := m.nextTargets()
		g.Expect(targets).To(HaveLen(maxChecksPerSecond))
		for _, target := range targets {
			seen[target.name]++
		}
	}
	g.Expect(seen).To(HaveLen(50))
	for name, n := range seen {
		g.Expect(n).To(Equal(2), name)
	}
}

// Guards against picking an upstream after its leaving notice, and against calling
// the OnNotice functions twice for the same upstream.
func TestLeavingUpstreamIsNotPicked(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory(64)
	d.Update(snapshot(1, 2))
	notices := 0
	d.OnNotice(func(Notice) { notices++ })
	request := routing.Request{Service: "s", Version: "v0", Class: object.ClassShort}
	attempt, err := d.Pick(context.Background(), request)
	g.Expect(err).NotTo(HaveOccurred())
	leave := Notice{Upstream: attempt.Name, Signal: health.SignalReclaim}
	d.Leave(leave)
	d.Leave(leave)
	g.Expect(notices).To(Equal(1))
	g.Expect(attempt.Leaving).To(BeClosed())
	for range 20 {
		other, err := d.Pick(context.Background(), request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(other.Name).NotTo(Equal(attempt.Name))
		other.End(FailureNone)
	}
	for _, name := range []string{"v0-u0", "v0-u1"} {
		d.Leave(Notice{Upstream: name, Signal: health.SignalReclaim})
	}
	_, err = d.Pick(context.Background(), request)
	g.Expect(result.From(err).Execution).To(Equal(result.NotRun))
}
