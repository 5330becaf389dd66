package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/dogwoodrudder/dogwoodrudder/pkg/client"
)

// callSizes are the rates in calls per second of one caller.
var callSizes = []int{1, 10, 100}

// measureClient counts the address lookups that pkg/client makes during six TTLs
// of the address list, on a fake clock.
func measureClient(r *run) error {
	for _, n := range callSizes {
		if err := measureLookups(r, n); err != nil {
			return errors.Wrapf(err, "%d calls a second", n)
		}
	}
	r.addLimit("client: lookups of a caller in each time to live", r.find("client.lookups").last(), 1, "lookups")
	return nil
}

func measureLookups(r *run, perSecond int) error {
	listener, err := listenOnLoopback()
	if err != nil {
		return err
	}
	var lookups atomic.Int64
	address := listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/address", func(w http.ResponseWriter, _ *http.Request) {
		lookups.Add(1)
		_, _ = fmt.Fprintf(w, `{"addresses":[%q],"ttlSeconds":%d}`, address, int(addressTTL.Seconds()))
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "{}") })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = s.Close() }()
	clock := clockwork.NewFakeClock()
	c, err := client.New(client.Options{Addresses: []string{address}, Key: callerKey(0), Clock: clock})
	if err != nil {
		return err
	}
	defer c.Close()
	const ttlPeriods = 6
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for range ttlPeriods * int(addressTTL/time.Second) {
		for range perSecond {
			if _, err := c.Call(ctx, client.Request{Method: http.MethodGet, Path: "/app/shop/stock/1"}); err != nil {
				return err
			}
		}
		clock.Advance(time.Second)
	}
	r.record("client.lookups", "calls/s of a caller", "lookups in each time to live of 10 s", float64(perSecond), float64(lookups.Load())/ttlPeriods)
	return nil
}
