package cmd

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

type answersNewCommand struct {
	Output string `short:"o" long:"output" value-name:"FILE" description:"write to this new file instead of standard output"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes a commented answer file. An existing file is never overwritten.
func (c *answersNewCommand) Execute([]string) error {
	if !snapshot.ValidName(c.Args.Service) {
		return errors.Errorf("%q is not a service name; expected lower-case letters, digits and hyphens", c.Args.Service)
	}
	text := answers.Template(c.Args.Service)
	if c.Output == "" {
		fmt.Print(text)
		return nil
	}
	file, err := os.OpenFile(c.Output, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return errors.Wrap(err, "create answer file")
	}
	if _, err := file.WriteString(text); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write answer file")
	}
	return errors.Wrap(file.Close(), "write answer file")
}
