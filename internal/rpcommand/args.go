package rpcommand

import (
	"net/netip"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rpload"
	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rpsettings"
	"github.com/rattanpaddle/rattanpaddle/pkg/rpdocument"
)

// LogArgs are the flags of commands that write a log.
type LogArgs struct {
	Log string `arg:"--log" placeholder:"LEVELS" help:"a level for all parts and levels of single parts, such as warn,replicas=debug"`
	// Levels is the parsed value of Log.
	Levels rplog.Levels `arg:"-"`
}

func (a *LogArgs) logArgs() *LogArgs { return a }

// ServeArgs are the arguments of serve.
type ServeArgs struct {
	LogArgs
	File string `arg:"positional,required" placeholder:"SETTINGS" help:"the settings file"`
	// Settings are the checked contents of File, with the levels of --log
	// applied.
	Settings *rpsettings.Settings `arg:"-"`
}

// DemoArgs are the arguments of demo.
type DemoArgs struct {
	LogArgs
	OutputArgs
	Deployment string `arg:"--deployment" placeholder:"NAME" default:"snoepschep" help:"snoepschep or office"`
	Keep       bool   `arg:"--keep" help:"go on serving after the checks until Ctrl-C"`
}

// LoadArgs are the arguments of load.
type LoadArgs struct {
	LogArgs
	OutputArgs
	Targets  []netip.AddrPort      `arg:"--target,separate,required" placeholder:"ADDRESS" help:"callers' address of an instance; may be given more than once, the requests take turns"`
	Models   []string              `arg:"--model,separate" placeholder:"NAME[=WEIGHT]" help:"service/model or service/adapter; may be given more than once"`
	Routes   []string              `arg:"--route,separate" placeholder:"NAME[=WEIGHT]" help:"service/path of a plain service; may be given more than once"`
	Zipf     float64               `arg:"--zipf" placeholder:"EXPONENT" help:"exponent of a Zipf distribution over models and routes in their order, in place of weights"`
	Rate     float64               `arg:"--rate" default:"10" help:"requests a second over all models; 0 with bursts or wake-ups only"`
	Arrivals rpload.ArrivalProcess `arg:"--arrivals" placeholder:"PROCESS" default:"poisson" help:"poisson or constant"`
	Duration time.Duration         `arg:"--duration" default:"30s" help:"time in which requests start"`
	Bursts   []rpload.Burst        `arg:"--burst,separate" placeholder:"START,DURATION,RATE[,RANK]" help:"more requests for a time; may be given more than once"`
	Gaps     []rpload.Gap          `arg:"--gap,separate" placeholder:"START,DURATION" help:"time without requests but those of bursts and wake-ups; may be given more than once"`
	Wakes    []rpload.Wake         `arg:"--wake,separate" placeholder:"COUNT,WITHIN[,START[,RANK]]" help:"first requests of this many models within a time; may be given more than once"`

	Rank     rpload.RankMix      `arg:"--rank" placeholder:"RANKS" help:"a rank, or weights such as urgent=1,normal=2,background=7; without it the document decides"`
	Timeout  rpload.RankTimeouts `arg:"--timeout" placeholder:"TIMEOUTS" help:"deadline of a request, or one for each rank such as urgent=2s,background=10m; without it the document decides"`
	Patience time.Duration       `arg:"--patience" default:"30s" help:"time that a request is waited for after its deadline"`
	Wait     time.Duration       `arg:"--wait" default:"30s" help:"bound of the wait after the last request or after an interruption"`

	Prompt     int  `arg:"--prompt-tokens" default:"64" help:"tokens of a prompt"`
	MaxTokens  int  `arg:"--max-tokens" default:"32" help:"tokens of an answer"`
	InProgress int  `arg:"--in-progress" placeholder:"N" default:"10000" help:"bound of the requests in progress; those beyond are counted and not started"`
	Retry      bool `arg:"--retry" help:"send a request once more to the next target if the first one did not take it"`
	Keys       bool `arg:"--idempotency-keys" help:"send Idempotency-Key with completions too"`

	CredentialFile string `arg:"--credential-file" placeholder:"FILE" help:"file with the credential of a caller"`
	Seed           uint64 `arg:"--seed" default:"1" help:"seed of all random choices"`
	// Config is built from the arguments and has been checked.
	Config rpload.Config `arg:"-"`
}

