package cmd

import (
	"context"
	"fmt"
)

type configShowCommand struct {
	administrationOptions
	Args serviceArgument `positional-args:"yes"`
}

// Execute prints the answers in force and the latest changes of a service.
func (c *configShowCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	service, err := client.Show(context.Background(), c.Args.Service)
	if err != nil {
		return err
	}
	if service.InForce {
		fmt.Printf("; %s revision %d, in force in version %d\n", service.Service, service.Revision, service.Version)
		fmt.Println(service.Answers)
	} else {
		fmt.Printf("; %s has no configuration in force in version %d\n", service.Service, service.Version)
	}
	fmt.Println("; latest changes:")
	for _, change := range service.Revisions {
		fmt.Println(";   " + change.String())
	}
	return nil
}
