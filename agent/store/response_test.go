package store

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// Guards against a crash of the client on a malformed response of either store.
func FuzzResponse(f *testing.F) {
	f.Add(200, `{"Item":{"version":{"N":"-1"},"manifest":{"S":"zz"}}}`)
	f.Add(400, `{"__type":"TransactionCanceledException","CancellationReasons":[null]}`)
	f.Add(404, `<Error><Code>NoSuchKey</Code>`)
	f.Add(500, `{`)
	var status atomic.Int64
	var body atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(int(status.Load()))
		_, _ = w.Write([]byte(body.Load().(string)))
	}))
	f.Cleanup(server.Close)
	client, err := NewClient(Config{TableURL: server.URL, ObjectsURL: server.URL, Table: "t", Bucket: "b",
		AccessKey: "k", SecretKey: "s", Attempts: 1, Timeout: testTimeout}, event.Nop())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, code int, text string) {
		status.Store(int64(200 + (code%400+400)%400)) // informational statuses never end a response
		body.Store(text)
		_, _ = client.Head(t.Context())
		_, _ = client.Object(t.Context(), snapshot.Hash{})
		_, _ = client.Accept(t.Context(), admin, "pages", snapshot.Hash{}, 0, "t")
	})
}
