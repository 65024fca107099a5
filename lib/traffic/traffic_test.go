package traffic

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against bytes that are counted in the wrong direction, twice or not at all.
func TestConnCountsBothDirections(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	var counter Counter
	conn := counter.Conn(near)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 5))
		_, _ = far.Write([]byte("abc"))
		_ = far.Close()
	}()
	_, err := conn.Write([]byte("hello"))
	is.NoErr(err)
	_, err = io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(counter.Stats(), Stats{Sent: 5, Received: 3})
}
