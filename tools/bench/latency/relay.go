package latency

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/tools/fleet"
)

// relayOption is the option of the bench program that runs Relay.
const relayOption = "-relay"

// Relay copies the bytes of each connection to "LISTEN,TARGET" in both directions. It is the baseline of
// the daemon: two relays in a row wake the same number of processes for a call and do nothing else.
func Relay(addresses string) error {
	listen, target, ok := strings.Cut(addresses, ",")
	if !ok {
		return errors.Errorf("%q is not LISTEN,TARGET", addresses)
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go relay(conn, target)
	}
}

func relay(from net.Conn, target string) {
	defer from.Close()
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		_, _ = io.Copy(to, from) // the end of either direction ends both
		to.Close()
	}()
	_, _ = io.Copy(from, to)
}

// startRelays starts two relays in a row in front of the backend server of receiver.
func startRelays(f *fleet.Fleet, receiver *fleet.Instance) (*fleet.Instance, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	target := receiver.Backend
	var entry *fleet.Instance
	for n := range 2 {
		if entry, err = f.Add(fmt.Sprint("relay-", n), receiver.Domain, fleet.ServerConfig{}); err != nil {
			return nil, err
		}
		if err := f.StartInstead(entry, self, relayOption, entry.Callers.String()+","+target.String()); err != nil {
			return nil, err
		}
		target = entry.Callers
	}
	return entry, nil
}
