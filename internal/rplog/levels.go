package rplog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// DefaultLevel is the level of parts that have none of their own.
const DefaultLevel = zerolog.InfoLevel

// levelNames lists the levels that an operator can choose, the most detailed
// first.
var levelNames = []string{"debug", "info", "warn", "error", "off"}

// Levels holds the level of each part. Its zero value is DefaultLevel for all.
type Levels struct {
	base  zerolog.Level
	set   bool
	parts map[string]zerolog.Level
}

// Of returns the level of a part.
func (l Levels) Of(part string) zerolog.Level {
	if level, ok := l.parts[part]; ok {
		return level
	}
	if l.set {
		return l.base
	}
	return DefaultLevel
}

// ParseLevels reads a flag such as "warn,requests=debug,replicas=info". An
// entry without a part is the level of all other parts.
func ParseLevels(flag string) (Levels, error) {
	var levels Levels
	for entry := range strings.SplitSeq(flag, ",") {
		if entry = strings.TrimSpace(entry); entry == "" {
			continue
		}
		if err := levels.addEntry(entry); err != nil {
			return Levels{}, err
		}
	}
	return levels, nil
}

// Override returns the levels with those of other in front of them.
func (l Levels) Override(other Levels) Levels {
	merged := Levels{base: l.base, set: l.set, parts: map[string]zerolog.Level{}}
	if other.set {
		merged.base, merged.set = other.base, true
	}
	for _, parts := range []map[string]zerolog.Level{l.parts, other.parts} {
		for part, level := range parts {
			merged.parts[part] = level
		}
	}
	return merged
}

func (l *Levels) addEntry(entry string) error {
	part, name, ok := strings.Cut(entry, "=")
	if !ok {
		part, name = "", entry
	}
	level, err := parseLevel(name)
	if err != nil {
		return err
	}
	if !ok {
		l.base, l.set = level, true
		return nil
	}
	return l.setPart(part, level)
}

func (l *Levels) setPart(part string, level zerolog.Level) error {
	if !isPart(part) {
		return UnknownPartError{Name: part}
	}
	if l.parts == nil {
		l.parts = map[string]zerolog.Level{}
	}
	l.parts[part] = level
	return nil
}

func parseLevel(name string) (zerolog.Level, error) {
	if !slices.Contains(levelNames, name) {
		return zerolog.NoLevel, UnknownLevelError{Name: name}
	}
	if name == "off" {
		return zerolog.Disabled, nil
	}
	return zerolog.ParseLevel(name)
}

// UnknownPartError reports a part that does not exist.
type UnknownPartError struct {
	Name string
}

func (e UnknownPartError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong says what is wrong.
func (e UnknownPartError) Wrong() string { return fmt.Sprintf("%q is not a part of the log.", e.Name) }

// Fix says what to write instead.
func (e UnknownPartError) Fix() string {
	return fmt.Sprintf("Write one of: %s.", strings.Join(partNames(), ", "))
}

// UnknownLevelError reports a level that does not exist.
type UnknownLevelError struct {
	Name string
}

func (e UnknownLevelError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong says what is wrong.
func (e UnknownLevelError) Wrong() string { return fmt.Sprintf("%q is not a level.", e.Name) }

// Fix says what to write instead.
func (e UnknownLevelError) Fix() string {
	return fmt.Sprintf("Write one of: %s.", strings.Join(levelNames, ", "))
}
