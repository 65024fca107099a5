package compact

import (
	"fmt"
	"testing"
)

// BenchmarkMessages measures a message of the size of a probe and one of the size of a record list,
// with a new Compressor for each message and with a reused one.
func BenchmarkMessages(b *testing.B) {
	for _, records := range []int{7, 82} {
		var message []byte
		for n := range records {
			message = fmt.Appendf(message, "sidecar-zone-a-%d 10.0.%d.%d:7000 10.0.%d.%d:7001 zone-a pages %d;", n, n/7, n, n/7, n, n*7919)
		}
		frame := New(len(message)).Compress(message)
		b.Run(fmt.Sprint("new/", len(message)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				New(len(message)).Compress(message)
			}
		})
		reused := New(len(message))
		b.Run(fmt.Sprint("compress/", len(message)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				reused.Compress(message)
			}
		})
		b.Run(fmt.Sprint("decompress/", len(message)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := reused.Decompress(frame); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
