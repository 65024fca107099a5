package operator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/agent/store"
)

// Guards against a list of changes that shows the same text for a removal and for a withdrawal to
// an earlier revision.
func TestChangeMessageString(t *testing.T) {
	is := is.New(t)
	change := store.Change{Version: 4, Action: store.Accepted, Service: "shop", Revision: 3, Operator: "ana", At: time.Unix(0, 0)}
	const end = " by ana at 1970-01-01T00:00:00Z"
	is.Equal(changeMessage(change).String(), "version 4: accept of shop revision 3"+end)
	change.Action, change.To = store.Withdrawn, 1
	is.Equal(changeMessage(change).String(), "version 4: withdraw of shop to revision 1, as revision 3"+end)
	change.Removed = true
	is.Equal(changeMessage(change).String(), "version 4: removal of shop"+end)
}
