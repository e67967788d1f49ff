// Package rptoml decodes TOML into structs and reports every problem of a file
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
// Fields are matched by their toml tag, with exact case. Destinations may be
// structs, slices, strings, whole numbers, float64, bool and types with
// UnmarshalText. A key that does not decode is reported once; later checks of
// it or of anything below it add nothing.
//
// An error of UnmarshalText that has the methods Wrong and Fix of TextError is
// reported in these words.
//
// The caller bounds the size of the body.
package rptoml
