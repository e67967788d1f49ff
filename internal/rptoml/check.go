package rptoml

import (
	"cmp"
	"fmt"
	"strconv"
)

// Require reports a missing key. The example is a value in TOML syntax, which
// the problem suggests.
func Require(r *Report, key, example string) {
	if r.Has(key) {
		return
	}
	r.Add(key, CodeKeyMissing, "The key is missing.", fmt.Sprintf("Write, for example, %s = %s.", lastPart(key), example))
}

// CheckRange reports a value that is less than low or greater than high. It
// ignores a key that is missing, because the default needs no check.
func CheckRange[T cmp.Ordered](r *Report, key string, value, low, high T) {
	if !r.Has(key) || (value >= low && value <= high) {
		return
	}
	fix := fmt.Sprintf("Write a value from %s to %s.", formatValue(low), formatValue(high))
	if low == high {
		fix = fmt.Sprintf("Write %s.", formatValue(low))
	}
	r.Add(key, CodeOutOfRange, fmt.Sprintf("The value %s is out of range.", formatValue(value)), fix)
}

// CheckCount reports a list with more entries than the limit.
func CheckCount(r *Report, key string, entries, limit int) {
	if entries <= limit {
		return
	}
	r.Add(key, CodeTooManyEntries, fmt.Sprintf("The list has %d entries.", entries), fmt.Sprintf("Write at most %d entries.", limit))
}

func formatValue[T any](value T) string {
	if f, ok := any(value).(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}

func lastPart(key string) string {
	parent := parentKey(key)
	if parent == "" {
		return key
	}
	return key[len(parent)+1:]
}
