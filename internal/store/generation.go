package store

// generationShift is the number of bits of a revision or lease ID within a generation.
//
// A store that is restored from an older copy gives out revisions and lease IDs again. An
// adapter therefore adds the generation of the store, which rises with each restore, above
// the bits of the store's own numbers. Numbers of different generations are never equal, and
// those of a later generation are higher.
const generationShift = 40

// MaxGeneration is the highest generation that fits into a revision.
const MaxGeneration = 1<<(63-generationShift) - 1

// Generation returns the generation of a revision or lease ID.
func Generation[T ~int64](number T) int64 { return int64(number) >> generationShift }

// InGeneration returns the revision or lease ID for a number that the store gave out in a
// generation. 0, which means none, stays 0.
func InGeneration[T ~int64](generation int64, number T) T {
	if number == 0 {
		return 0
	}
	return T(generation<<generationShift) | number
}

// Local returns the number that the store gave out.
func Local[T ~int64](number T) T { return number & (1<<generationShift - 1) }

// CurrentGeneration returns the latest generation that s has seen, 0 if s doesn't
// distinguish generations.
func CurrentGeneration(s Store) int64 {
	if g, ok := s.(interface{ Generation() int64 }); ok {
		return g.Generation()
	}
	return 0
}
