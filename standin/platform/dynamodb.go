package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

const (
	// targetPrefix precedes the operation in the X-Amz-Target header of every DynamoDB request.
	targetPrefix = "DynamoDB_20120810."
	// errorPrefix precedes the type of every DynamoDB error.
	errorPrefix = "com.amazonaws.dynamodb.v20120810#"
	// maxRequestBytes limits the size of a request body.
	maxRequestBytes = 4 << 20
	// maxTransactionItems is DynamoDB's limit on the items of one transaction.
	maxTransactionItems = 100
)

// apiError is an error response of the DynamoDB protocol.
type apiError struct {
	Type    string         `json:"__type"`
	Message string         `json:"message"`
	Reasons []cancellation `json:"CancellationReasons,omitempty"`
	status  int
}

type cancellation struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

// Error implements error.
func (e *apiError) Error() string { return e.Type + ": " + e.Message }

func invalid(format string, args ...any) error {
	return &apiError{Type: "ValidationException", Message: fmt.Sprintf(format, args...), status: http.StatusBadRequest}
}

func conditionFailed() error {
	return &apiError{Type: "ConditionalCheckFailedException", Message: "The conditional request failed", status: http.StatusBadRequest}
}

// expressions holds the expression fields that several operations share. It is embedded, so its
// fields are part of the JSON object of the operation.
type expressions struct {
	ConditionExpression       string            `json:",omitempty"`
	ExpressionAttributeNames  map[string]string `json:",omitempty"`
	ExpressionAttributeValues map[string]value  `json:",omitempty"`
}

func (e expressions) condition() (condition, error) {
	return parseCondition(e.ConditionExpression, e.ExpressionAttributeNames, e.ExpressionAttributeValues)
}

type getInput struct {
	TableName      string
	Key            item
	ConsistentRead bool
}

type putInput struct {
	TableName string
	Item      item
	expressions
}

type updateInput struct {
	TableName        string
	Key              item
	UpdateExpression string
	expressions
}

type checkInput struct {
	TableName string
	Key       item
	expressions
}

type transactItem struct {
	Put            *putInput
	Update         *updateInput
	ConditionCheck *checkInput
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []transactItem
}

type queryInput struct {
	TableName              string
	KeyConditionExpression string
	ConsistentRead         bool
	ScanIndexForward       *bool
	Limit                  int
	expressions
}

// serveTable handles one DynamoDB request.
func (s *Server) serveTable(w http.ResponseWriter, r *http.Request, body []byte) {
	output, err := s.callTable(strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix), body)
	if err != nil {
		writeTableError(w, err)
		return
	}
	writeTableJSON(w, http.StatusOK, output)
}

func (s *Server) callTable(operation string, body []byte) (any, error) {
	switch operation {
	case "GetItem":
		return decodeAndCall(body, s.getItem)
	case "PutItem":
		return decodeAndCall(body, func(in *putInput) (any, error) { return s.commitOne(in.write(s.tableName)) })
	case "UpdateItem":
		return decodeAndCall(body, func(in *updateInput) (any, error) { return s.commitOne(in.write(s.tableName)) })
	case "TransactWriteItems":
		return decodeAndCall(body, s.transact)
	case "Query":
		return decodeAndCall(body, s.query)
	}
	return nil, &apiError{Type: "UnknownOperationException", Message: "unsupported operation " + operation, status: http.StatusBadRequest}
}

// decodeAndCall decodes body and passes it to call. It rejects unknown fields, so that an option
// that the stand-in does not implement is reported instead of silently ignored.
func decodeAndCall[T any](body []byte, call func(*T) (any, error)) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var input T
	if err := decoder.Decode(&input); err != nil {
		return nil, invalid("cannot decode request: %v", err)
	}
	return call(&input)
}

func (s *Server) getItem(in *getInput) (any, error) {
	if err := s.checkTable(in.TableName); err != nil {
		return nil, err
	}
	key, err := keyOf(in.Key)
	if err != nil {
		return nil, err
	}
	row, ok := s.table.get(key)
	if !ok {
		return struct{}{}, nil
	}
	return map[string]item{"Item": row}, nil
}

