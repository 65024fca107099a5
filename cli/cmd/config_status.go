package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

type configStatusCommand struct {
	administrationOptions
	Change string  `long:"change" value-name:"TOKEN" description:"ask what became of the change with this token; needs --seen"`
	Seen   *uint64 `long:"seen" value-name:"VERSION" description:"the --seen of that change"`
}

// Execute prints the state of the platform and of one daemon, or the outcome of a change.
func (c *configStatusCommand) Execute([]string) error {
	// The outcome depends on the version: without it, a change that may still take effect could be
	// reported as not accepted.
	if (c.Change != "") != (c.Seen != nil) {
		return &flags.Error{Type: flags.ErrRequired, Message: "--change and --seen go together"}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Change != "" {
		outcome, err := client.Outcome(context.Background(), c.Change, snapshot.Version(*c.Seen))
		if err != nil {
			return err
		}
		return printOutcome(outcome)
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	printDaemon(status.Daemon)
	printPlatform(status.Platform)
	return nil
}

func printDaemon(d operator.DaemonStatus) {
	fmt.Printf("daemon: version %d, %d services\n", d.Version, d.Services)
	if d.Refused != nil {
		fmt.Printf("daemon: refused version %d at %s: %s\n", d.Refused.Version, d.Refused.At.UTC().Format(time.RFC3339), d.Refused.Reason)
	}
}

func printPlatform(p operator.PlatformStatus) {
	if p.Error != "" {
		fmt.Println("platform:", p.Error)
		return
	}
	fmt.Printf("platform: version %d\n", p.Version)
	for _, d := range p.Drafts {
		fmt.Printf("draft: %s by %s at %s, %s\n", d.Service, d.Operator, d.Submitted.Format(time.RFC3339), d.Hash)
	}
	for _, l := range p.Leases {
		fmt.Printf("lease: %s held by %s until %s, fencing token %d\n", l.Name, l.Holder, l.Expires.Format(time.RFC3339), l.Token)
	}
}
