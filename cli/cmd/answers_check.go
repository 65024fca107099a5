package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
)

type answersCheckCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints every fault of the files to standard output and fails if there are any.
func (c *answersCheckCommand) Execute([]string) error {
	faults, err := checkFiles(c.Args.Files)
	if err != nil {
		return err
	}
	for _, fault := range faults {
		fmt.Println(fault)
	}
	if len(faults) > 0 {
		return errors.Errorf("files checked: %d, faults: %d", len(c.Args.Files), len(faults))
	}
	fmt.Printf("files checked: %d, faults: 0\n", len(c.Args.Files))
	return nil
}

// checkFiles checks all files together and returns their faults. It fails if a file cannot be read.
func checkFiles(names []string) (answers.Faults, error) {
	var all []*answers.Answers
	var faults answers.Faults
	for _, name := range names {
		data, err := readLimited(name, answers.MaxFileBytes)
		if err != nil {
			return nil, err
		}
		parsed, found := answers.Parse(name, data)
		all = append(all, parsed)
		faults = append(faults, found...)
	}
	faults = append(faults, answers.Check(all)...)
	faults.Sort()
	return faults, nil
}

// readLimited reads up to one byte more than limit, so that the parser rejects a larger file.
func readLimited(name string, limit int64) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read answer file")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, limit+1))
	return data, errors.Wrapf(err, "read answer file %s", name)
}
