package operator

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"kingcupwood.example/kingcupwood/agent/store"
)

// apiError converts an error of agent/store to an API error. The text of an error of an unexpected
// type is not sent to the operator, since it may contain internal details.
func apiError(err error) *APIError {
	for _, convert := range []func(error) *APIError{asAPIError, asRefusal, asConflict, asUnavailable} {
		if e := convert(err); e != nil {
			return e
		}
	}
	return &APIError{Status: http.StatusInternalServerError, Code: CodeInternal, Message: "internal error; see the log of the daemon"}
}

func asAPIError(err error) *APIError {
	var e *APIError
	if errors.As(err, &e) {
		return e
	}
	return nil
}

func asRefusal(err error) *APIError {
	var invalid *store.InvalidError
	var forbidden *store.ForbiddenError
	var notFound *store.NotFoundError
	switch {
	case errors.Is(err, store.ErrUnknownCredential):
		return unauthorized()
	case errors.As(err, &invalid):
		return &APIError{Status: http.StatusUnprocessableEntity, Code: CodeInvalid, Message: "the configuration is invalid; nothing was changed", Reasons: invalid.Reasons}
	case errors.As(err, &forbidden):
		return &APIError{Status: http.StatusForbidden, Code: CodeForbidden, Message: forbidden.Error()}
	case errors.As(err, &notFound):
		return &APIError{Status: http.StatusNotFound, Code: CodeNotFound, Message: notFound.Error()}
	}
	return nil
}

func asConflict(err error) *APIError {
	var conflict *store.ConflictError
	var draft *store.DraftChangedError
	var noChange *store.NoChangeError
	var reused *store.TokenReusedError
	switch {
	case errors.As(err, &conflict):
		return &APIError{
			Status: http.StatusConflict, Code: CodeConflict, Current: conflict.Current,
			Message: "not accepted: another change came first", Changes: changeMessages(conflict.Changes),
		}
	case errors.As(err, &draft):
		current := draftMessage(draft.Current)
		return &APIError{Status: http.StatusConflict, Code: CodeDraftChanged, Message: draft.Error(), Draft: &current}
	case errors.As(err, &noChange):
		return &APIError{Status: http.StatusConflict, Code: CodeNoChange, Message: noChange.Error()}
	case errors.As(err, &reused):
		return &APIError{Status: http.StatusConflict, Code: CodeTokenReused, Message: reused.Error()}
	}
	return nil
}

func asUnavailable(err error) *APIError {
	var unavailable *store.UnavailableError
	if !errors.As(err, &unavailable) {
		return nil
	}
	if unavailable.MayHaveTakenEffect {
		return &APIError{Status: http.StatusServiceUnavailable, Code: CodeOutcomeUnknown, Message: "the platform did not respond; the outcome is not known yet"}
	}
	return &APIError{Status: http.StatusServiceUnavailable, Code: CodePlatformUnavailable, Message: "the platform is unavailable; this request changed nothing"}
}

func unauthorized() *APIError {
	return &APIError{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Message: "a valid bearer token is required"}
}

func badRequest(message string) *APIError {
	return &APIError{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: message}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, e *APIError) {
	if e.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, e.Status, ErrorResponse{Error: e})
}
