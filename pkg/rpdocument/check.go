package rpdocument

import (
	"fmt"
	"math"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// floorTolerance is the rounding error allowed in the sum of the floors.
const floorTolerance = 1e-9

func (c checker) checkService() {
	rptoml.Require(c.report, "format", fmt.Sprint(Format))
	rptoml.CheckRange(c.report, "format", c.doc.Format, Format, Format)
	c.checkName("service", c.doc.Service, `"mixadvies"`)
	c.checkName("team", c.doc.Team, `"counter"`)
	rptoml.Require(c.report, "editors", `["<SHA-256 sum of a credential>"]`)
	if c.report.Has("editors") && len(c.doc.Editors) == 0 {
		c.report.Add("editors", rptoml.CodeListEmpty, "The list is empty, so nobody could change the document.",
			"Write the SHA-256 sum of at least one credential.")
	}
}

// checkName checks a name or version, which must be present.
func (c checker) checkName(key, name, example string) {
	rptoml.Require(c.report, key, example)
	if !c.report.Has(key) || ValidName(name) {
		return
	}
	c.report.Add(key, rptoml.CodeNameInvalid, fmt.Sprintf("%q is not allowed as a name.", rptoml.Shorten(name)), fmt.Sprintf(
		"Write 1 to %d characters: a-z, 0-9, dot, underscore or hyphen. The first is a-z or 0-9.", MaxNameLength))
}

// ValidName reports whether name is allowed as the name of a service, team,
// model or adapter, or as a version.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength || strings.ContainsRune("._-", rune(name[0])) {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789._-") == ""
}

func (c checker) checkCredentials(key string, sums []string) {
	rptoml.CheckCount(c.report, key, len(sums), MaxCredentials)
	seen := map[string]int{}
	for i, sum := range sums {
		entry := fmt.Sprintf("%s[%d]", key, i)
		if !ValidSum(sum) {
			c.report.Add(entry, rptoml.CodeSumInvalid, "The value is not a SHA-256 sum.",
				"Write the 64 characters 0-9 and a-f that sha256sum prints for the credential.")
			continue
		}
		c.checkUnique(entry, sum[:12], "credential", seen, sum)
	}
}

// ValidSum reports whether sum is a SHA-256 sum in lower-case hex.
func ValidSum(sum string) bool {
	const sumLength = 64
	return len(sum) == sumLength && strings.Trim(sum, "0123456789abcdef") == ""
}

// checkUnique adds a problem if the name was declared before, and otherwise
// records the name. seen maps each name to the line of its first declaration.
// The text of the problem contains what, the kind of the declared thing, and
// label, a readable form of its name.
func (c checker) checkUnique(key, label, what string, seen map[string]int, name string) {
	if line, ok := seen[name]; ok {
		c.report.Add(key, rptoml.CodeDuplicate, fmt.Sprintf("The %s %s is declared on line %d already.", what, rptoml.Shorten(label), line),
			"Remove one of the two.")
		return
	}
	seen[name] = c.report.Line(key)
}

func (c checker) checkSpend() {
	spend := c.doc.Spend
	if len(c.doc.Models) > 0 {
		rptoml.Require(c.report, "spend.accelerators", "4")
		rptoml.CheckRange(c.report, "spend.accelerators", spend.Accelerators, 1, MaxAccelerators)
	}
	rptoml.CheckRange(c.report, "spend.accelerators", spend.Accelerators, 0, MaxAccelerators)
	rptoml.CheckRange(c.report, "spend.accelerator_hours_per_day", spend.AcceleratorHoursPerDay, 0, MaxAcceleratorHours)
}

func (c checker) checkRanks() {
	sum := 0.0
	for _, rank := range Ranks {
		policy := c.doc.Rank(rank)
		c.checkRank("ranks."+rank.String(), policy)
		sum += policy.Floor
	}
	if sum > 1+floorTolerance && c.report.Valid("ranks.urgent.floor", "ranks.normal.floor", "ranks.background.floor") {
		sum = math.Round(sum*1000) / 1000
		c.report.Add("ranks", rptoml.CodeContradiction, fmt.Sprintf("The floors sum up to %v.", sum),
			"Write floors of urgent, normal and background that sum up to at most 1.")
	}
}

func (c checker) checkRank(key string, policy *RankPolicy) {
	rptoml.CheckRange(c.report, key+".target", policy.Target, MinTarget, MaxTarget)
	rptoml.CheckRange(c.report, key+".deadline", policy.Deadline, MinDeadline, MaxDeadline)
	rptoml.CheckRange(c.report, key+".worth", policy.Worth, MinWorth, MaxWorth)
	rptoml.CheckRange(c.report, key+".floor", policy.Floor, 0, 1)
	rptoml.CheckRange(c.report, key+".queue_limit", policy.QueueLimit, 1, MaxQueueLimit)
	if policy.Target > policy.Deadline && c.report.Valid(key+".target", key+".deadline") {
		c.report.Add(c.firstPresentKey(key+".target", key+".deadline"), rptoml.CodeContradiction,
			fmt.Sprintf("The target %s is longer than the deadline %s.", policy.Target, policy.Deadline),
			"Write a target that is at most the deadline.")
	}
}

// firstPresentKey returns the first of the keys that the document contains, or
// the last key if it contains none of them.
func (c checker) firstPresentKey(keys ...string) string {
	for _, key := range keys {
		if c.report.Has(key) {
			return key
		}
	}
	return keys[len(keys)-1]
}
