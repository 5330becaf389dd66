package fleet

// Constraint withholds requests from some of the instances for a time, for example
// because their data centre is evacuated or because they have just started. The set
// calls both methods while it holds its lock: they must not block, and must not call the
// set.
type Constraint interface {
	// Allows reports whether a request may be sent to the instance now. Pick calls it
	// for every candidate of every request.
	Allows(d *Description) bool
	// Reserve records that Pick has chosen the instance for a request.
	Reserve(d *Description)
}
