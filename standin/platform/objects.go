package platform

import (
	"bytes"
	"encoding/xml"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// objects is an in-memory object store.
type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func newObjects() *objects { return &objects{data: map[string][]byte{}} }

func (o *objects) get(key string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	return data, ok
}

// put stores data under key. If ifAbsent is set and the key exists, it changes nothing and returns
// false.
func (o *objects) put(key string, data []byte, ifAbsent bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, exists := o.data[key]; exists && ifAbsent {
		return false
	}
	o.data[key] = data
	return true
}

// serveObjects handles one S3 request with a path-style URL: /bucket/key.
func (s *Server) serveObjects(w http.ResponseWriter, r *http.Request, body []byte) {
	bucket, key, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !ok || key == "":
		writeObjectError(w, http.StatusNotImplemented, "NotImplemented", "bucket operations are not supported")
	case bucket != s.bucket:
		writeObjectError(w, http.StatusNotFound, "NoSuchBucket", "the bucket does not exist")
	case r.Method == http.MethodGet:
		s.getObject(w, key)
	case r.Method == http.MethodPut:
		s.putObject(w, r, key, body)
	default:
		writeObjectError(w, http.StatusNotImplemented, "NotImplemented", "method "+r.Method+" is not supported")
	}
}

func (s *Server) getObject(w http.ResponseWriter, key string) {
	data, ok := s.objects.get(key)
	if !ok {
		writeObjectError(w, http.StatusNotFound, "NoSuchKey", "the key does not exist")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = io.Copy(w, bytes.NewReader(data))
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, key string, data []byte) {
	if strings.Contains(r.Header.Get("Content-Encoding"), "aws-chunked") {
		writeObjectError(w, http.StatusNotImplemented, "NotImplemented", "chunked uploads are not supported")
		return
	}
	match := r.Header.Get("If-None-Match")
	if match != "" && match != "*" {
		writeObjectError(w, http.StatusNotImplemented, "NotImplemented", "If-None-Match must be *")
		return
	}
	if !s.objects.put(key, data, match == "*") {
		writeObjectError(w, http.StatusPreconditionFailed, "PreconditionFailed", "the key already exists")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func writeObjectError(w http.ResponseWriter, status int, code, message string) {
	body, err := xml.Marshal(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: message})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
