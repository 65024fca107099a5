package probe

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/compact"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
)

// Guards against uncompressed packets of records, which make up most of the probe traffic, and
// against messages that differ after decompression.
func TestPacketsAreCompressed(t *testing.T) {
	is := is.New(t)
	record := func(n int) endpoint.Record {
		return endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprintf("sidecar-zone-a-%d", n)), Domain: "zone-a", Service: "pages", Incarnation: 1700000000000 + uint64(n),
			CallAddr: fmt.Sprintf("10.0.0.%d:7000", n), RPCAddr: fmt.Sprintf("10.0.0.%d:7001", n), ProbeAddr: fmt.Sprintf("10.0.0.%d:7001", n),
			AdminAddr: fmt.Sprintf("10.0.0.%d:7002", n), State: endpoint.Ready, Slots: 12, ReadySinceMS: 1700000000000 + int64(n),
		}
	}
	now := time.Unix(1000, 0)
	state := membership.New(membership.Config{Local: record(1)}, now, 1)
	for n := 2; n < 40; n++ {
		state.Merge(now, []membership.Entry{{Record: record(n)}})
	}
	c := compact.New(membership.MaxPacketBytes)
	plain, sent := 0, 0
	for tick := range 100 {
		for _, p := range state.Tick(now.Add(time.Duration(tick) * membership.TickInterval)) {
			data := c.Compress(p.Data)
			plain, sent = plain+len(p.Data), sent+len(data)
			got, err := c.Decompress(data)
			is.NoErr(err)
			is.True(bytes.Equal(got, p.Data))
		}
	}
	is.True(plain > 10*membership.MaxPacketBytes/2)
	is.True(2*sent < plain) // at most half of the bytes
}