// StandinKinds lists the kinds of stand-ins.
var StandinKinds = []string{"table", "objects", "weights", "list", "engine", "service"}

// StandinArgs are the arguments of standin.
type StandinArgs struct {
	LogArgs
	Kind   string         `arg:"positional,required" placeholder:"KIND" help:"table, objects, weights, list, engine or service"`
	Listen netip.AddrPort `arg:"--listen,required" placeholder:"ADDRESS" help:"address to listen on"`
	Lag    time.Duration  `arg:"--lag" default:"300ms" help:"list: time after which a change is seen; engine: age of its reports"`

	LoadsPerSecond float64       `arg:"--loads-per-second" default:"12" help:"weights: starts of loads a second"`
	LoadsAtOnce    int           `arg:"--loads-at-once" default:"4" help:"weights: loads at full speed"`
	LoadTime       time.Duration `arg:"--load-time" default:"1500ms" help:"weights: time of one load at full speed"`

	List           netip.AddrPort   `arg:"--list" placeholder:"ADDRESS" help:"engine, service: the instance list to register at"`
	ID             string           `arg:"--id" placeholder:"NAME" help:"engine, service: the name in the list"`
	Service        string           `arg:"--service" placeholder:"NAME" help:"engine, service: the service in the list"`
	FailureDomain  string           `arg:"--failure-domain" placeholder:"NAME" help:"engine, service: the failure domain in the list"`
	Memory         rpdocument.Bytes `arg:"--memory" placeholder:"SIZE" default:"80GiB" help:"engine: accelerator memory"`
	IgnoreFencing  bool             `arg:"--ignore-fencing" help:"engine: accept orders with an old fencing number"`
	Weights        netip.AddrPort   `arg:"--weights" placeholder:"ADDRESS" help:"engine: the weight store for remote checkpoints"`
	TokenTime      time.Duration    `arg:"--token-time" default:"2ms" help:"engine: time of one token"`
	MemoryLoadTime time.Duration    `arg:"--memory-load-time" default:"300ms" help:"engine: load time of a checkpoint in memory"`
	DiskLoadTime   time.Duration    `arg:"--disk-load-time" default:"900ms" help:"engine: load time of a checkpoint on disk"`
	Delay          time.Duration    `arg:"--delay" default:"50ms" help:"service: time of one request"`
}

// OutputArgs are the flags of commands that print a report.
type OutputArgs struct {
	Output string `arg:"-o,--output" placeholder:"FORMAT" default:"text" help:"text or json"`
}

func (a *OutputArgs) outputArgs() *OutputArgs { return a }

// OperatorArgs are the flags of commands that query one instance.
type OperatorArgs struct {
	Operator netip.AddrPort `arg:"--operator,env:RATTANPADDLE_OPERATOR" placeholder:"ADDRESS" help:"operators' address of an instance"`
}

type noArgs struct{}

type settingsCheckArgs struct {
	OutputArgs
	File string `arg:"positional,required" placeholder:"SETTINGS" help:"the settings file"`
}

type documentCheckArgs struct {
	OutputArgs
	File string `arg:"positional,required" placeholder:"DOCUMENT" help:"the document"`
}

type documentDiffArgs struct {
	OutputArgs
	OperatorArgs
	Old string `arg:"positional,required" placeholder:"OLD" help:"the old document; with --operator and no NEW, the new one"`
	New string `arg:"positional" placeholder:"NEW" help:"the new document"`
}

type documentAcceptArgs struct {
	OutputArgs
	OperatorArgs
	File           string `arg:"positional,required" placeholder:"DOCUMENT" help:"the document"`
	EditedVersion  uint64 `arg:"--edited-version,required" placeholder:"N" help:"the version that you edited; 0 for a new service"`
	CredentialFile string `arg:"--credential-file" placeholder:"FILE" help:"file with the credential of an editor; without it, the variable RATTANPADDLE_CREDENTIAL"`
}

type documentShowArgs struct {
	OutputArgs
	OperatorArgs
	Service string `arg:"positional,required" placeholder:"SERVICE" help:"the name of the service"`
}

type operatorReportArgs struct {
	OutputArgs
	OperatorArgs
}

type reportArgs struct {
	OutputArgs
}
