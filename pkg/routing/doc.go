// Package routing chooses an upstream for each attempt of a request.
//
// A [Scheduler] runs [Filter]s over the candidates of a service, then a
// [Picker] that compares a few of the remaining ones by the weighted sum of
// [Scorer]s. Scores are expected seconds until the first byte (or an
// equivalent penalty in seconds); lower is better.
//
// Work is measured in work units: prompt tokens for model engines, calls for
// application services. Rates are work units per second.
//
// All types are safe for concurrent use unless their comment says otherwise.
// Errors are *result.Error with execution state "not run".
package routing
