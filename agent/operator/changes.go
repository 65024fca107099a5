package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

const (
	// defaultFile is the file name of answers that are submitted without one.
	defaultFile = "answers.ini"
	// maxFileNameBytes is the greatest length of the name of an answer file.
	maxFileNameBytes = 255
	// maxRequestBytes is the greatest size of the body of an accept or withdraw request.
	maxRequestBytes = 4 << 10
)

func (s *server) submit(w http.ResponseWriter, r *http.Request) {
	file := r.URL.Query().Get(QueryFile)
	if file == "" {
		file = defaultFile
	}
	if len(file) > maxFileNameBytes {
		s.fail(w, r, badRequest("the file name is too long"))
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxAnswersBytes))
	if err != nil {
		s.fail(w, r, badRequest("the answers cannot be read or are larger than 64 KiB"))
		return
	}
	draft, err := s.config.Platform.Submit(r.Context(), operatorOf(r.Context()), file, data)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusCreated, draftMessage(draft))
}

func (s *server) show(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	service, err := s.config.Platform.Service(r.Context(), name)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, ServiceMessage{
		Service: name, Version: service.Version, Revision: service.Revision, InForce: service.Config != nil,
		Answers: string(service.Answers), Revisions: changeMessages(service.Revisions),
	})
}

func (s *server) diff(w http.ResponseWriter, r *http.Request) {
	difference, err := s.config.Platform.Difference(r.Context(), chi.URLParam(r, "service"))
	if err != nil {
		s.fail(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, DiffMessage{
		Draft: draftMessage(difference.Draft), Seen: difference.Version, Lines: difference.Lines,
		Reasons: difference.Reasons,
	})
}

func (s *server) accept(w http.ResponseWriter, r *http.Request) {
	var request AcceptRequest
	if err := decode(w, r, &request); err != nil {
		s.fail(w, r, err)
		return
	}
	hash, err := snapshot.ParseHash(request.Draft)
	if err != nil {
		s.fail(w, r, badRequest("draft: "+err.Error()))
		return
	}
	outcome, err := s.config.Platform.Accept(r.Context(), operatorOf(r.Context()),
		chi.URLParam(r, "service"), hash, request.Seen, request.Token)
	s.writeOutcome(w, r, outcome, err)
}

func (s *server) withdraw(w http.ResponseWriter, r *http.Request) {
	var request WithdrawRequest
	if err := decode(w, r, &request); err != nil {
		s.fail(w, r, err)
		return
	}
	outcome, err := s.config.Platform.Withdraw(r.Context(), operatorOf(r.Context()),
		chi.URLParam(r, "service"), request.To, request.Seen, request.Token)
	s.writeOutcome(w, r, outcome, err)
}

func (s *server) change(w http.ResponseWriter, r *http.Request) {
	seen, err := strconv.ParseUint(r.URL.Query().Get(QuerySeen), 10, 64)
	if err != nil {
		s.fail(w, r, badRequest("the query parameter seen must be a version"))
		return
	}
	outcome, err := s.config.Platform.Outcome(r.Context(), chi.URLParam(r, "token"), snapshot.Version(seen))
	s.writeOutcome(w, r, outcome, err)
}

// writeOutcome writes the outcome of a change, or err as an error response. The status is 202 if
// the outcome is not known yet.
func (s *server) writeOutcome(w http.ResponseWriter, r *http.Request, outcome store.Outcome, err error) {
	if err != nil {
		s.fail(w, r, err)
		return
	}
	status := http.StatusOK
	if outcome.State == store.StateUnknown {
		status = http.StatusAccepted
	}
	writeJSON(w, status, outcomeMessage(outcome))
}

func decode(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest("the request is not valid: " + err.Error())
	}
	return nil
}
