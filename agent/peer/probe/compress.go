package probe

import (
	"bytes"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/pkg/membership"
)

// minCompressed is the size from which a message is compressed: those with records of other members, which have
// most of their text in common. Smaller ones would hardly shrink.
const minCompressed = 256

// frameMagic begins a compressed message. Others are CBOR arrays, which begin with another byte.
var frameMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// compressor compresses and decompresses messages. It is safe for concurrent use.
type compressor struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newCompressor() *compressor {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderCRC(false), zstd.WithWindowSize(zstd.MinWindowSize))
	if err != nil {
		panic(err) // the options are constant
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(membership.MaxPacketBytes))
	if err != nil {
		panic(err) // the options are constant
	}
	return &compressor{encoder, decoder}
}

// compress returns message in a shorter form, or as it is.
func (c *compressor) compress(message []byte) []byte {
	if len(message) < minCompressed {
		return message
	}
	frame := c.encoder.EncodeAll(message, make([]byte, 0, len(message)))
	if len(frame) >= len(message) {
		return message
	}
	return frame
}

// decompress reverses compress. The message takes at most MaxPacketBytes.
func (c *compressor) decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, frameMagic) {
		return data, nil
	}
	message, err := c.decoder.DecodeAll(data, nil)
	return message, errors.Wrap(err, "decompress a packet")
}
