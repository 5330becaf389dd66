package edge

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dogwoodrudder/dogwoodrudder/internal/bootclock"
	"github.com/dogwoodrudder/dogwoodrudder/pkg/crashguard"
)

// Guards against a fleet that sends requests with a known dangerous part again after all
// its machines lost power.
func TestCrashesAreKnownAfterALossOfPower(t *testing.T) {
	g := NewWithT(t)
	shared := newSharedStore()
	shared.put("op/config", []byte(`{"configVer":1,"routes":[],"services":[{"name":"s"}]}`))
	run := func() ([]*Daemon, context.CancelFunc) {
		var stopped sync.Map
		daemons := newFleet(t, 3, shared, &stopped)
		ctx, cancel := context.WithCancel(t.Context())
		for _, d := range daemons {
			d.runForTest(ctx)
			go func() { _ = d.keepCrashes(ctx) }() // ends with ctx
		}
		return daemons, cancel
	}
	refusing := func(daemons []*Daemon) func() int {
		return func() int {
			count := 0
			for _, d := range daemons {
				if refused, _ := d.crashGuard.Refuses(crashguard.Request{Service: "s", Account: "x", Parts: []string{"deadly"}}, false); refused {
					count++
				}
			}
			return count
		}
	}
	daemons, stop := run()
	g.Eventually(func() bool {
		return daemons[0].holder.Valid() || daemons[1].holder.Valid() || daemons[2].holder.Valid()
	}, 10*time.Second).Should(BeTrue())
	for i := range 3 {
		now := bootclock.Now()
		daemons[i].crashGuard.Crashed(uint64(i), now, []crashguard.Request{{Service: "s", Account: fmt.Sprint(i), Parts: []string{"deadly"}, Sent: now}})
		time.Sleep(5 * time.Millisecond) // the record has milliseconds
	}
	g.Eventually(refusing(daemons), 3*time.Second).Should(Equal(3))
	g.Eventually(func() bool {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		record, err := decodeCrashRecord(shared.items[crashesKey].Value)
		return err == nil && len(record.Parts) == 1 && len(record.Parts[0].Crashes) == 3
	}, 3*time.Second).Should(BeTrue())
	stop()

	daemons, stop = run()
	defer stop()
	g.Eventually(func() bool {
		for _, d := range daemons {
			if !d.state.fleet.Synced() {
				return false
			}
		}
		return true
	}, 10*time.Second, 5*time.Millisecond).Should(BeTrue())
	g.Expect(refusing(daemons)()).To(Equal(3), "before the first request")
}