func (s *Server) commitOne(w write, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	if s.table.commit([]write{w}) != nil {
		return nil, conditionFailed()
	}
	return struct{}{}, nil
}

func (s *Server) transact(in *transactInput) (any, error) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactionItems {
		return nil, invalid("a transaction must have 1 to %d items", maxTransactionItems)
	}
	writes := make([]write, len(in.TransactItems))
	seen := map[rowKey]bool{}
	for i, entry := range in.TransactItems {
		w, err := entry.write(s.tableName)
		if err != nil {
			return nil, err
		}
		if seen[w.key] {
			return nil, invalid("a transaction cannot include multiple operations on one item")
		}
		seen[w.key], writes[i] = true, w
	}
	if failed := s.table.commit(writes); failed != nil {
		return nil, transactionCancelled(failed)
	}
	return struct{}{}, nil
}

func transactionCancelled(failed []bool) error {
	e := &apiError{Type: "TransactionCanceledException", Message: "Transaction cancelled", status: http.StatusBadRequest}
	for _, f := range failed {
		reason := cancellation{Code: "None"}
		if f {
			reason = cancellation{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
		}
		e.Reasons = append(e.Reasons, reason)
	}
	return e
}

func (s *Server) query(in *queryInput) (any, error) {
	if err := s.checkTable(in.TableName); err != nil {
		return nil, err
	}
	match, err := parseCondition(in.KeyConditionExpression, in.ExpressionAttributeNames, in.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	if match == nil {
		return nil, invalid("a key condition is required")
	}
	descending := in.ScanIndexForward != nil && !*in.ScanIndexForward
	rows := s.table.query(match, descending, in.Limit)
	return map[string]any{"Items": rows, "Count": len(rows), "ScannedCount": len(rows)}, nil
}

func (s *Server) checkTable(name string) error { return checkName(name, s.tableName) }

func checkName(name, want string) error {
	if name != want {
		return &apiError{Type: "ResourceNotFoundException", Message: "table not found: " + name, status: http.StatusBadRequest}
	}
	return nil
}

func (in *putInput) write(table string) (write, error) {
	if err := checkName(in.TableName, table); err != nil {
		return write{}, err
	}
	key, err := keyOf(in.Item)
	if err != nil {
		return write{}, err
	}
	check, err := in.condition()
	return write{key: key, condition: check, apply: func(item) item { return in.Item }}, err
}

func (in *updateInput) write(table string) (write, error) {
	check := checkInput{TableName: in.TableName, Key: in.Key, expressions: in.expressions}
	w, err := check.write(table)
	if err != nil {
		return write{}, err
	}
	update, err := parseUpdate(in.UpdateExpression, in.ExpressionAttributeNames, in.ExpressionAttributeValues)
	if err != nil {
		return write{}, err
	}
	w.apply = func(old item) item {
		updated := update(old)
		updated[PartitionKey], updated[SortKey] = in.Key[PartitionKey], in.Key[SortKey]
		return updated
	}
	return w, nil
}

func (in *checkInput) write(table string) (write, error) {
	if err := checkName(in.TableName, table); err != nil {
		return write{}, err
	}
	key, err := keyOf(in.Key)
	if err != nil {
		return write{}, err
	}
	check, err := in.condition()
	return write{key: key, condition: check}, err
}

func (t transactItem) write(table string) (write, error) {
	switch {
	case t.Put != nil && t.Update == nil && t.ConditionCheck == nil:
		return t.Put.write(table)
	case t.Update != nil && t.Put == nil && t.ConditionCheck == nil:
		return t.Update.write(table)
	case t.ConditionCheck != nil && t.Put == nil && t.Update == nil:
		return t.ConditionCheck.write(table)
	}
	return write{}, invalid("a transaction item must have exactly one operation")
}

func writeTableError(w http.ResponseWriter, err error) {
	var failure *apiError
	if !errors.As(err, &failure) {
		failure = &apiError{Type: "InternalServerError", Message: err.Error(), status: http.StatusInternalServerError}
	}
	reply := *failure
	reply.Type = errorPrefix + reply.Type
	writeTableJSON(w, failure.status, reply)
}

func writeTableJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
