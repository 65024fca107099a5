package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/store"
)

type answersSubmitCommand struct {
	administrationOptions
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute submits an answer file as the draft of its service.
func (c *answersSubmitCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := readAnswers(c.Args.File)
	if err != nil {
		return err
	}
	draft, err := client.Submit(context.Background(), filepath.Base(c.Args.File), data)
	if err != nil {
		return err
	}
	fmt.Printf("draft of %s: %s\n", draft.Service, draft.Hash)
	fmt.Printf("see what it changes: kingcupwood config diff %s\n", draft.Service)
	return nil
}

// readAnswers reads an answer file and fails if it exceeds the size limit. It reads up to one byte
// more than the limit in order to detect that.
func readAnswers(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, store.MaxAnswersBytes+1))
	if err == nil && len(data) > store.MaxAnswersBytes {
		err = errors.Errorf("%s: the file is larger than 64 KiB", path)
	}
	return data, err
}
