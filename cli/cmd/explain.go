package cmd

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/explain"
)

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"ID of the request" required:"true"`
		Logs    []string `positional-arg-name:"LOG" description:"log files of daemons; standard input without any"`
	} `positional-args:"true"`
}

// Execute prints the log entries about one request. It fails if there are none.
func (c *explainCommand) Execute([]string) error {
	log := explain.New(c.Args.Request)
	if len(c.Args.Logs) == 0 {
		if err := log.Read("standard input", os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range c.Args.Logs {
		if err := readLog(log, path); err != nil {
			return err
		}
	}
	found, err := log.Write(os.Stdout)
	if err == nil && !found {
		err = errors.Errorf("request %s is not in the logs", c.Args.Request)
	}
	return err
}

func readLog(log *explain.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }()
	return log.Read(path, io.Reader(file))
}
