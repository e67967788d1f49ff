// Package rptoml decodes TOML into structs and reports all problems of a file
// at once, each with its line and key.
//
// # Usage
//
//	var settings Settings
//	report := rptoml.Decode(body, &settings)
//	rptoml.Require(report, "instance.name", `"entry-1"`)
//	rptoml.CheckRange(report, "limits.streams", settings.Limits.Streams, 1, 100000)
//	problems := report.Problems()
//
// Fields are matched by their toml tag; case matters. A field may be a struct,
// slice, string, int, int64, float64, bool or a type with UnmarshalText. If a
// key can't be decoded, only this problem is reported: later checks of the key,
// or of keys below it, add nothing.
//
// If UnmarshalText returns a TextError, the problem has the texts of its methods
// Wrong and Fix.
//
// Decode does not limit the size of the body; the caller has to.
package rptoml
