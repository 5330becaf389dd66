package main

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// batches is the number of batches of calls. The median over them is taken,
// because other work on the machine disturbs single batches.
const batches = 5

// cost is the processor time and the allocations of one call of a function.
type cost struct {
	cpu    time.Duration // of the whole process, with garbage collection
	allocs float64
	bytes  float64 // allocated
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// perCall returns the median cost of f over batches of n calls.
func perCall(n int, f func(i int)) cost {
	var times []time.Duration
	var allocs, bytes []float64
	for batch := range batches {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := processTime()
		for i := range n {
			f(batch*n + i)
		}
		times = append(times, (processTime()-start)/time.Duration(n))
		runtime.ReadMemStats(&after)
		allocs = append(allocs, float64(after.Mallocs-before.Mallocs)/float64(n))
		bytes = append(bytes, float64(after.TotalAlloc-before.TotalAlloc)/float64(n))
	}
	return cost{median(times), median(allocs), median(bytes)}
}

func median[T time.Duration | float64](values []T) T {
	slices.Sort(values)
	return values[len(values)/2]
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// liveHeap returns the bytes of reachable objects.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapGrowth returns the bytes that build adds to the live heap. The value that
// build returns is kept reachable until the measurement ends.
func heapGrowth(build func() any) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return max(0, after-before)
}
