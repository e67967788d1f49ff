//go:build race

package rpsystem

const raceEnabled = true
