package main

import (
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/pkg/errors"
)

// daemonSizes are the measured numbers of daemons: the current deployment, ten
// times as many, and the target.
var daemonSizes = []int{7, 70, 420}

func newAddresses(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.1.%d.%d:8080", i/256, i%256)
	}
	return addresses
}

// freeAddress returns a loopback address with a port that was free.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// waitListening waits until an address accepts connections.
func waitListening(address string) error {
	for range 100 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("no listener on %s after 100 attempts", address)
}

// liveHeapAndStacks returns the bytes of reachable objects and of stacks.
func liveHeapAndStacks() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
