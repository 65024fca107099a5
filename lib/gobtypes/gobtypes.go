// Package gobtypes prepares types for encoding/gob.
package gobtypes

import (
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/pkg/errors"
)

// Register makes encoding/gob build its descriptions of the types of values, and of the headers of
// net/rpc, before a connection is served. Otherwise it builds each one at its first use, and a malformed
// message on another connection, whose error text reads the list of descriptions without a lock,
// races with that.
func Register(values ...any) error {
	encoder := gob.NewEncoder(io.Discard)
	for _, value := range append(values, rpc.Request{}, rpc.Response{}, struct{}{}) { // the last one stands for the answer to a failed call
		if err := encoder.Encode(value); err != nil {
			return errors.Wrapf(err, "describe %T", value)
		}
	}
	return nil
}
