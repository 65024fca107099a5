package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/pkg/burn"
)

const (
	// reportTimeout limits the request to one daemon, so that an unreachable failure domain does
	// not delay the report of the others.
	reportTimeout = 3 * time.Second
	// reportConcurrency limits the number of concurrent requests to daemons.
	reportConcurrency = 64
	// maxMissingShown limits the number of printed daemons that did not respond.
	maxMissingShown = 10
)

type reportCommand struct {
	administrationOptions
	Format string `long:"format" choice:"text" choice:"json" choice:"html" choice:"png" default:"text" description:"format of the report"`
	Output string `long:"output" value-name:"FILE" description:"file to write to instead of standard output; an existing one is overwritten"`
}

// Execute fetches the request counts of all daemons and prints the service level of the whole
// system.
func (c *reportCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	endpoints, err := client.Endpoints(ctx)
	if err != nil {
		return err
	}
	s, err := c.load()
	if err != nil {
		return err
	}
	reports, missing := collectReports(ctx, endpoints, s.Administration.Token)
	printMissing(missing, len(endpoints.Endpoints))
	merged, err := burn.Merge(reports...)
	if err != nil {
		return err
	}
	return c.write(merged)
}

// collectReports fetches the report of every daemon. missing lists the instances whose daemon did not
// return one.
func collectReports(ctx context.Context, endpoints operator.EndpointsMessage, token string) (reports []*burn.Report, missing []string) {
	fetched := make([]*burn.Report, len(endpoints.Endpoints))
	var group errgroup.Group
	group.SetLimit(reportConcurrency)
	for n, e := range endpoints.Endpoints {
		group.Go(func() error {
			addr, err := netip.ParseAddrPort(e.AdminAddr)
			if err != nil {
				return nil
			}
			client := operator.NewClient([]netip.AddrPort{addr}, token, &http.Client{Timeout: reportTimeout})
			if report, err := client.Burn(ctx); err == nil {
				fetched[n] = report
			}
			return nil
		})
	}
	_ = group.Wait() // never an error: failed requests show up as missing
	for n, report := range fetched {
		if report == nil {
			missing = append(missing, endpoints.Endpoints[n].Instance)
			continue
		}
		reports = append(reports, report)
	}
	return reports, missing
}

// printMissing warns on standard error that the report lacks the counts of some daemons.
func printMissing(missing []string, total int) {
	if len(missing) == 0 {
		return
	}
	fmt.Fprintf(os.Stderr, "incomplete: %d of %d daemons did not answer:\n", len(missing), total)
	for _, name := range missing[:min(maxMissingShown, len(missing))] {
		fmt.Fprintln(os.Stderr, "  "+name)
	}
	if more := len(missing) - maxMissingShown; more > 0 {
		fmt.Fprintf(os.Stderr, "  and %d more\n", more)
	}
}

func (c *reportCommand) write(r *burn.Report) (err error) {
	out := os.Stdout
	if c.Output != "" {
		if out, err = os.Create(c.Output); err != nil {
			return errors.Wrap(err, "create the output file")
		}
		defer func() {
			if closeErr := out.Close(); err == nil {
				err = errors.Wrap(closeErr, "write the output file")
			}
		}()
	}
	switch c.Format {
	case "json":
		return r.WriteJSON(out)
	case "html":
		return r.WriteHTML(out)
	case "png":
		return r.WritePNG(out)
	}
	return r.WriteText(out)
}
