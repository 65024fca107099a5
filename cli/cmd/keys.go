package cmd

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/credentials"
)

// keyFileMode restricts access to key files to their owner.
const keyFileMode = 0o600

const day = 24 * time.Hour

func keysCommands() []command {
	return []command{
		{name: "new-authority", short: "Make an authority", long: "Writes the certificate and the private key of a new authority, which issues the certificates of daemons.", data: &keysNewAuthorityCommand{}},
		{name: "issue", short: "Issue a certificate for a daemon", long: "Writes a certificate of a daemon and its private key, signed by an authority.", data: &keysIssueCommand{}},
		{name: "new-probe-key", short: "Make a key for probes", long: "Writes a file with a new random key for probes.", data: &keysNewProbeKeyCommand{}},
	}
}

// keyPairOptions are the options that name the output files of a new certificate and its key.
type keyPairOptions struct {
	Certificate flags.Filename `long:"certificate" required:"yes" value-name:"FILE" description:"file to write the certificate to; it must not exist"`
	PrivateKey  flags.Filename `long:"private-key" required:"yes" value-name:"FILE" description:"file to write the private key to; it must not exist"`
}

func (o keyPairOptions) write(p credentials.Pair) error {
	return writeNewFiles([]newFile{{string(o.PrivateKey), p.PrivateKey}, {string(o.Certificate), p.Certificate}})
}

type keysNewAuthorityCommand struct {
	keyPairOptions
	Name string `long:"name" default:"kingcupwood" description:"name of the authority"`
	Days int    `long:"days" default:"3650" description:"days for which it is valid"`
}

// Execute writes the certificate and private key of a new authority.
func (c *keysNewAuthorityCommand) Execute([]string) error {
	valid, err := validity(c.Days)
	if err != nil {
		return err
	}
	authority, err := credentials.NewAuthority(c.Name, time.Now(), valid)
	if err != nil {
		return err
	}
	return c.write(authority)
}

type keysIssueCommand struct {
	keyPairOptions
	Authority    flags.Filename `long:"authority" required:"yes" value-name:"FILE" description:"certificate of the authority"`
	AuthorityKey flags.Filename `long:"authority-key" required:"yes" value-name:"FILE" description:"private key of the authority"`
	Addresses    []string       `long:"address" required:"yes" value-name:"IP" description:"IP address at which the other daemons reach this one; may be repeated"`
	Name         string         `long:"name" default:"" description:"name of the instance, for people who read the certificate"`
	Days         int            `long:"days" default:"90" description:"days for which it is valid, at most as long as the authority"`
}

// Execute writes the certificate and private key of a daemon, issued by the authority.
func (c *keysIssueCommand) Execute([]string) error {
	valid, err := validity(c.Days)
	if err != nil {
		return err
	}
	var addrs []netip.Addr
	for _, text := range c.Addresses {
		addr, err := netip.ParseAddr(text)
		if err != nil || addr.IsUnspecified() || addr.Zone() != "" {
			return errors.Errorf("--address %q is not the IP address of a daemon", text)
		}
		addrs = append(addrs, addr)
	}
	var authority credentials.Pair
	if authority.Certificate, err = os.ReadFile(string(c.Authority)); err != nil {
		return err
	}
	if authority.PrivateKey, err = os.ReadFile(string(c.AuthorityKey)); err != nil {
		return err
	}
	pair, err := authority.Issue(c.Name, addrs, time.Now(), valid)
	if err != nil {
		return err
	}
	return c.write(pair)
}

type keysNewProbeKeyCommand struct {
	Output flags.Filename `long:"output" required:"yes" value-name:"FILE" description:"file to write the key to; it must not exist"`
}

// Execute writes a new random probe key.
func (c *keysNewProbeKeyCommand) Execute([]string) error {
	key, err := credentials.NewProbeKey()
	if err != nil {
		return err
	}
	return writeNewFiles([]newFile{{string(c.Output), key}})
}

// validity converts the option --days to a duration and checks its range.
func validity(days int) (time.Duration, error) {
	const maxDays = 36500
	if days < 1 || days > maxDays {
		return 0, errors.Errorf("--days %d is not 1 to %d", days, maxDays)
	}
	return time.Duration(days) * day, nil
}

type newFile struct {
	path string
	data []byte
}

// writeNewFiles creates all files. If one of them exists or cannot be written, it removes those it
// has created and returns an error.
func writeNewFiles(files []newFile) error {
	for n, file := range files {
		if err := writeNewFile(file); err != nil {
			for _, written := range files[:n] {
				_ = os.Remove(written.path) // created by this call
			}
			return err
		}
	}
	for _, file := range files {
		fmt.Println("wrote", file.path)
	}
	return nil
}

func writeNewFile(file newFile) error {
	f, err := os.OpenFile(file.path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(file.data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(file.path) // incomplete
	}
	return errors.Wrapf(err, "write %s", file.path)
}
