// Package sync exchanges configuration versions and endpoint records between daemons over net/rpc.
// Server answers the requests of other daemons; Follower keeps the configuration of one daemon up
// to date.
package sync

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/lib/compact"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/membership"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// ServiceName is the name under which Server is registered with net/rpc.
const ServiceName = "Sync"

// PollArgs requests a configuration version.
type PollArgs struct {
	// Have is the version in force at the requesting daemon; only a higher one is returned.
	Have snapshot.Version
	// Full requests a complete delta instead of one based on Have.
	Full bool
	// Wait is how long the answer may be delayed until there is a higher version.
	Wait time.Duration
	// Domain is the failure domain of the requesting daemon.
	Domain string
	// Patches is set if the requesting daemon can read objects that are encoded as patches.
	Patches bool
	// Confirm requests an answer also when there is a confirmation with another number than
	// Confirmation, the last one that the requesting daemon got over this connection.
	Confirm      bool
	Confirmation uint64
}

// PollReply answers PollArgs.
type PollReply struct {
	// Delta is an encoded snapshot.Delta; empty if there is no higher version.
	Delta []byte
	// Patches is set if the objects of Delta are patches of the objects of its base.
	Patches bool
	// RetryAfter is set if the server is busy with full syncs.
	RetryAfter time.Duration
	Highest    snapshot.Version
	// Holders is set if both daemons are in the same domain.
	Holders []membership.Holder
	// Confirmation is the number of the last confirmation, 0 if there is none. ConfirmationAge is its
	// age when the answer was made, Held the time since the request arrived, and InForce a version
	// that is at least the confirmed one.
	Confirmation          uint64
	ConfirmationAge, Held time.Duration
	InForce               snapshot.Version
	// StoreEra is the newest era of the store known, see Restores.
	StoreEra uint64
}

// ExchangeArgs carries the records of a daemon that joins.
type ExchangeArgs struct {
	// Entries is an encoded list of membership.Entry.
	Entries []byte
}

// ExchangeReply answers ExchangeArgs with all entries of the server.
type ExchangeReply struct {
	Entries []byte
	// RetryAfter is set if the server is busy with full exchanges. Peers then lists the net/rpc
	// addresses of other daemons to join through.
	RetryAfter time.Duration
	Peers      []string
	Highest    snapshot.Version
}

// DeparturesArgs asks what a daemon remembers of the departures of backend servers on an instance.
type DeparturesArgs struct {
	Instance endpoint.InstanceID
}

// DeparturesReply answers DeparturesArgs with membership.State.Departures.
type DeparturesReply struct {
	Marks []endpoint.DepartureMark
}

// DigestArgs carries the digests of the endpoint records by failure domain.
type DigestArgs struct {
	Domain  string
	Digests map[string]uint64
	Holders []membership.Holder
}

// DigestReply lists the bucket digests of the domains that differ.
type DigestReply struct {
	Buckets map[string][]uint64
	// Holders is set if both daemons are in the same domain.
	Holders []membership.Holder
}

// BucketArgs carries the entries of the differing buckets of one domain.
type BucketArgs struct {
	Domain  string
	Buckets []int
	Entries []byte
}

// BucketReply returns the server's entries of the same buckets.
type BucketReply struct {
	Entries []byte
}

// HighestArgs requests the highest version known to a daemon.
type HighestArgs struct {
	// Fresh requests from a lease holder the result of a read of the head that starts after the
	// request.
	Fresh bool
}

// HighestReply answers HighestArgs.
type HighestReply struct {
	Highest snapshot.Version
	// Fresh is set if Head comes from a read of the head that started after the request.
	Fresh bool
	Head  snapshot.Version
	// Holders lists the net/rpc addresses of the known live lease holders.
	Holders []string
}

// maxEntries bounds the entries accepted from a peer: twice the design size of 16,000 daemons.
const maxEntries = 32_000

// decMode decodes a message or an entry. listMode decodes a list without its entries; it allows the
// deepest nesting, so that one entry does not make the whole list unreadable.
var (
	decMode  = mustDecMode(cbor.DecOptions{MaxArrayElements: maxEntries, MaxMapPairs: 256, MaxNestedLevels: 8})
	listMode = mustDecMode(cbor.DecOptions{MaxArrayElements: maxEntries, MaxMapPairs: maxEntries, MaxNestedLevels: 65535})
)

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// maxEntryBytes bounds the encoded entries accepted from a peer; a record has some 200 bytes.
const maxEntryBytes = 16 << 20

// entryCodec encodes and compresses lists of entries, whose records have most of their text in
// common.
type entryCodec struct{ compressor *compact.Compressor }

func newEntryCodec() entryCodec { return entryCodec{compact.New(maxEntryBytes)} }

func (c entryCodec) encode(entries []membership.Entry) ([]byte, error) {
	data, err := cbor.Marshal(entries)
	return c.compressor.Compress(data), errors.Wrap(err, "encode entries")
}

// entryList is a decoded list of entries.
type entryList struct {
	entries []membership.Entry
	// skipped is the number of entries that could not be decoded or are not usable, reason the error of
	// the first one.
	skipped int
	reason  error
}

// decode decodes a list of entries. An entry that is not usable is left out: it must not hide the
// others.
func (c entryCodec) decode(data []byte) (entryList, error) {
	var list entryList
	if len(data) == 0 {
		return list, nil
	}
	plain, err := c.compressor.Decompress(data)
	if err != nil {
		return list, errors.Wrap(err, "decode entries")
	}
	var encoded []cbor.RawMessage
	if err := listMode.Unmarshal(plain, &encoded); err != nil {
		return list, errors.Wrap(err, "decode entries")
	}
	list.entries = make([]membership.Entry, 0, len(encoded))
	for _, one := range encoded {
		var e membership.Entry
		err := decMode.Unmarshal(one, &e)
		if err == nil {
			err = membership.ValidateEntry(e)
		}
		if err == nil {
			list.entries = append(list.entries, e)
			continue
		}
		if list.skipped++; list.reason == nil {
			list.reason = err
		}
	}
	return list, nil
}

// decodeEntries decodes the entries that source has sent, and logs how many are not usable.
func (f *Follower) decodeEntries(source string, data []byte) ([]membership.Entry, error) {
	list, err := f.entries.decode(data)
	if list.skipped > 0 {
		f.logSkipped(source, list.skipped, list.reason)
	}
	return list.entries, err
}

func encodeDelta(d *snapshot.Delta) ([]byte, error) {
	data, err := cbor.Marshal(d)
	return data, errors.Wrap(err, "encode delta")
}

func decodeDelta(data []byte) (*snapshot.Delta, error) {
	var d snapshot.Delta
	if err := decMode.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	if len(d.Changed) != len(d.Objects) {
		return nil, errors.Errorf("delta to version %d has %d entries and %d objects", d.Version, len(d.Changed), len(d.Objects))
	}
	if len(d.Accounts) != len(d.AccountObjects) {
		return nil, errors.Errorf("delta to version %d has %d account groups and %d objects", d.Version, len(d.Accounts), len(d.AccountObjects))
	}
	return &d, nil
}

// Members gives access to the membership of this daemon; *probe.Prober implements it.
type Members interface {
	// Do runs f with exclusive access to the state. f must not block.
	Do(f func(now time.Time, s *membership.State))
	View() *endpoint.View
}
