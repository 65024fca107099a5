package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

type configDiffCommand struct {
	administrationOptions
	Args serviceArgument `positional-args:"yes"`
}

// Execute prints what accepting the draft of a service changes for its callers.
func (c *configDiffCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	diff, err := client.Diff(context.Background(), c.Args.Service)
	if err != nil {
		return err
	}
	fmt.Printf("draft of %s by %s at %s, compared with version %d:\n",
		diff.Draft.Service, diff.Draft.Operator, diff.Draft.Submitted.Format(time.RFC3339), diff.Seen)
	for _, line := range diff.Lines {
		fmt.Println("  " + line)
	}
	if len(diff.Reasons) > 0 {
		return errors.New("the draft is invalid and would be refused:\n  " + strings.Join(diff.Reasons, "\n  "))
	}
	fmt.Printf("accept it: kingcupwood config accept %s --draft %s --seen %d\n", diff.Draft.Service, diff.Draft.Hash, diff.Seen)
	return nil
}
