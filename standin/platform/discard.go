package platform

import (
	"bytes"
	"io"
	"net/http"
)

// discardResponse is a response writer for a response that is lost.
type discardResponse struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardResponse) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardResponse) WriteHeader(int) {}

// bufferBody returns r with its body read into memory.
func bufferBody(w http.ResponseWriter, r *http.Request) (*http.Request, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, err
	}
	buffered := r.Clone(r.Context())
	buffered.Body = io.NopCloser(bytes.NewReader(data))
	return buffered, nil
}
