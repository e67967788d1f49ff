package rpcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpoperator"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// result is the exit code and the output of a command.
type result struct {
	code   ExitCode
	stdout string
	stderr string
}

func withRun(t *testing.T, program *Program, args ...string) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	program.Stdout, program.Stderr = &stdout, &stderr
	code := program.Run(t.Context(), args)
	return result{ExitCode(code), stdout.String(), stderr.String()}
}

func withFile(t *testing.T, body string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.toml")
	NewWithT(t).Expect(os.WriteFile(file, []byte(body), 0o600)).To(Succeed())
	return file
}

// Guards against a docs/commands.md that differs from the commands of the program.
func TestDocs(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/commands.md")
	g.Expect(err).NotTo(HaveOccurred())
	text, err := Docs()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(text), "run: go run ./cmd/rattanpaddle docs commands > docs/commands.md")
	g.Expect(withRun(t, &Program{}, "docs", "commands").stdout).To(Equal(text))
}

// Guards against two commands with the same name, argument types that go-arg
// rejects, and aliases that don't find their command.
func TestCommandTable(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for _, c := range commands() {
		_, _, err := c.parser()
		g.Expect(err).NotTo(HaveOccurred(), c.name)
		for _, name := range c.names() {
			g.Expect(seen[name]).To(BeFalse(), name)
			seen[name] = true
			found, rest, ok := findCommand(append(strings.Fields(name), "x"))
			g.Expect(ok && found.name == c.name).To(BeTrue(), name)
			g.Expect(rest).To(Equal([]string{"x"}))
		}
	}
	found, _, ok := findCommand([]string{"doc", "ls"})
	g.Expect(ok && found.name == "document list").To(BeTrue())
}

// Guards against wrong exit codes, because scripts rely on them.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	for i, exit := range ExitCodes {
		g.Expect(int(exit.Code)).To(Equal(i))
	}
	valid, invalid := withFile(t, rpdocument.Example()), withFile(t, "format = 2\n")
	failing := &Program{Demo: func(context.Context, DemoArgs) error { return errors.New("no") }}
	stopped := &Program{Demo: func(context.Context, DemoArgs) error { return context.Canceled }}
	for _, tc := range []struct {
		program *Program
		args    string
		code    ExitCode
	}{
		{nil, "", ExitDone},
		{nil, "help", ExitDone},
		{nil, "serve --help", ExitDone},
		{nil, "document --help", ExitDone},
		{nil, "version", ExitDone},
		{nil, "document check " + valid, ExitDone},
		{nil, "document diff " + valid + " " + valid, ExitDone},
		{stopped, "demo", ExitDone},
		{failing, "demo", ExitFailed},
		{nil, "demo", ExitFailed},
		{nil, "document check no-such-file", ExitFailed},
		{nil, "nothing", ExitUsage},
		{nil, "document", ExitUsage},
		{nil, "serve", ExitUsage},
		{nil, "status", ExitUsage},
		{nil, "status --operator localhost:1", ExitUsage},
		{nil, "version --output xml", ExitUsage},
		{failing, "demo --log engine=debug", ExitUsage},
		{nil, "standin oven --listen 127.0.0.1:1", ExitUsage},
		{nil, "load --target 127.0.0.1:1 --model a/b --rate 0", ExitUsage},
		{nil, "document accept " + valid + " --operator 127.0.0.1:1", ExitUsage},
		{nil, "document check " + invalid, ExitInvalid},
		{nil, "serve " + invalid, ExitInvalid},
		{nil, "settings check " + invalid, ExitInvalid},
		{nil, "status --operator 127.0.0.1:1", ExitUnavailable},
	} {
		program := tc.program
		if program == nil {
			program = &Program{}
		}
		got := withRun(t, program, strings.Fields(tc.args)...)
		g.Expect(got.code).To(Equal(tc.code), "%s: %s%s", tc.args, got.stdout, got.stderr)
		g.Expect(got.stderr == "").To(Equal(tc.code == ExitDone), "%s: %s", tc.args, got.stderr)
	}
	for code, exit := range map[rpoperator.Code]ExitCode{
		rpoperator.CodeVersionConflict: ExitConflict, rpoperator.CodeDocumentInvalid: ExitInvalid,
		rpoperator.CodeOutcomeUnknown: ExitUnknown, rpoperator.CodePlatformUnavailable: ExitUnavailable,
		rpoperator.CodeCredentialNotAllowed: ExitRefused, rpoperator.CodeUnknownService: ExitRefused,
	} {
		g.Expect(exitCode(&rpoperator.Refusal{Code: code})).To(Equal(exit), string(code))
	}
}

// Guards against arguments that don't reach the functions of the main program.
func TestArgumentsReachFunctions(t *testing.T) {
	g := NewWithT(t)
	var demo DemoArgs
	var standin StandinArgs
	var load LoadArgs
	program := &Program{
		Demo:    func(_ context.Context, args DemoArgs) error { demo = args; return nil },
		Standin: func(_ context.Context, args StandinArgs) error { standin = args; return nil },
		Load:    func(_ context.Context, args LoadArgs) error { load = args; return nil },
	}
	g.Expect(withRun(t, program, strings.Fields("demo --deployment office --keep --log warn")...).code).To(Equal(ExitDone))
	g.Expect(demo.Deployment).To(Equal("office"))
	g.Expect(demo.Keep).To(BeTrue())
	g.Expect(demo.Levels).NotTo(Equal(rplog.Levels{}))
	g.Expect(withRun(t, program, strings.Fields("standin engine --listen 127.0.0.1:9 --memory 4GiB --disk-load-time 1s")...).code).To(Equal(ExitDone))
	g.Expect(standin.Memory).To(Equal(4 * rpdocument.GiB))
	g.Expect(standin.DiskLoadTime).To(Equal(time.Second))
	g.Expect(withRun(t, program, strings.Fields("load --target 127.0.0.1:9 --target 127.0.0.1:8 --model a/b")...).code).To(Equal(ExitDone))
	g.Expect(load.Targets).To(HaveLen(2))
}

// Guards against a report that is not JSON or lacks the problems.
func TestJSONReport(t *testing.T) {
	g := NewWithT(t)
	got := withRun(t, &Program{}, "document", "check", "-o", "json", withFile(t, "format = 2\n"))
	var report struct{ Problems []rpdocument.Problem }
	g.Expect(json.Unmarshal([]byte(got.stdout), &report)).To(Succeed())
	g.Expect(report.Problems[0].Key).To(Equal("format"))
	got = withRun(t, &Program{}, "document", "check", "-o", "json", withFile(t, rpdocument.Example()))
	g.Expect(got.stdout).To(ContainSubstring(`"problems": []`))
}
