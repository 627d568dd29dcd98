// Package command implements the command-line tool for callers and operators. It sends HTTP requests
// to one process: an entry serves every command, a control member those of operators, and any process
// dump and ready.
package command

import (
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Streams holds the input and output streams of a command. Progress is nil if standard error is not
// a terminal.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Progress io.Writer
}

// invocation holds the global flags, the streams and the client of one invocation of the tool.
type invocation struct {
	Streams
	address   string
	tokenFile string
	json      bool
	timeout   time.Duration
	client    *client
}

const examples = `
Examples:
  pollenpaddle class set yield-check --upstream kitchen --answer-within 300ms --share 0.99
  pollenpaddle organisation set swan-river --slots 40
  pollenpaddle submit examples/job.json
  pollenpaddle zone out fremantle
  pollenpaddle status --json

Exit codes:
  0 success            4 not found                7 may have run, or the job failed
  1 other error        5 revision conflict        8 token missing or not permitted
  2 usage              6 rejected, nothing was run
  3 invalid argument
`

// terminated is the panic value with the exit code of the flag parser, for example after --help.
type terminated int

// Run executes the command line in args and returns the exit code.
func Run(args []string, version string, streams Streams) (exit int) {
	defer func() {
		if code, ok := recover().(terminated); ok {
			exit = int(code)
		}
	}()
	t := &invocation{Streams: streams}
	app := kingpin.New("pollenpaddle", "Submit work to pollenpaddle, and operate an installation."+examples)
	app.Version(version).UsageWriter(streams.Err).ErrorWriter(streams.Err)
	app.HelpFlag.Short('h')
	app.Terminate(func(code int) { panic(terminated(code)) })
	app.Flag("address", "Address of an entry. The commands of operators also accept the address of a control member; dump and ready accept that of any process.").Envar("POLLENPADDLE_ADDRESS").Default("127.0.0.1:7400").StringVar(&t.address)
	app.Flag("token-file", "File that holds the caller's or operator's token.").Envar("POLLENPADDLE_TOKEN_FILE").StringVar(&t.tokenFile)
	app.Flag("json", "Print JSON for scripts.").BoolVar(&t.json)
	app.Flag("timeout", "Time limit of one request.").Default("30s").DurationVar(&t.timeout)
	t.addJobCommands(app)
	t.addConfigurationCommands(app)
	t.addInspectionCommands(app)
	app.PreAction(func(*kingpin.ParseContext) error { return t.initClient() })
	if _, err := app.Parse(args); err != nil {
		return t.report(err)
	}
	return ExitSuccess
}
