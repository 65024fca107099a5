// Package platform is an in-memory stand-in for the table service and object store of a production
// deployment. It implements the DynamoDB and S3 operations that kingcupwood uses, and injects faults
// for tests. It does not verify request signatures and supports one table and one bucket.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
)

// Paths of the administration endpoints. A bucket name cannot start with an underscore, so they
// cannot collide with paths of the object store.
const (
	// FaultsPath accepts POST with a Fault to inject, and DELETE to clear all faults.
	FaultsPath = "/_admin/faults"
	// CountersPath returns Counts by store.
	CountersPath = "/_admin/counters"
)

// Server is the HTTP handler of the stand-in.
type Server struct {
	tableName string
	bucket    string
	table     *table
	objects   *objects
	faults    faults
	counters  map[Store]*counter
	now       func() time.Time
	log       *event.Logger
}

// NewServer returns a stand-in whose table contains the operators of config.
func NewServer(config Config, log *event.Logger) *Server {
	s := &Server{
		tableName: config.Table,
		bucket:    config.Bucket,
		table:     newTable(),
		objects:   newObjects(),
		counters:  map[Store]*counter{Table: {}, Objects: {}},
		now:       time.Now,
		log:       log,
	}
	for _, operator := range config.Operators {
		row := operator.row()
		s.table.rows[rowKey{*row[PartitionKey].S, *row[SortKey].S}] = row
	}
	return s
}

// Inject adds a fault. It returns an error if the fault is invalid.
func (s *Server) Inject(fault Fault) error {
	if err := fault.check(); err != nil {
		return err
	}
	s.faults.add(fault)
	s.log.Log(event.StandinFaultInjected, zap.String("store", string(fault.Store)), zap.String("kind", string(fault.Kind)))
	return nil
}

// ClearFaults removes all faults and releases delayed requests immediately.
func (s *Server) ClearFaults() { s.faults.clear() }

// Counts returns the numbers of requests that store has received.
func (s *Server) Counts(store Store) Counts {
	if c, ok := s.counters[store]; ok {
		return c.counts()
	}
	return Counts{}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == FaultsPath:
		s.serveFaults(w, r)
	case r.URL.Path == CountersPath:
		writeTableJSON(w, http.StatusOK, map[Store]Counts{Table: s.Counts(Table), Objects: s.Counts(Objects)})
	case r.Method == http.MethodPost && r.URL.Path == "/":
		operation := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
		s.serveStore(w, r, Table, operation != "GetItem" && operation != "Query", s.serveTable)
	default:
		s.serveStore(w, r, Objects, r.Method != http.MethodGet, s.serveObjects)
	}
}

// storeHandler handles a request whose body has been read completely.
type storeHandler func(w http.ResponseWriter, r *http.Request, body []byte)

// serveStore reads the whole request body before it counts the request and applies a fault, because
// a request that the client aborts halfway never takes effect in the store.
func (s *Server) serveStore(w http.ResponseWriter, r *http.Request, store Store, isWrite bool, serve storeHandler) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeIncomplete(w, store, err)
		return
	}
	fault := s.faults.take(store, isWrite)
	s.counters[store].add(s.now(), isWrite)
	if fault == nil {
		serve(w, r, body)
		return
	}
	switch fault.Kind {
	case Outage:
		writeUnavailable(w, store)
	case Slow:
		fault.wait()
		serve(w, r, body)
	case LoseResponse:
		serve(discardResponse{http.Header{}}, r, body)
		panic(http.ErrAbortHandler) // net/http closes the connection without a response
	}
}

func writeIncomplete(w http.ResponseWriter, store Store, err error) {
	if store == Objects {
		writeObjectError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	writeTableError(w, invalid("cannot read request: %v", err))
}

func writeUnavailable(w http.ResponseWriter, store Store) {
	if store == Objects {
		writeObjectError(w, http.StatusServiceUnavailable, "ServiceUnavailable", "injected outage")
		return
	}
	writeTableError(w, &apiError{Type: "ServiceUnavailable", Message: "injected outage", status: http.StatusServiceUnavailable})
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodDelete:
		s.ClearFaults()
	case http.MethodPost:
		var fault Fault
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&fault); err != nil {
			writeTableError(w, invalid("cannot decode fault: %v", err))
			return
		}
		if err := s.Inject(fault); err != nil {
			writeTableError(w, err)
			return
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
