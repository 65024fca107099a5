package convergence

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/answers"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// kindsPerService gives a service an encoding of just under 1 KB, as the design assumes.
const kindsPerService = 5

// baseRate is the expected rate of a kind; a change gives the first kind another one.
const baseRate = 40

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }

// answerFile returns the answers of service i, whose first kind expects the given rate. Services
// form chains of the greatest length allowed.
func answerFile(i, rate int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[service]\nname = %s\nteam = bench\ncapacity-slots = 12\ncapacity-connections = 100\nservers = 12\n", serviceName(i))
	place := i % snapshot.MaxChain
	if place > 0 {
		fmt.Fprintf(&b, "depends-on = %s\n", serviceName(i-1))
	}
	for k := range kindsPerService {
		fmt.Fprintf(&b, "[kind kind-%d]\nmatch = GET /path-%d/\nrank = %d\nidempotent = yes\nservice-time = 5ms\nobjective = 99.9%%\n", k, k, k+1)
		if k > 0 {
			fmt.Fprintf(&b, "deadline = 500ms\nexpected-rate = %d/s\n", baseRate)
			continue
		}
		fmt.Fprintf(&b, "deadline = %ds\nexpected-rate = %d/s\n", 1+place, rate)
		if place > 0 {
			fmt.Fprintf(&b, "calls = %s/kind-0\n", serviceName(i-1))
		}
	}
	return []byte(b.String())
}

// generate returns the configuration of service i.
func generate(i, rate int) (*snapshot.Service, error) {
	parsed, faults := answers.Parse(serviceName(i), answerFile(i, rate))
	if err := faults.Err(); err != nil {
		return nil, errors.Wrap(err, "answers of the benchmark")
	}
	return answers.Generate(parsed), nil
}

// buildSnapshot returns version 1 with n services, and the encoded objects.
func buildSnapshot(n int) (*snapshot.Snapshot, map[snapshot.Hash][]byte, error) {
	m, objects := &snapshot.Manifest{Version: 1}, map[snapshot.Hash][]byte{}
	for i := range n {
		service, err := generate(i, baseRate)
		if err != nil {
			return nil, nil, err
		}
		data, hash, err := snapshot.Encode(service)
		if err != nil {
			return nil, nil, err
		}
		m.Entries = append(m.Entries, snapshot.ManifestEntry{Service: service.Name, Revision: 1, Hash: hash})
		objects[hash] = data
	}
	built, err := snapshot.Build(m, objects)
	return built, objects, errors.Wrap(err, "build the first version")
}
