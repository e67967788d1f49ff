//go:build !race

package rpsystem

const raceEnabled = false
