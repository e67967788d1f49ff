package rpcommand

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	configDir   = "../rpconfigcheck/testdata/"
	configFile  = configDir + "inforce.json"
	configFound = configDir + "check/weight_zero.json"
)

// Guards against wrong exit codes of config check, because scripts send a configuration
// by them.
func TestConfigCheckExitCodes(t *testing.T) {
	g := NewWithT(t)
	for _, tc := range []struct {
		args string
		code ExitCode
	}{
		{"config check " + configFile, ExitDone},
		{"config validate " + configFile, ExitDone},
		{"config check " + configDir + "diff/removed_keys.json --against " + configFile, ExitDone},
		{"config check " + configFound, ExitFailed},
		{"config check " + configFound + " --output json", ExitFailed},
		{"config check " + configFile + " --against " + configFile, ExitFailed},
		{"config check " + configFile + " --endpoints assistant=1", ExitFailed},
		{"config check", ExitUsage},
		{"config check no-such-file", ExitUsage},
		{"config check " + configFile + " --against no-such-file", ExitUsage},
		{"config check " + configFile + " --endpoints assistant", ExitUsage},
		{"config check " + configFile + " --output xml", ExitUsage},
		{"config check config_test.go", ExitUsage},
	} {
		got := withRun(t, &Program{}, strings.Fields(tc.args)...)
		g.Expect(got.code).To(Equal(tc.code), "%s: %s%s", tc.args, got.stdout, got.stderr)
	}
	unreadable := withRun(t, &Program{}, "config", "check", "config_test.go")
	g.Expect(unreadable.stderr).To(ContainSubstring("config_test.go can't be read: line 1: "))
	g.Expect(unreadable.stderr).To(ContainSubstring("(config_unreadable)"))
}

// Guards against a report that leaves out findings or changes, or shows a key.
func TestConfigCheckReport(t *testing.T) {
	g := NewWithT(t)
	args := []string{"config", "check", configDir + "diff/removed_keys.json", "--against", configFile}
	got := withRun(t, &Program{}, args...)
	g.Expect(got.stdout).To(HavePrefix(args[2] + " has no findings.\nChanges against " + configFile + ":\nAccounts:\n  Account "))
	g.Expect(got.stdout).To(ContainSubstring("\nRemoved keys:\n  Account "))
	g.Expect(got.stdout).NotTo(ContainSubstring("secret-"))
	got = withRun(t, &Program{}, append(args, "--output", "json")...)
	var report configReport
	g.Expect(json.Unmarshal([]byte(got.stdout), &report)).To(Succeed())
	g.Expect(report.Problems).To(BeEmpty())
	g.Expect(report.Changes).To(HaveLen(3))
	g.Expect(got.stdout).NotTo(ContainSubstring("secret-"))
	got = withRun(t, &Program{}, "config", "check", configFound)
	g.Expect(got.stdout).To(HavePrefix(configFound + ": line 14: routes[1].traffic_split[1].weight: "))
	g.Expect(got.stderr).To(ContainSubstring("(config_findings)"))
	same := withRun(t, &Program{}, "config", "check", configDir+"diff/nothing.json", "--against", configFile)
	g.Expect(same.stdout).To(HaveSuffix("Nothing changes for callers against " + configFile + ".\n"))
}
