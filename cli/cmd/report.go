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
	// reportTimeout bounds the question to one daemon, so that a failure domain that is cut off
	// does not hold up the report of the others.
	reportTimeout = 3 * time.Second
	// reportConcurrency bounds the daemons asked at a time.
	reportConcurrency = 64
	// maxMissingShown bounds the list of daemons that did not answer.
	maxMissingShown = 10
)

type reportCommand struct {
	administrationOptions
	Format string `long:"format" choice:"text" choice:"json" choice:"html" choice:"png" default:"text" description:"format of the report"`
	Output string `long:"output" value-name:"FILE" description:"file to write to instead of standard output; an existing one is overwritten"`
}

// Execute asks all daemons for their counts and prints the service level of the whole system.
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
	showMissing(missing, len(endpoints.Endpoints))
	merged, err := burn.Merge(reports...)
	if err != nil {
		return err
	}
	return c.write(merged)
}

// collectReports asks every daemon. missing names those that did not answer.
func collectReports(ctx context.Context, endpoints operator.EndpointsMessage, token string) (reports []*burn.Report, missing []string) {
	found := make([]*burn.Report, len(endpoints.Endpoints))
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
				found[n] = report
			}
			return nil
		})
	}
	_ = group.Wait() // daemons that fail are reported as missing
	for n, report := range found {
		if report == nil {
			missing = append(missing, endpoints.Endpoints[n].Instance)
			continue
		}
		reports = append(reports, report)
	}
	return reports, missing
}

func showMissing(missing []string, total int) {
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
