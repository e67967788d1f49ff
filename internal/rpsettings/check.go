package rpsettings

import (
	"fmt"
	"strings"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// checker checks decoded settings and reads the files that they name.
type checker struct {
	report   *rptoml.Report
	settings *Settings
	// dir is the directory of the settings file.
	dir string
}

func (c checker) check() {
	c.checkName("instance.name", c.settings.Instance.Name, `"entry-1"`)
	c.checkName("instance.failure_domain", c.settings.Instance.FailureDomain, `"nl-west-a"`)
	c.checkListen()
	c.checkPlatform()
	c.checkTLS()
	c.checkOperators()
	c.checkLimits()
	c.checkDrain()
	rptoml.CheckRange(c.report, "policy.fixed_keep_alive", c.settings.Policy.FixedKeepAlive, 0, Duration(24*time.Hour))
}

func (c checker) checkName(key, name, example string) {
	rptoml.Require(c.report, key, example)
	if c.report.Has(key) && !rpdocument.ValidName(name) {
		c.report.Add(key, rptoml.CodeNameInvalid, fmt.Sprintf("%q is not allowed as a name.", rptoml.Shorten(name)), fmt.Sprintf(
			"Write 1 to %d characters: a-z, 0-9, dot, underscore or hyphen. The first is a-z or 0-9.", rpdocument.MaxNameLength))
	}
}

func (c checker) checkListen() {
	seen := map[string]string{}
	for _, listen := range []struct {
		key     string
		address Address
	}{
		{"listen.callers", c.settings.Listen.Callers},
		{"listen.operators", c.settings.Listen.Operators},
		{"listen.peers", c.settings.Listen.Peers},
	} {
		rptoml.Require(c.report, listen.key, `"10.0.0.5:8080"`)
		if !listen.address.IsValid() {
			continue
		}
		if other, ok := seen[listen.address.String()]; ok {
			c.report.Add(listen.key, rptoml.CodeDuplicate, fmt.Sprintf("%s has the same address.", other), "Write another port.")
		}
		seen[listen.address.String()] = listen.key
	}
	c.checkAdvertise()
}

// checkAdvertise reports an unspecified address such as 0.0.0.0, which others
// can't connect to.
func (c checker) checkAdvertise() {
	key, address := "advertise.peers", c.settings.Advertise.Peers
	if !c.report.Has(key) {
		key, address = "listen.peers", c.settings.Listen.Peers
	}
	if address.IsValid() && address.Addr().IsUnspecified() {
		c.report.Add(key, rptoml.CodeAddressUnusable, fmt.Sprintf("Other instances can't connect to %s.", address),
			"Write the IP address of this instance in advertise.peers.")
	}
	if operators := c.settings.Advertise.Operators; operators.IsValid() && operators.Addr().IsUnspecified() {
		c.report.Add("advertise.operators", rptoml.CodeAddressUnusable, fmt.Sprintf("Operators can't connect to %s.", operators),
			"Write the IP address of this instance in advertise.operators, or remove the key.")
	}
}

func (c checker) checkPlatform() {
	platform := &c.settings.Platform
	rptoml.Require(c.report, "platform.table_endpoint", `"http://10.0.0.9:8000"`)
	rptoml.Require(c.report, "platform.object_endpoint", `"http://10.0.0.9:9000"`)
	rptoml.Require(c.report, "platform.list_endpoint", `"http://10.0.0.9:7000"`)
	c.checkText("platform.table_name", platform.TableName, `"rattanpaddle"`)
	c.checkText("platform.bucket", platform.Bucket, `"documents"`)
	c.checkText("platform.region", platform.Region, `"nl-west"`)
	c.checkSecret("platform.access_key", &platform.AccessKey, platform.AccessKeyFile)
	c.checkSecret("platform.secret_key", &platform.SecretKey, platform.SecretKeyFile)
	rptoml.CheckRange(c.report, "platform.list_interval", platform.ListInterval, Duration(100*time.Millisecond), Duration(time.Minute))
}

const maxTextLength = 255

func (c checker) checkText(key, text, example string) {
	rptoml.Require(c.report, key, example)
	invalid := func(r rune) bool { return r <= ' ' || r > '~' }
	if c.report.Has(key) && (text == "" || len(text) > maxTextLength || strings.ContainsFunc(text, invalid)) {
		c.report.Add(key, rptoml.CodeValueInvalid, "The value is not allowed.", fmt.Sprintf("Write 1 to %d ASCII characters without spaces.", maxTextLength))
	}
}

// checkSecret checks that the settings contain either the platform key or the
// name of its file. In the second case it reads the platform key from the file.
func (c checker) checkSecret(key string, secret *Secret, file string) {
	fileKey := key + "_file"
	switch hasKey, hasFile := c.report.Has(key), c.report.Has(fileKey); {
	case hasKey && hasFile:
		c.report.Add(fileKey, rptoml.CodeContradiction, fmt.Sprintf("%s and %s are both set.", key, fileKey), "Remove one of the two.")
	case hasFile:
		body, ok := c.readFile(fileKey, file)
		if *secret = NewSecret(strings.TrimSpace(string(body))); ok && secret.Reveal() == "" {
			c.report.Add(fileKey, rptoml.CodeCredentialMissing, "The file is empty.", "Write the key into the file.")
		}
	case !hasKey:
		rptoml.Require(c.report, fileKey, `"secret/key"`)
	case secret.Reveal() == "":
		c.report.Add(key, rptoml.CodeCredentialMissing, "The key is empty.", fmt.Sprintf("Write the key, or use %s.", fileKey))
	}
}

func (c checker) checkOperators() {
	editors := c.settings.Operators.BootstrapEditors
	rptoml.CheckCount(c.report, "operators.bootstrap_editors", len(editors), MaxBootstrapEditors)
	for i, sum := range editors {
		if !rpdocument.ValidSum(sum) {
			c.report.Add(fmt.Sprintf("operators.bootstrap_editors[%d]", i), rptoml.CodeSumInvalid, "The value is not a SHA-256 sum.",
				"Write the 64 characters 0-9 and a-f that sha256sum prints for the credential.")
		}
	}
}

func (c checker) checkLimits() {
	limits := &c.settings.Limits
	for _, n := range []struct {
		key       string
		value     int
		low, high int
	}{
		{"limits.weight_loads", limits.WeightLoads, 1, 1000},
		{"limits.adapter_loads", limits.AdapterLoads, 1, 10_000},
		{"limits.engine_concurrency", limits.EngineConcurrency, 1, 10_000},
		{"limits.requests_in_progress", limits.RequestsInProgress, 1, 1_000_000},
		{"limits.request_body_bytes", limits.RequestBodyBytes, 1024, 256 << 20},
		{"limits.request_header_bytes", limits.RequestHeaderBytes, 4096, 1 << 20},
	} {
		rptoml.CheckRange(c.report, n.key, n.value, n.low, n.high)
	}
	rptoml.CheckRange(c.report, "limits.weight_loads_per_second", limits.WeightLoadsPerSecond, 0.01, 10_000)
	for _, d := range []struct {
		key   string
		value Duration
	}{
		{"limits.cold_start_estimate", limits.ColdStartEstimate},
		{"limits.list_lag", limits.ListLag},
		{"limits.header_timeout", limits.HeaderTimeout},
		{"limits.body_timeout", limits.BodyTimeout},
		{"limits.idle_timeout", limits.IdleTimeout},
	} {
		rptoml.CheckRange(c.report, d.key, d.value, Duration(10*time.Millisecond), Duration(time.Hour))
	}
}

func (c checker) checkDrain() {
	drain := c.settings.Drain
	rptoml.CheckRange(c.report, "drain.grace", drain.Grace, 0, Duration(10*time.Minute))
	rptoml.CheckRange(c.report, "drain.timeout", drain.Timeout, Duration(time.Second), Duration(time.Hour))
	if drain.Grace > drain.Timeout && c.report.Valid("drain.grace", "drain.timeout") {
		key := "drain.grace"
		if !c.report.Has(key) {
			key = "drain.timeout"
		}
		c.report.Add(key, rptoml.CodeContradiction, fmt.Sprintf("The grace %s is longer than the timeout %s.", drain.Grace, drain.Timeout),
			"Write a timeout that is longer than the grace.")
	}
}
