package cmd

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/lib/settings"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// administrationOptions are the options of every command that calls the administration API.
type administrationOptions struct {
	Settings string `long:"settings" env:"KINGCUPWOOD_SETTINGS" required:"true" value-name:"FILE" description:"INI settings file with the section [administration] (required)"`
}

// administrationSettings is the content of an operator's settings file.
type administrationSettings struct {
	Administration struct {
		// Addresses lists the administration API addresses of one or more daemons, tried in order.
		Addresses []netip.AddrPort `key:"addresses"`
		Token     string           `key:"token"`
		Timeout   time.Duration    `key:"timeout" default:"30s"`
	} `section:"administration"`
}

// load reads and validates the settings file.
func (o administrationOptions) load() (*administrationSettings, error) {
	var s administrationSettings
	if err := settings.Load(o.Settings, &s); err != nil {
		return nil, err
	}
	a := s.Administration
	if len(a.Addresses) == 0 || a.Token == "" || a.Timeout == 0 {
		return nil, errors.Errorf("%s: section [administration]: addresses, token and timeout must not be empty", o.Settings)
	}
	return &s, nil
}

func (o administrationOptions) client() (*operator.Client, error) {
	s, err := o.load()
	if err != nil {
		return nil, err
	}
	a := s.Administration
	return operator.NewClient(a.Addresses, a.Token, &http.Client{Timeout: a.Timeout}), nil
}

// serviceArgument is the positional argument of commands that operate on one service.
type serviceArgument struct {
	Service string `positional-arg-name:"SERVICE" required:"yes"`
}

// changeOptions are the options of the commands that change the configuration.
type changeOptions struct {
	administrationOptions
	Seen  uint64 `long:"seen" required:"true" value-name:"VERSION" description:"version that you saw, as printed by config diff and config status; the change is refused if another one is in force (required)"`
	Token string `long:"token" value-name:"TOKEN" description:"change token; repeat a command with the token of the first run (default: a new random token)"`
}

// unknownOutcomeError reports that a change may have taken effect or may still do so.
type unknownOutcomeError struct {
	token string
	seen  snapshot.Version
	err   error
}

// Error implements error.
func (e *unknownOutcomeError) Error() string {
	message := fmt.Sprintf("the outcome is not known yet; ask with: kingcupwood config status --change %s --seen %d", e.token, e.seen)
	if e.err != nil {
		message += "\n  " + e.err.Error()
	}
	return message
}

// exitCode returns a code of its own, so that scripts do not treat the change as failed.
func (e *unknownOutcomeError) exitCode() int { return exitOutcomeUnknown }

// change calls send with a change token and prints the outcome. The token is printed before the call,
// so that the user can repeat the command even if it is interrupted.
func (o changeOptions) change(send func(ctx context.Context, c *operator.Client, seen snapshot.Version, token string) (operator.OutcomeMessage, error)) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	token, seen := o.Token, snapshot.Version(o.Seen)
	if token == "" {
		token = rand.Text()
	}
	fmt.Fprintln(os.Stderr, "change token", token)
	outcome, err := send(context.Background(), client, seen, token)
	if o.outcomeUnknown(err) {
		return &unknownOutcomeError{token: token, seen: seen, err: err}
	}
	if err != nil {
		return err
	}
	return printOutcome(outcome)
}

// outcomeUnknown reports whether the change may have taken effect despite err. If the user gave a
// token, the command may repeat an earlier one: an unavailable platform then does not show whether
// the first run succeeded.
func (o changeOptions) outcomeUnknown(err error) bool {
	var unknown *operator.UnknownOutcomeError
	var apiErr *operator.APIError
	switch {
	case errors.As(err, &unknown):
		return true
	case errors.As(err, &apiErr):
		return apiErr.Code == operator.CodeOutcomeUnknown || apiErr.Code == operator.CodePlatformUnavailable && o.Token != ""
	}
	return false
}

func printOutcome(outcome operator.OutcomeMessage) error {
	switch outcome.State {
	case store.StateAccepted:
		fmt.Println("accepted:", outcome.Change)
		return nil
	case store.StateNotAccepted:
		return errors.New("not accepted")
	}
	return &unknownOutcomeError{token: outcome.Token, seen: outcome.Seen}
}
