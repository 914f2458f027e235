// Package defaults fills in settings that were left at their zero value.
package defaults

// Set sets a field that has its zero value.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
