package rptoml

import (
	"cmp"
	"fmt"
	"strconv"
)

// Require reports a missing key. The example is the value as TOML writes it.
func Require(r *Report, key, example string) {
	if r.Has(key) {
		return
	}
	r.Add(key, CodeKeyMissing, "The key is missing.", fmt.Sprintf("Write, for example, %s = %s.", lastPart(key), example))
}

// Between reports a value that is out of range. A key that the file lacks has
// its default, which needs no check.
func Between[T cmp.Ordered](r *Report, key string, value, low, high T) {
	if !r.Has(key) || (value >= low && value <= high) {
		return
	}
	fix := fmt.Sprintf("Write a value from %s to %s.", show(low), show(high))
	if low == high {
		fix = fmt.Sprintf("Write %s.", show(low))
	}
	r.Add(key, CodeOutOfRange, fmt.Sprintf("The value %s is out of range.", show(value)), fix)
}

// Count reports a list with too many entries.
func Count(r *Report, key string, entries, limit int) {
	if entries <= limit {
		return
	}
	r.Add(key, CodeTooManyEntries, fmt.Sprintf("The list has %d entries.", entries), fmt.Sprintf("Write at most %d entries.", limit))
}

func show[T any](value T) string {
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
