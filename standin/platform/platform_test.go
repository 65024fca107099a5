package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"kingcupwood.example/kingcupwood/lib/event"
)

func testServer() *Server {
	return NewServer(Config{Table: "t", Bucket: "b"}, event.Nop())
}

func request(s *Server, method, path, target, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Header.Set("X-Amz-Target", targetPrefix+target)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against conditions that are evaluated differently from DynamoDB.
func TestConditions(t *testing.T) {
	text, n := "x", "10"
	row := item{"name": {S: &text}, "n": {N: &n}}
	names := map[string]string{"#n": "n", "#name": "name", "#other": "other"}
	nine, x := "9", "x"
	values := map[string]value{":nine": {N: &nine}, ":x": {S: &x}}
	for expression, want := range map[string]bool{
		"#n > :nine":                      true, // numbers are compared numerically, not as text
		"#n = :x":                         false,
		"#other = :x":                     false,
		"#other <> :x":                    false,
		"attribute_not_exists(#other)":    true,
		"attribute_exists(#other)":        false,
		"NOT #name = :x OR #n >= :nine":   true,
		"NOT (#name = :x OR #n >= :nine)": false,
		"#name = :x AND #n < :nine OR attribute_exists(name)": true,
		"begins_with(#name, :x)":                              true,
	} {
		compiled, err := parseCondition(expression, names, values)
		if err != nil {
			t.Fatal(err)
		}
		if compiled(row) != want {
			t.Errorf("%s: expected %v", expression, want)
		}
	}
}

// Guards against a transaction that takes effect only in part.
func TestTransactionIsAtomic(t *testing.T) {
	is := is.New(t)
	s := testServer()
	w := request(s, http.MethodPost, "/", "TransactWriteItems", `{"TransactItems":[
		{"Put":{"TableName":"t","Item":{"pk":{"S":"a"},"sk":{"S":"a"}}}},
		{"ConditionCheck":{"TableName":"t","Key":{"pk":{"S":"b"},"sk":{"S":"b"}},"ConditionExpression":"attribute_exists(pk)"}}]}`)
	is.Equal(w.Code, http.StatusBadRequest)
	var failure apiError
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &failure))
	is.Equal(failure.Reasons[0].Code, "None")
	is.Equal(failure.Reasons[1].Code, "ConditionalCheckFailed")
	is.Equal(len(s.table.rows), 0)
}

// Guards against unsupported protocol options that are ignored instead of rejected.
func TestUnsupportedRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	s := testServer()
	is.Equal(request(s, http.MethodPost, "/", "Scan", `{"TableName":"t"}`).Code, http.StatusBadRequest)
	is.Equal(request(s, http.MethodPost, "/", "GetItem", `{"TableName":"t","AttributesToGet":["x"]}`).Code, http.StatusBadRequest)
	is.Equal(request(s, http.MethodDelete, "/b/key", "", "").Code, http.StatusNotImplemented)
	is.Equal(request(s, http.MethodPost, FaultsPath, "", `{"store":"table","kind":"fire"}`).Code, http.StatusBadRequest)
}

// Guards against faults that affect the wrong store or more requests than their count, and against
// counters that miss requests.
func TestFaultsAndCounters(t *testing.T) {
	is := is.New(t)
	s := testServer()
	is.Equal(request(s, http.MethodPost, FaultsPath, "", `{"store":"objects","kind":"outage","operations":"writes","count":1}`).Code, http.StatusNoContent)
	const get = `{"TableName":"t","Key":{"pk":{"S":"a"},"sk":{"S":"a"}}}`
	is.Equal(request(s, http.MethodPost, "/", "GetItem", get).Code, http.StatusOK)
	is.Equal(request(s, http.MethodPut, "/b/key", "", "data").Code, http.StatusServiceUnavailable)
	is.Equal(request(s, http.MethodPut, "/b/key", "", "data").Code, http.StatusOK)
	is.Equal(request(s, http.MethodGet, "/b/key", "", "").Body.String(), "data")
	is.Equal(request(s, http.MethodDelete, FaultsPath, "", "").Code, http.StatusNoContent)
	is.Equal(s.Counts(Objects).Writes, uint64(2))
	is.Equal(s.Counts(Objects).Reads, uint64(1))
	is.Equal(s.Counts(Table).Reads, uint64(1))
}

