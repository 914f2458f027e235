package rules

import (
	"strconv"
	"strings"
)

func nameAttr(name string, required bool, field func(Rule) *string) attribute {
	return attribute{
		name: name, expected: expectName, required: required,
		set: func(r Rule, v string) bool { *field(r) = v; return validName(v, "._-") },
		get: func(r Rule) string { return *field(r) },
	}
}

func modelAttr(field func(Rule) *string) attribute {
	return attribute{
		name: "model", expected: expectModel,
		set: func(r Rule, v string) bool { *field(r) = v; return validName(v, "._-/:") },
		get: func(r Rule) string { return *field(r) },
	}
}

func numberAttr(name, expected string, low, high, defaultValue int64, field func(Rule) *int64) attribute {
	return attribute{
		name: name, expected: expected,
		set: func(r Rule, v string) bool { return setNumber(field(r), v, low, high) },
		get: func(r Rule) string { return unlessDefault(*field(r), defaultValue) },
	}
}

// enumAttr returns an attribute with a fixed set of values. Unless it is required, the first value is the default.
func enumAttr[T ~string](name string, values []T, required bool, field func(Rule) *T) attribute {
	expected := make([]string, len(values))
	for i, v := range values {
		expected[i] = string(v)
	}
	return attribute{
		name: name, expected: "one of " + strings.Join(expected, ", "), required: required,
		set: func(r Rule, v string) bool {
			for _, known := range values {
				if v == string(known) {
					*field(r) = known
					return true
				}
			}
			return false
		},
		get: func(r Rule) string {
			if v := *field(r); required || v != values[0] {
				return string(v)
			}
			return ""
		},
	}
}

func boolAttr(name string, field func(Rule) *bool) attribute {
	return attribute{
		name: name, expected: expectYesNo,
		set: func(r Rule, v string) bool { *field(r) = v == "yes"; return v == "yes" || v == "no" },
		get: func(r Rule) string {
			if *field(r) {
				return "yes"
			}
			return ""
		},
	}
}

// setNumber accepts a number in its canonical spelling only, without a plus sign or leading zeros.
func setNumber(into *int64, v string, low, high int64) bool {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high || strconv.FormatInt(n, 10) != v {
		return false
	}
	*into = n
	return true
}

// unlessDefault formats a number, or returns "" for the default and for zero, the value of a field that a program has
// not set.
func unlessDefault(v, defaultValue int64) string {
	if v == defaultValue || v == 0 {
		return ""
	}
	return strconv.FormatInt(v, 10)
}

func validName(v, punctuation string) bool {
	if v == "" || len(v) > MaxName {
		return false
	}
	for i := range len(v) {
		c := v[i]
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && strings.IndexByte(punctuation, c) < 0 {
			return false
		}
	}
	return true
}

func validPath(v string) bool {
	if !strings.HasPrefix(v, "/") || len(v) > 1024 || strings.Contains(v, "//") {
		return false
	}
	for i := range len(v) {
		c := v[i]
		if c <= ' ' || c >= 0x7f || c == '?' || c == '*' && (i != len(v)-1 || v[i-1] != '/') {
			return false
		}
	}
	return true
}
