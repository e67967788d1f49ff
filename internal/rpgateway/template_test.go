package rpgateway_test

import (
	"maps"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanpaddle/rattanpaddle/internal/rpgateway"
)

// deploymentValues are the values of a deployment without accounts.
var deploymentValues = map[string]string{
	"node_name": "front-1", "zone": "a", "ip": "10.0.0.5", "listen.front": "10.0.0.5:8080", "listen.ready_addr": "10.0.0.5:8081",
	"port_range.0": "9000", "port_range.1": "9001", "platform.addr": "10.0.0.9:8000", "limits.cpu_share": "0.192",
	"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "50", "bounds.budget_window_s": "10", "bounds.lease_ms": "3000",
	"bounds.drain_ms": "2000", "bounds.config_apply_ms": "3000", "bounds.grace_s": "8",
	"limits.memory_mb": "184", "limits.max_fds": "4100",
}

var (
	templateSection = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	templateValue   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// renderTemplate fills in the template as the platform does. A section is rendered if
// its value is present and not false.
func renderTemplate(t *testing.T, values map[string]string) []byte {
	t.Helper()
	g := NewWithT(t)
	body, err := os.ReadFile("../../deploy/gateway.toml.tmpl")
	g.Expect(err).NotTo(HaveOccurred())
	text := templateSection.ReplaceAllStringFunc(string(body), func(section string) string {
		parts := templateSection.FindStringSubmatch(section)
		g.Expect(parts[3]).To(Equal(parts[1]), "the end of a section")
		if value, ok := values[parts[1]]; !ok || value == "false" {
			return ""
		}
		return parts[2]
	})
	text = templateValue.ReplaceAllStringFunc(text, func(tag string) string {
		value, ok := values[strings.Trim(tag, "{}")]
		g.Expect(ok).To(BeTrue(), tag)
		return value
	})
	return []byte(text)
}

// Guards against a template that makes invalid settings of the platform's values, on
// deployments with and without accounts.
func TestSettingsTemplate(t *testing.T) {
	g := NewWithT(t)
	settings, problems := rpgateway.ParseSettings("test.toml", renderTemplate(t, deploymentValues))
	g.Expect(problems).To(BeEmpty())
	g.Expect(settings.Accounts).To(BeZero())
	g.Expect(settings.Planner.FirstStart).To(BeFalse())

	values := maps.Clone(deploymentValues)
	maps.Copy(values, map[string]string{
		"bounds.strict_revoke": "true", "bounds.revoke_ms": "5000", "bounds.quota_window_s": "8", "bounds.quota_overage": "0.1",
		"bounds.quota_slack": "110000", "bootstrap": "true",
	})
	settings, problems = rpgateway.ParseSettings("test.toml", renderTemplate(t, values))
	g.Expect(problems).To(BeEmpty())
	g.Expect(settings.Planner.FirstStart).To(BeTrue())
	g.Expect(settings.Accounts.StrictWithdrawal).To(BeTrue())
	g.Expect(time.Duration(settings.Accounts.WithdrawalBound)).To(Equal(5 * time.Second))
	g.Expect(time.Duration(settings.Accounts.QuotaWindow)).To(Equal(8 * time.Second))
	g.Expect(settings.Accounts.QuotaOverage).To(Equal(0.1))
	g.Expect(settings.Accounts.QuotaSlack).To(Equal(110000.0))

	values["bounds.strict_revoke"] = "false"
	settings, problems = rpgateway.ParseSettings("test.toml", renderTemplate(t, values))
	g.Expect(problems).To(BeEmpty())
	g.Expect(settings.Accounts.StrictWithdrawal).To(BeFalse())

	values["bounds.quota_overage"], values["bounds.revoke_ms"] = "11", "700000"
	_, problems = rpgateway.ParseSettings("test.toml", renderTemplate(t, values))
	g.Expect(problems).To(HaveLen(2))
}