// Guards against a write that is counted, and consumes a fault, before its body has been read: the
// client may still abort the request, and the write then never takes effect.
func TestIncompleteRequestIsNotReceived(t *testing.T) {
	is := is.New(t)
	s := testServer()
	is.NoErr(s.Inject(Fault{Store: Table, Kind: Outage, Count: 1}))
	abandoned := iotest.ErrReader(io.ErrUnexpectedEOF)
	s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", abandoned))
	is.Equal(s.Counts(Table).Writes, uint64(0))
	is.Equal(request(s, http.MethodPost, "/", "PutItem", `{}`).Code, http.StatusServiceUnavailable)
	is.Equal(s.Counts(Table).Writes, uint64(1))
}

// Guards against a misspelt or malformed setting that is accepted without an error.
func TestLoadConfig(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "platform.ini")
	digest := strings.Repeat("ab", sha256Bytes)
	good := "[platform]\nlisten = 127.0.0.1:7000\n[operator ana]\ntoken-sha256 = " + digest + "\nservices = pages, finder\n"
	is.NoErr(os.WriteFile(path, []byte(good), 0o600))
	config, err := LoadConfig(path)
	is.NoErr(err)
	is.Equal(config.Operators, []Operator{{Name: "ana", TokenSHA256: digest, Services: []string{"pages", "finder"}}})
	bad := "[platform]\nlissen = 1\n[operator ana]\ntoken-sha256 = secret\n[demon]\nx = 1\n"
	is.NoErr(os.WriteFile(path, []byte(bad), 0o600))
	_, err = LoadConfig(path)
	is.True(err != nil)
	for _, want := range []string{
		`key "lissen": unknown key`, `key "listen":`, `key "token-sha256":`, `key "services":`, `section [demon]: unknown section`,
	} {
		is.True(strings.Contains(err.Error(), want)) // the message lacks one of the errors
	}
	is.True(!strings.Contains(err.Error(), "secret")) // a token entered instead of its hash must not be printed
}

// Guards against a panic of the parser on a malformed expression.
func FuzzParseCondition(f *testing.F) {
	f.Add("#a = :a AND NOT (attribute_exists(b) OR begins_with(#a, :a))")
	f.Add("((((#a <> ")
	f.Add("NOT NOT NOT")
	f.Fuzz(func(t *testing.T, expression string) {
		s := "x"
		names, values := map[string]string{"#a": "a"}, map[string]value{":a": {S: &s}}
		if compiled, err := parseCondition(expression, names, values); err == nil && compiled != nil {
			compiled(nil)
			compiled(item{"a": {S: &s}})
		}
		if update, err := parseUpdate("SET "+expression, names, values); err == nil {
			update(nil)
		}
	})
}

// Guards against a panic or an internal error of the stand-in on a malformed request.
func FuzzTableRequest(f *testing.F) {
	f.Add("PutItem", `{"TableName":"t","Item":{"pk":{"S":"a"},"sk":{"S":"a"}}}`)
	f.Add("Query", `{"TableName":"t","KeyConditionExpression":"pk = :p","ExpressionAttributeValues":{":p":{"S":"a"}},"Limit":-1}`)
	f.Add("UpdateItem", `{"TableName":"t","Key":{"pk":{"S":"a"},"sk":{"S":"a"}},"UpdateExpression":"SET pk = sk"}`)
	f.Add("TransactWriteItems", `{"TransactItems":[{}]}`)
	f.Fuzz(func(t *testing.T, target, body string) {
		if code := request(testServer(), http.MethodPost, "/", target, body).Code; code >= http.StatusInternalServerError {
			t.Errorf("status %d for a malformed request", code)
		}
	})
}
