// Package defaults sets default values for settings.
package defaults

// Set assigns value to field if field has the zero value of its type.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
