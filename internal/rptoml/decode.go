package rptoml

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// TextError is an error of UnmarshalText that provides the texts of the problem.
type TextError interface {
	error
	// Wrong returns a sentence about what is wrong.
	Wrong() string
	// Fix returns a sentence about what to write instead.
	Fix() string
}

// Decode decodes a TOML file into the struct that dest points to. Fields whose
// keys are missing keep their values.
func Decode(body []byte, dest any) *Report {
	r := newReport()
	tree := map[string]any{}
	if err := toml.Unmarshal(body, &tree); err != nil {
		r.addSyntaxError(err)
		return r
	}
	r.lines = indexLines(body)
	d := decoder{report: r}
	d.decodeTable("", tree, reflect.ValueOf(dest).Elem())
	return r
}

func (r *Report) addSyntaxError(err error) {
	r.unreadable = true
	line := 1
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	r.problems = append(r.problems, Problem{
		Code:  CodeTOMLInvalid,
		Line:  line,
		Wrong: fmt.Sprintf("The file is not valid TOML: %s.", Shorten(strings.TrimPrefix(err.Error(), "toml: "))),
		Fix:   "Correct this line and check the file again.",
	})
}

// decoder sets struct fields from decoded TOML and reports keys that do not fit.
type decoder struct {
	report *Report
}

func (d decoder) decodeValue(key string, raw any, dest reflect.Value) {
	if text, ok := dest.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(key, raw, text)
		return
	}
	switch dest.Kind() {
	case reflect.Struct:
		if table, ok := raw.(map[string]any); ok {
			d.decodeTable(key, table, dest)
			return
		}
		d.addWrongType(key, raw, fmt.Sprintf("Write a table with the header [%s].", key))
	case reflect.Slice:
		d.decodeList(key, raw, dest)
	case reflect.Float64:
		d.decodeFloat(key, raw, dest)
	case reflect.Int, reflect.Int64:
		d.decodeInt(key, raw, dest)
	case reflect.Bool:
		d.decodeScalar(key, raw, dest, "Write true or false, without quotes.")
	case reflect.String:
		d.decodeScalar(key, raw, dest, "Write a string in double quotes.")
	default:
		panic(fmt.Sprintf("rptoml: %s has the unsupported type %s", key, dest.Type()))
	}
}

func (d decoder) decodeTable(key string, table map[string]any, dest reflect.Value) {
	fields := fieldsByName(dest)
	for _, name := range sortedKeys(table) {
		field, ok := fields[name]
		if !ok {
			d.report.addDecodeFailure(joinKey(key, name), CodeKeyUnknown, "The key is unknown here.", unknownKeyFix(fields))
			continue
		}
		d.decodeValue(joinKey(key, name), table[name], field)
	}
}

func (d decoder) decodeList(key string, raw any, dest reflect.Value) {
	entries, ok := raw.([]any)
	if !ok {
		d.addWrongType(key, raw, listFix(key, dest.Type().Elem()))
		return
	}
	list := reflect.MakeSlice(dest.Type(), len(entries), len(entries))
	for i := range entries {
		d.decodeValue(fmt.Sprintf("%s[%d]", key, i), entries[i], list.Index(i))
	}
	dest.Set(list)
}

func listFix(key string, entry reflect.Type) string {
	if entry.Kind() == reflect.Struct {
		return fmt.Sprintf("Write one table with the header [[%s]] for each entry.", key)
	}
	return "Write a list in square brackets."
}

func (d decoder) decodeScalar(key string, raw any, dest reflect.Value, fix string) {
	value := reflect.ValueOf(raw)
	if value.Kind() != dest.Kind() {
		d.addWrongType(key, raw, fix)
		return
	}
	dest.Set(value.Convert(dest.Type()))
}

func (d decoder) decodeInt(key string, raw any, dest reflect.Value) {
	n, ok := raw.(int64)
	if !ok {
		d.addWrongType(key, raw, "Write a whole number, without quotes.")
		return
	}
	if dest.OverflowInt(n) {
		d.report.addDecodeFailure(key, CodeOutOfRange, "The number is too large.", "Write a smaller number.")
		return
	}
	dest.SetInt(n)
}

// decodeFloat also accepts whole numbers, so that 10 and 10.0 are the same.
func (d decoder) decodeFloat(key string, raw any, dest reflect.Value) {
	switch n := raw.(type) {
	case int64:
		dest.SetFloat(float64(n))
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			d.report.addDecodeFailure(key, CodeValueInvalid, "The value is not a finite number.", "Write a number such as 0.5.")
			return
		}
		dest.SetFloat(n)
	default:
		d.addWrongType(key, raw, "Write a number such as 0.5, without quotes.")
	}
}

func (d decoder) decodeText(key string, raw any, dest encoding.TextUnmarshaler) {
	s, ok := raw.(string)
	if !ok {
		d.addWrongType(key, raw, textFix(raw, dest))
		return
	}
	if err := dest.UnmarshalText([]byte(s)); err != nil {
		wrong, fix := describeError(err)
		d.report.addDecodeFailure(key, CodeValueInvalid, wrong, fix)
	}
}

// textFix returns what to write instead of a value that is not a string. A
// number or boolean is tried as a string: if the type refuses that too, its own
// advice is more helpful than the advice to add quotes.
func textFix(raw any, dest encoding.TextUnmarshaler) string {
	switch raw.(type) {
	case int64, float64, bool:
	default:
		return "Write a string in double quotes."
	}
	if err := dest.UnmarshalText(fmt.Append(nil, raw)); err != nil {
		_, fix := describeError(err)
		return fix
	}
	return "Write the value in double quotes."
}

func describeError(err error) (wrong, fix string) {
	var text TextError
	if errors.As(err, &text) {
		return text.Wrong(), text.Fix()
	}
	return fmt.Sprintf("The value can't be read: %s.", Shorten(err.Error())), "Correct the value."
}

func (d decoder) addWrongType(key string, raw any, fix string) {
	d.report.addDecodeFailure(key, CodeTypeWrong, fmt.Sprintf("The value is %s.", typeName(raw)), fix)
}

func typeName(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case int64:
		return "a whole number"
	case float64:
		return "a number with a fraction"
	case bool:
		return "true or false"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	case time.Time, toml.LocalDate, toml.LocalTime, toml.LocalDateTime:
		return "a date or time"
	}
	return "of another type"
}

func fieldsByName(dest reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range dest.NumField() {
		name := dest.Type().Field(i).Tag.Get("toml")
		if name != "" && name != "-" {
			fields[name] = dest.Field(i)
		}
	}
	return fields
}

func unknownKeyFix(fields map[string]reflect.Value) string {
	return fmt.Sprintf("Remove it, or write one of: %s.", strings.Join(sortedKeys(fields), ", "))
}

func sortedKeys[V any](table map[string]V) []string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
