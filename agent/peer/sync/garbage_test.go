package sync

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/event"
)

// Guards against bytes of another writer that end the process, or that keep the net/rpc listener from
// answering others: no gob, gob that is cut, and lengths out of range.
func TestGarbageOnRPC(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	self := usableEntry("self").Record
	f := NewFollower(Config{Self: self, Members: newLocalMembers(self), Store: NewStore(&realCodec{}), Dial: DialTCP, Log: event.Nop(), Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer()
	is.NoErr(NewServer(f).Register(ctx, server))
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, listener, server) }()
	defer func() { cancel(); is.NoErr(<-served) }()

	rng := rand.New(rand.NewPCG(1, 2))
	for n := range 200 {
		data := make([]byte, 1+rng.IntN(2000))
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		switch n % 4 {
		case 0:
			copy(data, []byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // the largest length
		case 1:
			data[0] = byte(min(len(data)-1, 127)) // a length that fits
		}
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		_, _ = conn.Write(data)
		is.NoErr(conn.Close())
	}
	var reply HighestReply
	is.NoErr(callOnce(ctx, DialTCP, listener.Addr().String(), 10*time.Second, "Highest", HighestArgs{}, &reply))
}
