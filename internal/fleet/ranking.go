package fleet

import "math"

// Constants of the FNV-1a hash with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fnvAdd returns the FNV-1a hash of the hashed text followed by text.
func fnvAdd(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// affinityHash returns the part of rendezvousHash that depends on the affinity key.
func affinityHash(key string) uint64 { return fnvAdd(fnvOffset, key) * fnvPrime }

// rendezvousHash returns the hash by which an instance ranks for an affinity key: that of
// the key, a zero byte and the ID.
func rendezvousHash(keyHash uint64, id string) uint64 {
	x := fnvAdd(keyHash, id)
	// Mix the bits with steps of the MurmurHash3 finaliser.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// rank returns the value by which the instance ranks, given its hash. With weights, the
// share of the keys for which an instance ranks first is proportional to its weight
// (weighted rendezvous hashing). With equal weights, the order is that of the hashes.
func rank(hash uint64, i *Instance, weighted bool) float64 {
	if !weighted {
		return float64(hash)
	}
	return i.weightInRanking() / -math.Log(fraction(hash))
}

// maxRank returns an upper bound of rank that takes less time, from ln(x) <= x-1.
func maxRank(hash uint64, i *Instance, weighted bool) float64 {
	if !weighted {
		return float64(hash)
	}
	return i.weightInRanking() / (1 - fraction(hash))
}

// fraction maps a hash to the range between 0 and 1, without both ends.
func fraction(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// weightInRanking returns the weight of the instance in the affinity ranking.
func (m measuredSpeed) weightInRanking() float64 {
	if m.rankWeight == 0 {
		return 1
	}
	return m.rankWeight
}

// shortestTwo holds the two instances with the shortest times of those added.
type shortestTwo struct {
	first         *Instance
	times         [2]float64
	known, second bool
}

func (t *shortestTwo) add(i *Instance, seconds float64) {
	switch {
	case !t.known || seconds < t.times[0]:
		t.second = t.known
		t.times[1] = t.times[0]
		t.first, t.times[0], t.known = i, seconds, true
	case !t.second || seconds < t.times[1]:
		t.times[1], t.second = seconds, true
	}
}

// without returns the shortest time of the instances other than i, or 0 if there is none.
func (t *shortestTwo) without(i *Instance) float64 {
	switch {
	case t.known && t.first != i:
		return t.times[0]
	case t.second:
		return t.times[1]
	}
	return 0
}
