package platform

import "net/http"

// discardResponse is a response writer that discards the response.
type discardResponse struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discardResponse) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d discardResponse) WriteHeader(int) {}
