package operator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a list of changes in which a removal and the return of an earlier revision read the
// same.
func TestChangeMessageString(t *testing.T) {
	is := is.New(t)
	change := ChangeMessage{Version: 4, Action: "withdraw", Service: "shop", Revision: 3, Operator: "ana", At: time.Unix(0, 0)}
	const end = " by ana at 1970-01-01T00:00:00Z"
	is.Equal(change.String(), "version 4: withdraw of shop revision 3"+end)
	change.To = 1
	is.Equal(change.String(), "version 4: withdraw of shop revision 3, which repeats revision 1,"+end)
	change.Removed = true
	is.Equal(change.String(), "version 4: withdraw of shop revision 3, which removed the service,"+end)
}
