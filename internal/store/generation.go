package store

// generationShift is the number of bits of a revision within a generation.
//
// A store that is restored from an older copy gives out revisions again. An adapter
// therefore adds the generation of the store, which rises with each restore, above the bits
// of the store's own revisions. Revisions of different generations are never equal, and those
// of a later generation are higher.
const generationShift = 44

// MaxGeneration is the highest generation that fits into a revision.
const MaxGeneration = 1<<(63-generationShift) - 1

// Generation returns the generation of a revision.
func Generation(revision int64) int64 { return revision >> generationShift }

// InGeneration returns the revision for one that the store gave out in a generation. 0, which
// means none, stays 0.
func InGeneration(generation, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return generation<<generationShift | revision
}

// Local returns the revision that the store gave out.
func Local(revision int64) int64 { return revision & (1<<generationShift - 1) }

// CurrentGeneration returns the latest generation that s has seen, 0 if s doesn't
// distinguish generations.
func CurrentGeneration(s Store) int64 {
	if g, ok := s.(interface{ Generation() int64 }); ok {
		return g.Generation()
	}
	return 0
}
