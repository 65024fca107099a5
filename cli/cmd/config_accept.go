package cmd

import (
	"context"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

type configAcceptCommand struct {
	changeOptions
	Draft string          `long:"draft" required:"true" value-name:"HASH" description:"hash of the draft, as printed by answers submit and config diff (required)"`
	Args  serviceArgument `positional-args:"yes"`
}

// Execute puts the draft of a service in force.
func (c *configAcceptCommand) Execute([]string) error {
	return c.change(func(ctx context.Context, client *operator.Client, seen snapshot.Version, token string) (operator.OutcomeMessage, error) {
		return client.Accept(ctx, c.Args.Service, operator.AcceptRequest{Draft: c.Draft, Seen: seen, Token: token})
	})
}
