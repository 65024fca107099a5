package compact

import (
	"bytes"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
)

const largest = 1200

// Guards against messages that are altered or enlarged by compression.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	c := New(largest)
	for _, message := range [][]byte{nil, {0x8a}, bytes.Repeat([]byte("member "), 10), bytes.Repeat([]byte("member "), 150), append([]byte{0x8a}, make([]byte, largest-1)...)} {
		data := c.Compress(message)
		is.True(len(data) <= len(message))
		got, err := c.Decompress(data)
		is.NoErr(err)
		is.True(bytes.Equal(got, message))
	}
	is.True(len(c.Compress(bytes.Repeat([]byte("member "), 150))) < 100)
}

// Guards against a size limit below the minimum window of zstd, with which decompression would
// always fail.
func TestSmallMessages(t *testing.T) {
	is := is.New(t)
	const small = 300
	c := New(small)
	message := bytes.Repeat([]byte("member "), small/7)
	got, err := c.Decompress(c.Compress(message))
	is.NoErr(err)
	is.True(bytes.Equal(got, message))
	_, err = c.Decompress(New(largest).Compress(make([]byte, small+1)))
	is.True(err != nil)
}

// Guards against unbounded memory use by an oversized message, and against a panic on a corrupt
// one.
func TestBrokenMessages(t *testing.T) {
	is := is.New(t)
	c := New(largest)
	encoder, err := zstd.NewWriter(nil)
	is.NoErr(err)
	for _, data := range [][]byte{encoder.EncodeAll(make([]byte, largest+1), nil), frameMagic, append(bytes.Clone(frameMagic), 1, 2, 3)} {
		_, err := c.Decompress(data)
		is.True(err != nil)
	}
}
