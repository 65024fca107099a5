package sync

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"testing"
	"time"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/lib/traffic"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// benchMembers implements Members without a network.
type benchMembers struct{ state *membership.State }

func (m *benchMembers) Do(f func(now time.Time, s *membership.State)) { f(time.Now(), m.state) }
func (m *benchMembers) View() *endpoint.View                          { return m.state.View() }

func benchEntries(n int) []membership.Entry {
	var list []membership.Entry
	for i := range n {
		list = append(list, membership.Entry{Record: endpoint.Record{
			Instance: endpoint.InstanceID(fmt.Sprintf("instance-%05d", i)), Domain: fmt.Sprintf("domain-%d", i%19), Incarnation: 1_764_835_200_000,
			CallAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), RPCAddr: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			ProbeAddr: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250), AdminAddr: fmt.Sprintf("10.0.%d.%d:7003", i/250, i%250),
			Service: fmt.Sprintf("service-%04d", i%1400), State: endpoint.Ready, Slots: 12,
		}})
	}
	return list
}

// BenchmarkMessages reports the bytes and the time of each exchange between two daemons with the
// given number of records: an anti-entropy comparison without and with one difference, an idle
// poll, a poll that returns a change, and the full exchange at join.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{1_000, 16_000} {
		entries := benchEntries(n)
		bytes := &traffic.Counter{}
		client, server := newBenchPair(entries, bytes)
		measure := func(name string, f func() error) {
			b.Run(fmt.Sprintf("%s/records-%d", name, n), func(b *testing.B) {
				before := bytes.Stats()
				for b.Loop() {
					if err := f(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(bytes.Stats().Sent-before.Sent)/float64(b.N), "sentB/op")
				b.ReportMetric(float64(bytes.Stats().Received-before.Received)/float64(b.N), "receivedB/op")
			})
		}
		ctx := context.Background()
		repair := func() error {
			_, err := client.reconcileWith(ctx, "server")
			return err
		}
		measure("repair-equal", repair)
		counter := uint64(0)
		measure("repair-one", func() error {
			counter++
			changed := entries[n/2]
			changed.Record.Counter = counter
			server.cfg.Members.Do(func(now time.Time, s *membership.State) { s.Merge(now, []membership.Entry{changed}) })
			return repair()
		})
		s, err := openSession(ctx, client.dial, "server")
		if err != nil {
			b.Fatal(err)
		}
		measure("poll-idle", func() error { return client.poll(ctx, s, time.Nanosecond) })
		version := server.cfg.Store.Version()
		measure("poll-change", func() error {
			version++
			d, _ := server.cfg.Store.codec.Delta(snapshotOf(version-1), snapshotOf(version))
			if _, err := server.cfg.Store.Apply(d); err != nil {
				return err
			}
			return client.poll(ctx, s, pollWait)
		})
		s.close()
		measure("join", func() error {
			_, err := client.exchange(ctx, "server")
			return err
		})
	}
}

// BenchmarkMembership reports the cost of what a daemon computes for each long poll, attempt to
// acquire a lease and choice of a peer for anti-entropy, with all records of the design size: 842
// members in its failure domain.
func BenchmarkMembership(b *testing.B) {
	f := newFullSizeFollower()
	for name, call := range map[string]func(){
		"parents":   func() { f.parents() },
		"candidate": func() { f.isCandidate() },
		"repair":    func() { f.antiEntropyPeer(2) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				call()
			}
		})
	}
}

// newBenchPair returns two connected daemons. counter counts the bytes of the connections that they
// open.
func newBenchPair(entries []membership.Entry, counter *traffic.Counter) (client, contacted *Follower) {
	pair := [2]*Follower{}
	server := rpc.NewServer()
	for i := range pair {
		store := NewStore(&fakeCodec{})
		if _, err := store.Apply(mustComplete(&fakeCodec{}, snapshot.Version(1))); err != nil {
			panic(err)
		}
		state := membership.New(membership.Config{Local: entries[i].Record}, time.Now(), 1)
		state.Merge(time.Now(), entries)
		pair[i] = NewFollower(Config{
			Self: entries[i].Record, Members: &benchMembers{state}, Store: store, Log: event.Nop(),
			Dial: func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go server.ServeConn(far)
				return counter.Conn(near), nil
			},
		})
	}
	if err := NewServer(pair[1]).Register(context.Background(), server); err != nil {
		panic(err)
	}
	return pair[0], pair[1]
}
