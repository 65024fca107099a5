package chain

import (
	"context"
	"net/netip"
)

// entryPoint returns the address of the entry to a chain.
type entryPoint func() netip.AddrPort

func (d *deployment) entry() netip.AddrPort { return d.chain[0].Callers }

func (d *deployment) directEntry() netip.AddrPort { return d.direct[0].Backend }

// runCounts tell how often requests ran.
type runCounts struct {
	// mean is the number of runs by request and service, atEnd that by request at the last service
	// counted, most the largest number of runs of one request on all services.
	mean, atEnd float64
	most        int
}

// runs counts the runs of the requests ids on the first levels services of the chain.
func (d *deployment) runs(ctx context.Context, ids []string, levels int) (runCounts, error) {
	byRequest := map[string]int{}
	var counts runCounts
	total := 0
	for n, i := range d.chain[:levels] {
		report, err := i.Runs(ctx)
		if err != nil {
			return counts, err
		}
		here := 0
		for _, id := range ids {
			here += report.Runs[id]
			byRequest[id] += report.Runs[id]
		}
		total += here
		if n == levels-1 {
			counts.atEnd = float64(here) / float64(len(ids))
		}
	}
	for _, runs := range byRequest {
		counts.most = max(counts.most, runs)
	}
	counts.mean = float64(total) / float64(len(ids)*levels)
	return counts, nil
}
