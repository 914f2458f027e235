//go:build race

package faults

// raceEnabled reports whether the tests were built with the race detector.
const raceEnabled = true
