package agent

import (
	"fmt"
	"os"
	"time"
)

func (d *Daemon) debugCounts() {
	for {
		time.Sleep(20 * time.Second)
		fmt.Fprintf(os.Stderr, "DBG %s calls=%s\n", d.settings.Daemon.Instance, d.callers.Metrics().String())
		fmt.Fprintf(os.Stderr, "DBG %s peer=%+v probe=%+v\n", d.settings.Daemon.Instance, d.peerTraffic.Stats(), d.prober.Stats())
	}
}
