// Package cmd implements the subcommands of kingcupwood.
package cmd

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	// exitOutcomeUnknown means that a change may have taken effect or may still do so.
	exitOutcomeUnknown = 3
)

// command describes a subcommand for the flag parser. data holds its options and implements
// flags.Commander; it is nil for a group of subcommands.
type command struct {
	name  string
	short string
	long  string
	data  any
	sub   []command
}

func commands(adapters map[string]agent.NewAdapter) []command {
	return []command{
		{name: "daemon", short: "Run the daemon of an instance", long: "Runs the daemon of an instance until SIGTERM, then stops it without cutting a request.", data: &daemonCommand{adapters: adapters}},
		{name: "backend", short: "Run a stand-in backend server", long: "Runs a stand-in for a backend server and announces it to its daemon.", data: &backendCommand{}},
		{name: "version", short: "Print the version", long: "Prints the version of the program.", data: &versionCommand{}},
		{name: "platform", short: "Run the stand-in for the platform", long: "Runs a stand-in for the table service and the object store, in memory.", data: &platformCommand{}},
		{name: "explain", short: "Tell what became of a request", long: "Reads logs of daemons and prints the path of one request by its ID.", data: &explainCommand{}},
		{name: "report", short: "Print the service-level report", long: "Asks all daemons for the outcomes of requests and prints the service level and its burn rates.", data: &reportCommand{}},
		{name: "keys", short: "Make keys and certificates", long: "Makes the files with which daemons are authenticated to each other. Existing files are never replaced.", sub: keysCommands()},
		{name: "answers", short: "Write, check and submit answer files", long: "Writes, checks and submits the files in which teams describe their services.", sub: answersCommands()},
		{name: "config", short: "Show and change the configuration", long: "Shows, accepts and withdraws configurations through the administration API of a daemon.", sub: configCommands()},
	}
}

func answersCommands() []command {
	return []command{
		{name: "new", short: "Write a commented answer file", long: "Writes a commented answer file for a service.", data: &answersNewCommand{}},
		{name: "check", short: "Check answer files", long: "Checks the answer files of all services together and reports every fault.", data: &answersCheckCommand{}},
		{name: "submit", short: "Submit answers as a draft", long: "Submits an answer file as the draft of its service. Nothing changes until the draft is accepted.", data: &answersSubmitCommand{}},
	}
}

func configCommands() []command {
	return []command{
		{name: "show", short: "Show a service", long: "Prints the answers in force and the latest changes of a service.", data: &configShowCommand{}},
		{name: "diff", short: "Show what a draft changes", long: "Prints what accepting the draft of a service changes for its callers.", data: &configDiffCommand{}},
		{name: "accept", short: "Accept a draft", long: "Puts the draft of a service in force. Exit code 3 means that the outcome is not known yet.", data: &configAcceptCommand{}},
		{name: "withdraw", short: "Withdraw a configuration", long: "Puts an earlier revision of a service in force again, as a new version. Exit code 3 means that the outcome is not known yet.", data: &configWithdrawCommand{}},
		{name: "status", short: "Show the state of the configuration", long: "Prints the versions of the platform and of one daemon, the drafts and the leases, or the outcome of one change.", data: &configStatusCommand{}},
	}
}

// Main runs the subcommand given by args and returns the exit code of the process. adapters maps the
// names that daemon settings may use to the constructors of platform adapters.
func Main(args []string, adapters map[string]agent.NewAdapter) int {
	parser := flags.NewNamedParser("kingcupwood", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "configuration distribution system for a service mesh"
	if err := addCommands(parser.Command, commands(adapters)); err != nil {
		fmt.Fprintln(os.Stderr, "kingcupwood:", err)
		return exitFailed
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printError(err)
	}
	return exitOK
}

func addCommands(parent *flags.Command, list []command) error {
	for _, c := range list {
		data := c.data
		if data == nil {
			data = &struct{}{}
		}
		added, err := parent.AddCommand(c.name, c.short, c.long, data)
		if err != nil {
			return err
		}
		if err := addCommands(added, c.sub); err != nil {
			return err
		}
	}
	return nil
}

// printError prints err, or the help text if that was requested, and returns the exit code.
func printError(err error) int {
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) {
		fmt.Fprintln(os.Stderr, "kingcupwood:", err)
		return exitCodeOf(err)
	}
	if flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(os.Stdout, flagErr.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "kingcupwood:", flagErr.Message)
	return exitUsage
}

// exitCodeOf returns the exit code that err specifies, or exitFailed if it specifies none.
func exitCodeOf(err error) int {
	var coded interface{ exitCode() int }
	if errors.As(err, &coded) {
		return coded.exitCode()
	}
	return exitFailed
}
