//go:build !race

package faults

// raceEnabled says whether the race detector is on.
const raceEnabled = false
