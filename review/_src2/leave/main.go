// Command leave shows requests that reach a worker long after its entry was removed,
// because the daemon that had held back the removal was stopped.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodrudder/dogwoodrudder/review/_src2/rig"
)

const (
	cutTime = 500 * time.Millisecond // the sheet's partitions from the store last up to 5.5 s
	// announceAt, leaveAt and stopAt count from the start of the partition. A worker is
	// replaced: the new one is announced first.
	announceAt = 1500 * time.Millisecond
	leaveAt    = 1750 * time.Millisecond
	stopAt     = 2400 * time.Millisecond
	// exitAfter is how long the worker serves after its entry was removed: drainMs and
	// many seconds, as the pages allow.
	exitAfter    = 8 * time.Second
	sendInterval = 40 * time.Millisecond // for each daemon
	workTime     = 200 * time.Millisecond
)

func main() {
	broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	}
	if broken {
		os.Exit(1)
	}
}

func run(folder string, trouble bool) (bool, error) {
	record, err := rig.NewRecord(folder)
	if err != nil {
		return false, err
	}
	d, err := rig.New(record)
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, zone := range []string{"a", "a", "b", "b", "c"} {
		if _, err := d.AddDaemon(zone); err != nil {
			return false, err
		}
	}
	d.Store.Put("op/config", rig.Config(1))
	var workers []*rig.Worker
	for i, zone := range []string{"a", "b", "c"} {
		w, err := rig.StartWorker(fmt.Sprintf("i-%d", i+1), "ledger", workTime)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
		d.Store.Put("servers/"+w.ID, w.Entry(zone, "ready"))
	}
	if err := d.StartAll(); err != nil {
		return false, err
	}
	holder := d.Holder()
	client, stop := &rig.Client{}, make(chan struct{})
	var clients sync.WaitGroup
	for _, each := range d.Daemons {
		if each == holder { // its callers are of no interest: it is cut off and stopped
			continue
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			ticker := time.NewTicker(sendInterval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					clients.Add(1)
					go func() {
						defer clients.Done()
						client.Send(each, "POST", "/orders/1", []byte("{}"))
					}()
				}
			}
		}()
	}
	time.Sleep(rig.ContactTime + time.Second)

	began := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	if trouble {
		record.Say("%s, which holds the duty, is partitioned from the store for %s", holder.Name, cutTime)
		holder.ToStore.Cut()
		until(cutTime)
		holder.ToStore.Heal()
		record.Printf("the partition ends")
	}
	until(announceAt)
	added, err := rig.StartWorker("i-4", "ledger", workTime)
	if err != nil {
		return false, err
	}
	workers = append(workers, added)
	d.Store.Put("servers/"+added.ID, added.Entry("a", "ready"))
	record.Say("%s is announced", added.ID)
	until(leaveAt)
	if d.Holder() != holder {
		return false, fmt.Errorf("%s lost the duty in the partition", holder.Name)
	}
	leaving := workers[0]
	d.Store.Delete("servers/" + leaving.ID)
	left := time.Now()
	record.Say("the entry of %s is removed; the store has acknowledged it", leaving.ID)
	until(stopAt)
	record.Say("SIGTERM to %s", holder.Name)
	holder.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(left.Add(exitAfter)))
	leaving.Exit()
	exited := time.Now()
	record.Say("%s exits", leaving.ID)
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	<-holder.Exited()

	if os.Getenv("LOGS") != "" {
		fmt.Println(holder.Log())
		for _, each := range d.Daemons {
			if each != holder {
				fmt.Println(each.Log())
				break
			}
		}
	}
	sent := map[string]rig.Answer{}
	for _, a := range client.Answers() {
		sent[a.ID] = a
		record.Printf("sent %.3f s after the removal to %s: %s, answer %d %q", a.Sent.Sub(left).Seconds(), a.Daemon, a.ID, a.Status, a.Body)
	}
	late, last := 0, time.Duration(0)
	for _, w := range workers {
		for _, run := range w.Arrivals() {
			record.Printf("%s runs %s %.3f s after the removal", w.ID, run.RequestID, run.At.Sub(left).Seconds())
			if after := run.At.Sub(left); w == leaving && after > rig.DrainTime {
				late, last = late+1, max(last, after)
			}
		}
	}
	lost := 0
	for _, run := range leaving.Arrivals() {
		if a := sent[run.RequestID]; run.At.Sub(left) > rig.DrainTime && a.Status != 200 {
			lost++
			record.Printf("lost: %s reached %s %.3f s after the removal, and its client got %d", run.RequestID, leaving.ID, run.At.Sub(left).Seconds(), a.Status)
		}
	}
	record.Say("%d requests reached %s later than %s after its removal, the last one %s after it; it ran until %s after it; %d of them ended without a success",
		late, leaving.ID, rig.DrainTime, last.Round(time.Millisecond), exited.Sub(left).Round(time.Millisecond), lost)
	return late > 0, nil
}
