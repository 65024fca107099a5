package membership

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// Guards against a record with a roll-out that fits in no packet, so that no other daemon learns of it,
// and against one that a daemon of an earlier release cannot read.
func TestLargestRecordFitsInAPacket(t *testing.T) {
	is := is.New(t)
	const reserve = 48 // more than an authentication code takes
	full := testRecord(1, "domain-1", maxIncarnation-1)
	full.Instance, full.Domain = endpoint.InstanceID(strings.Repeat("i", maxFieldBytes)), strings.Repeat("d", maxFieldBytes)
	address := "[" + strings.Repeat("fdff:", 7) + "fdff]:65535"
	full.CallAddr, full.RPCAddr, full.ProbeAddr, full.AdminAddr = address, address, address, address
	full.Service, full.LinkBytesPerSecond, full.ReadySinceMS = strings.Repeat("s", maxFieldBytes), math.MaxInt64, math.MaxInt64
	full.Version, full.Rollouts = strings.Repeat("v", endpoint.MaxVersionBytes), strings.Repeat("r", endpoint.MaxRolloutsBytes)
	full.RolloutBad, full.Counter = math.MaxUint64, maxIncarnation
	full.LeftServer, full.LeftStartMS, full.StoreEra, full.ServerLeft = math.MaxUint64, math.MaxInt64, math.MaxUint64, true
	is.NoErr(Validate(full))
	s := New(Config{Local: testRecord(2, full.Domain, 1000), Reserve: reserve}, epoch, 1)
	s.Merge(epoch, []Entry{{Record: full}})
	sent := false
	for i := range 50 {
		for _, p := range s.Tick(epoch.Add(time.Duration(i) * TickInterval)) {
			sent = sent || strings.Contains(string(p.Data), full.Rollouts)
			is.True(len(p.Data) <= MaxPacketBytes-reserve)
		}
	}
	is.True(sent)

	var earlier struct {
		Instance endpoint.InstanceID `cbor:"1,keyasint"`
	}
	is.NoErr(cbor.Unmarshal(mustEncode(full), &earlier))
	is.Equal(earlier.Instance, full.Instance)
}
