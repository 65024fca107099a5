// Package cmd holds the subcommands of kingcupwood, one file each.
package cmd

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command describes a subcommand for the flag parser; data carries its options and Execute method.
type command struct {
	name  string
	short string
	long  string
	data  any
	sub   []command
}

func commands() []command {
	return []command{
		{name: "backend", short: "Run a stand-in backend server", long: "Runs a stand-in for a backend server and announces it to its daemon.", data: &backendCommand{}},
		{name: "version", short: "Print the version", long: "Prints the version of the program.", data: &versionCommand{}},
	}
}

// Main runs the subcommand named in args and returns the exit code of the process.
func Main(args []string) int {
	parser := flags.NewNamedParser("kingcupwood", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "configuration distribution system for a service mesh"
	if err := addCommands(parser.Command, commands()); err != nil {
		fmt.Fprintln(os.Stderr, "kingcupwood:", err)
		return exitFailed
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return report(err)
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

func report(err error) int {
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) {
		fmt.Fprintln(os.Stderr, "kingcupwood:", err)
		return exitFailed
	}
	if flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(os.Stdout, flagErr.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "kingcupwood:", flagErr.Message)
	return exitUsage
}
