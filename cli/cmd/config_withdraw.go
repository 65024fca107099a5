package cmd

import (
	"context"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

type configWithdrawCommand struct {
	changeOptions
	To   uint64          `long:"to" required:"true" value-name:"REVISION" description:"earlier revision to put in force again; 0 removes the service (required)"`
	Args serviceArgument `positional-args:"yes"`
}

// Execute puts an earlier revision of a service in force again, as a new version.
func (c *configWithdrawCommand) Execute([]string) error {
	return c.change(func(ctx context.Context, client *operator.Client, seen snapshot.Version, token string) (operator.OutcomeMessage, error) {
		return client.Withdraw(ctx, c.Args.Service, operator.WithdrawRequest{To: c.To, Seen: seen, Token: token})
	})
}
